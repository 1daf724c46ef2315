/** Keeps configuration and instances up to date from the store, and from peers when the store is out of reach. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
import * as instanceRegistry from '../common/instance_registry';
import * as instanceTable from '../common/instance_table';
import * as peerDigest from '../common/peer_digest';
import * as routeIndex from '../common/route_index';
import * as stateSource from '../common/state_source';

/** First pause after a failed call, in milliseconds; doubled at each further one. */
const MIN_BACKOFF_MILLISECONDS = 100;
const MAX_BACKOFF_MILLISECONDS = 1_000;
/** Bound on waiting for the answer to an extra read, in milliseconds. */
const FRESHNESS_WAIT_MILLISECONDS = 400;
/** Time between two extra reads, in milliseconds. */
const FRESHNESS_INTERVAL_MILLISECONDS = 300;

/** Follows the newest state. */
export class StateFollower implements disposable.Disposable {
  readonly onDidChangeConfiguration = new rxjs.Subject<routeIndex.RouteIndex>();
  readonly onDidDrain = new rxjs.Subject<instanceTable.Instance>();
  readonly onDidChangeInstances = new rxjs.Subject<void>();
  readonly instances = new instanceTable.InstanceTable();
  private readonly registry = new instanceRegistry.InstanceRegistry();
  private index: routeIndex.RouteIndex | undefined;
  private configurationRevision = 0;
  private confirmedAt = -Infinity;
  private isDisposed = false;
  private readonly isAway = new Map<string, boolean>();
  private extraRead: Promise<void> | undefined;
  private extraReadAt = -Infinity;

  constructor(
    private readonly source: stateSource.StateSource,
    private readonly log: jsonLog.JsonLog,
  ) {}

  /** Routes in force; undefined before the first configuration. */
  get routes(): routeIndex.RouteIndex | undefined {
    return this.index;
  }

  get configurationVersion(): number {
    return this.index?.configuration.version ?? 0;
  }

  get instancesRevision(): number {
    return this.registry.revision;
  }

  /** Whether the last call of either kind failed. */
  get isSourceAway(): boolean {
    return [...this.isAway.values()].some(isAway => isAway);
  }

  /** Milliseconds since the configuration was last confirmed by the store. */
  configurationAge(now = performance.now()): number {
    return now - this.confirmedAt;
  }

  start(): void {
    void this.followConfiguration();
    void this.followInstances();
  }

  dispose(): void {
    this.isDisposed = true;
  }

  /** Reads the configuration again unless it was confirmed within the age; returns after a bounded wait. */
  async refreshConfiguration(maxAgeMilliseconds: number): Promise<void> {
    const now = performance.now();
    if (this.configurationAge(now) <= maxAgeMilliseconds) {
      return;
    }
    const isDue = now - this.extraReadAt > FRESHNESS_INTERVAL_MILLISECONDS;
    if (this.extraRead === undefined && isDue) {
      this.extraReadAt = now;
      this.extraRead = this.readConfiguration().then(() => {
        this.extraRead = undefined;
      });
    }
    if (this.extraRead === undefined) {
      return;
    }
    await Promise.race([
      this.extraRead,
      deadline.delay(FRESHNESS_WAIT_MILLISECONDS),
    ]);
  }

  /** Lists the instances again, after this process stood still. */
  async refreshInstances(): Promise<void> {
    await this.listInstances();
  }

  /** State for a peer that lacks it. */
  peerState(): peerDigest.PeerState {
    return {
      configurationRevision: this.configurationRevision,
      configuration: this.index?.configuration,
      instancesRevision: this.registry.revision,
      instances: this.registry.values(),
    };
  }

  /** Takes what is newer of a peer's state. */
  takePeerState(state: peerDigest.PeerState, peer: string): void {
    if (state.configuration !== undefined) {
      this.takeConfiguration(
        {revision: state.configurationRevision, value: state.configuration},
        peer,
      );
    }
    if (state.instancesRevision > this.registry.revision) {
      const revision = state.instancesRevision;
      this.registry.takeList(
        {revision, value: state.instances},
        performance.now(),
      );
      this.applyInstances(peer);
    }
  }

  private followConfiguration(): Promise<void> {
    return this.follow(
      () => this.index !== undefined,
      () => this.readConfiguration(),
      () => this.watchConfiguration(),
    );
  }

  private followInstances(): Promise<void> {
    return this.follow(
      () => this.registry.revision > 0,
      () => this.listInstances(),
      () => this.watchInstances(),
    );
  }

