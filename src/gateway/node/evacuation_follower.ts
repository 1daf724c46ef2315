/** Keeps the evacuated data centres up to date from the store and from peers. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
import * as evacuatedDataCentres from '../common/availability/evacuated_data_centres';
import * as evacuationDuty from '../common/availability/evacuation_duty';
import * as peerDigest from '../common/fleet/peer_digest';
import * as instanceRegistry from '../common/instance_registry';
import * as stateSource from '../common/state_source';
import * as storeEra from '../common/store_era';
import * as gatewayMetrics from './gateway_metrics';
import * as sourceBackOff from './source_back_off';
import * as sourceHealth from './source_health';

/** Interval of checks whether this gateway has to read evacuations, in milliseconds. */
const DUTY_CHECK_INTERVAL_MILLISECONDS = 200;

const {Evacuations} = sourceHealth.SourceKind;
const {SOURCE_ORIGIN} = storeEra;

/** Whether this gateway watches the source for others, and the era of the source. */
export interface WatchDuty {
  readonly isWatching: boolean;
  readonly era: storeEra.StoreEra;
}

/** Follows evacuations of data centres; does nothing unless it is enabled. */
export class EvacuationFollower implements disposable.Disposable {
  /** Fires when data centres that this gateway read from the source were evacuated or reopened, to be relayed to peers. */
  readonly onDidReadChange = new rxjs.Subject<void>();
  readonly dataCentres = new evacuatedDataCentres.EvacuatedDataCentres();
  private readonly health: sourceHealth.SourceHealth;
  private readonly duty: evacuationDuty.EvacuationDuty;
  private isDisposed = false;
  /** Monotonic milliseconds from which lists are believed. */
  private listableFrom = -Infinity;

  constructor(
    /** Time within which an evacuation is in force, in milliseconds; 0 to follow none. */
    private readonly boundMilliseconds: number,
    ownName: string,
    private readonly source: stateSource.StateSource,
    private readonly watchDuty: WatchDuty,
    metrics: gatewayMetrics.GatewayMetrics,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.health = new sourceHealth.SourceHealth(log);
    this.duty = new evacuationDuty.EvacuationDuty(ownName, performance.now());
    watchDuty.era.onDidChange.subscribe(() => {
      this.dataCentres.enterEra();
      // Operators write again what a restored source has lost.
      this.listableFrom =
        performance.now() + instanceRegistry.RECOVERY_GRACE_MILLISECONDS;
    });
    this.dataCentres.onDidChange.subscribe(update => {
      this.logUpdate(update);
      metrics.evacuatedDataCentres.set(this.dataCentres.size);
      if (update.origin === SOURCE_ORIGIN) {
        this.onDidReadChange.next();
      }
    });
    this.dataCentres.onDidIgnore.subscribe(({count, first}) =>
      log.write(
        'data-centre-evacuations-ignored',
        {count, first: first.slice(0, evacuatedDataCentres.MAX_NAME_BYTES)},
        true,
      ),
    );
  }

  private get isEnabled(): boolean {
    return this.boundMilliseconds > 0;
  }

  start(): void {
    if (!this.isEnabled) {
      return;
    }
    void this.follow();
    setTimeout(() => {
      if (!this.dataCentres.isKnown && !this.isDisposed) {
        this.log.write('data-centre-evacuations-unknown', {}, true);
      }
    }, this.boundMilliseconds).unref();
  }

  dispose(): void {
    this.isDisposed = true;
  }

  /** Lists the evacuations again, after this process was suspended. */
  async refresh(): Promise<void> {
    if (this.isEnabled) {
      await this.list();
    }
  }

  /** What peers are told; undefined before anything is known. */
  toRelay(): evacuatedDataCentres.RelayedEvacuations | undefined {
    return this.dataCentres.toRelay();
  }

  /** Applies what the digest of a peer says of evacuations. */
  applyDigest(digest: peerDigest.PeerDigest, now: number): void {
    if (!this.isEnabled || digest.evacuated === undefined) {
      return;
    }
    const isWatching = digest.sourceAgeMilliseconds !== undefined;
    this.duty.recordPeer(digest.name, isWatching, now);
    const [position, dataCentres] = digest.evacuated;
    this.dataCentres.applyList(position, dataCentres, digest.name, now);
  }

  /** Applies what the full state of a peer says of evacuations. */
  applyPeerState({evacuated}: peerDigest.PeerState, peer: string): void {
    const {relayedEvacuationsSchema} = evacuatedDataCentres;
    const read = relayedEvacuationsSchema.safeParse(evacuated);
    if (this.isEnabled && read.success) {
      const [position, dataCentres] = read.data;
      const now = performance.now();
      this.dataCentres.applyList(position, dataCentres, peer, now);
    }
  }

  /**
   * Lists once, then watches, and lists again after a failure. As for other
   * state, only a successful watch resets the backoff.
   */
  private async follow(): Promise<void> {
    let failures = 0;
    let isCurrent = false;
    while (!this.isDisposed) {
      if (!this.isOnDuty()) {
        await deadline.delay(DUTY_CHECK_INTERVAL_MILLISECONDS);
        // What was missed meanwhile is listed when this gateway is on duty again.
        isCurrent = false;
        continue;
      }
      if (isCurrent) {
        isCurrent = await this.watch();
        failures = isCurrent ? 0 : failures + 1;
      } else {
        isCurrent = await this.list();
        failures += isCurrent ? 0 : 1;
      }
      if (!isCurrent) {
        await sourceBackOff.backOff(failures);
      }
    }
  }

  private isOnDuty(): boolean {
    return (
      this.watchDuty.isWatching || this.duty.isSubstitute(performance.now())
    );
  }

  /** Lists the evacuations; returns whether that succeeded. */
  private async list(): Promise<boolean> {
    await deadline.delay(Math.max(0, this.listableFrom - performance.now()));
    const startedAt = performance.now();
    const listed = await this.watchDuty.era.read(this.source.listEvacuations());
    if (listed.isErr()) {
      return this.recordFailure(listed.error, false, startedAt);
    }
    this.health.recordSuccess(Evacuations);
    const {revision, value} = listed.value;
    const now = performance.now();
    this.dataCentres.applyList(revision, value, SOURCE_ORIGIN, now);
    return true;
  }

  /** Waits for changes; returns whether that succeeded. */
  private async watch(): Promise<boolean> {
    const startedAt = performance.now();
    const watched = await this.watchDuty.era.watch(
      this.source.watchEvacuations(this.dataCentres.position),
    );
    if (watched.isErr()) {
      return this.recordFailure(watched.error, true, startedAt);
    }
    this.health.recordSuccess(Evacuations);
    const {revision, value} = watched.value;
    const now = performance.now();
    this.dataCentres.applyChanges(revision, value, SOURCE_ORIGIN, now);
    return true;
  }

  private recordFailure(
    error: stateSource.SourceError,
    isWatch: boolean,
    startedAt: number,
  ): boolean {
    this.health.recordFailure({kind: Evacuations, error, isWatch, startedAt});
    return false;
  }

  private logUpdate({
    position,
    origin,
    changes,
  }: evacuatedDataCentres.EvacuationUpdate): void {
    for (const {dataCentre, isEvacuated} of changes) {
      this.log.write(
        isEvacuated ? 'data-centre-evacuated' : 'data-centre-reopened',
        {data_centre: dataCentre, position, origin},
        true,
      );
    }
  }
}