  /**
   * Reads once, then watches, and reads again after a failure. Only a watch
   * that held ends the back-off: a source that answers reads and cuts watches
   * would be called without pause.
   */
  private async follow(
    isKnown: () => boolean,
    read: () => Promise<boolean>,
    watch: () => Promise<boolean>,
  ): Promise<void> {
    let failures = 0;
    let isCurrent = false;
    while (!this.isDisposed) {
      if (!isCurrent || !isKnown()) {
        isCurrent = await read();
        failures += isCurrent ? 0 : 1;
      } else {
        isCurrent = await watch();
        failures = isCurrent ? 0 : failures + 1;
      }
      if (!isCurrent) {
        await this.backOff(failures);
      }
    }
  }

  private async backOff(failures: number): Promise<void> {
    if (failures <= 1) {
      return;
    }
    const pause = MIN_BACKOFF_MILLISECONDS * 2 ** Math.min(failures - 2, 8);
    await deadline.delay(
      deadline.jittered(Math.min(MAX_BACKOFF_MILLISECONDS, pause)),
    );
  }

  private async readConfiguration(): Promise<boolean> {
    const read = await this.source.readConfiguration();
    if (read.isErr()) {
      return this.noteFailure('configuration', read.error);
    }
    this.noteSuccess('configuration');
    this.confirmedAt = performance.now();
    this.takeConfiguration(read.value, 'store');
    return true;
  }

  private async watchConfiguration(): Promise<boolean> {
    const watched = await this.source.watchConfiguration(
      this.configurationRevision,
    );
    if (watched.isErr()) {
      return this.noteFailure('configuration', watched.error);
    }
    this.noteSuccess('configuration');
    this.confirmedAt = performance.now();
    const {revision, value} = watched.value;
    if (value === undefined) {
      this.configurationRevision = Math.max(
        this.configurationRevision,
        revision,
      );
      return true;
    }
    this.takeConfiguration({revision, value}, 'store');
    return true;
  }

  private takeConfiguration(
    snapshot: stateSource.Snapshot<routeIndex.RouteIndex['configuration']>,
    origin: string,
  ): void {
    const {version} = snapshot.value;
    if (this.index !== undefined && version <= this.configurationVersion) {
      return;
    }
    const previous = this.index?.configuration.version;
    this.configurationRevision = Math.max(
      this.configurationRevision,
      snapshot.revision,
    );
    this.index = new routeIndex.RouteIndex(snapshot.value);
    this.log.write(
      'configuration-in-force',
      {
        version,
        previous,
        revision: snapshot.revision,
        origin,
        routes: snapshot.value.routes.length,
      },
      true,
    );
    this.onDidChangeConfiguration.next(this.index);
  }

  private async listInstances(): Promise<boolean> {
    const listed = await this.source.listInstances();
    if (listed.isErr()) {
      return this.noteFailure('instances', listed.error);
    }
    this.noteSuccess('instances');
    this.registry.takeList(listed.value, performance.now());
    this.applyInstances('store');
    return true;
  }

  private async watchInstances(): Promise<boolean> {
    const watched = await this.source.watchInstances(this.registry.revision);
    if (watched.isErr()) {
      return this.noteFailure('instances', watched.error);
    }
    this.noteSuccess('instances');
    this.registry.takeChanges(watched.value, performance.now());
    this.applyInstances('store');
    return true;
  }

  private applyInstances(origin: string): void {
    const now = performance.now();
    this.registry.expire(now);
    const changes = this.instances.replace(this.registry.values(), now);
    const describe = (row: instanceTable.Instance) => row.record.id;
    const isChanged =
      changes.added.length + changes.drained.length + changes.removed.length;
    if (isChanged === 0) {
      return;
    }
    this.log.write('instances-changed', {
      revision: this.registry.revision,
      origin,
      added: changes.added.map(describe),
      drained: changes.drained.map(describe),
      removed: changes.removed.map(describe),
    });
    changes.drained.forEach(row => this.onDidDrain.next(row));
    changes.removed.forEach(row => this.onDidDrain.next(row));
    this.onDidChangeInstances.next();
    this.expireLater(now);
  }

  private expireLater(now: number): void {
    const {graceEnd} = this.registry;
    if (graceEnd === undefined) {
      return;
    }
    setTimeout(
      () => {
        if (this.registry.expire(performance.now())) {
          this.applyInstances('grace-over');
        }
      },
      Math.max(0, graceEnd - now) + 1,
    ).unref();
  }

  private noteFailure(kind: string, error: stateSource.SourceError): boolean {
    if (error === stateSource.SourceError.HistoryLost) {
      this.log.write('store-history-lost', {kind});
      return false;
    }
    if (kind === 'instances') {
      this.registry.noteSourceAway();
    }
    if (this.isAway.get(kind) !== true) {
      this.isAway.set(kind, true);
      this.log.write('store-lost', {kind, error}, true);
    }
    return false;
  }

  private noteSuccess(kind: string): void {
    if (this.isAway.get(kind) === true) {
      this.log.write('store-regained', {kind}, true);
    }
    this.isAway.set(kind, false);
  }
}
