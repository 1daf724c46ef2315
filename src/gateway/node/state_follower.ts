/** Keeps configuration and instances up to date from the store, and from peers if the store is unreachable. */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
import * as activeConfiguration from '../common/active_configuration';
import * as configuration from '../common/configuration';
import * as instanceRegistry from '../common/instance_registry';
import * as instanceTable from '../common/instance_table';
import * as peerDigest from '../common/fleet/peer_digest';
import * as routeIndex from '../common/route_index';
import * as sourceSilence from '../common/source_silence';
import * as stateSource from '../common/state_source';
import * as watcherElection from '../common/fleet/watcher_election';
import * as storeEra from '../common/store_era';
import * as boundedRefresh from './bounded_refresh';
import * as sourceHealth from './source_health';
import * as sourceLoop from './source_loop';

const {SourceKind} = sourceHealth;
const {SOURCE_ORIGIN} = storeEra;

/** Holds the newest known configuration and instances. */
export class StateFollower implements disposable.Disposable {
  readonly onDidChangeConfiguration = new rxjs.Subject<routeIndex.RouteIndex>();
  /** Fires for instances that start draining or are removed. */
  readonly onDidStartDraining = new rxjs.Subject<instanceTable.Instance>();
  readonly onDidChangeInstances = new rxjs.Subject<void>();
  /** Fires with changes read from the source, to be relayed to peers. */
  readonly onDidReadChange =
    new rxjs.Subject<instanceRegistry.RegistryChange>();
  readonly instances = new instanceTable.InstanceTable();
  readonly configuration = new activeConfiguration.ActiveConfiguration();
  /** History of the source to which all revisions and positions belong. */
  readonly era = new storeEra.StoreEra();
  private readonly registry = new instanceRegistry.InstanceRegistry();
  private configurationRevision = 0;
  private confirmedAt = -Infinity;
  private instancesReadAt = -Infinity;
  private isWatchingSource = true;
  private isDisposed = false;
  private readonly instancesSilence = new sourceSilence.SourceSilence();
  private readonly health: sourceHealth.SourceHealth;
  private readonly refresh = new boundedRefresh.BoundedRefresh(() =>
    this.readConfiguration(),
  );

  constructor(
    private readonly source: stateSource.StateSource,
    private readonly election: watcherElection.WatcherElection,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.health = new sourceHealth.SourceHealth(log);
    this.era.onDidChange.subscribe(change => this.enterEra(change));
  }

  /** Routes in force; undefined before the first configuration. */
  get routes(): routeIndex.RouteIndex | undefined {
    return this.configuration.routes;
  }

  get configurationVersion(): number {
    return this.configuration.version;
  }

  get instancesPosition(): number {
    return this.registry.position;
  }

  /** Whether this gateway watches the source itself, rather than peers on its behalf. */
  get isWatching(): boolean {
    return this.isWatchingSource;
  }

  /** Age of the state last read from the source, in milliseconds; undefined unless this gateway watches it and has read all of it. */
  sourceAge(now = performance.now()): number | undefined {
    const isWatched = this.isWatchingSource && !this.isSourceUnavailable;
    const readAt = Math.min(this.confirmedAt, this.instancesReadAt);
    return isWatched && readAt > -Infinity ? now - readAt : undefined;
  }

  /** Whether the last read of the configuration or of the instances failed. */
  get isSourceUnavailable(): boolean {
    return this.health.isUnavailable;
  }

  /** Milliseconds since the configuration was last confirmed by the store. */
  configurationAge(now = performance.now()): number {
    return now - this.confirmedAt;
  }

  start(): void {
    void this.follow({
      hasState: () => this.routes !== undefined,
      read: () => this.readConfiguration(),
      watch: () => this.watchConfiguration(),
    });
    void this.follow({
      hasState: () => this.registry.revision > 0,
      read: () => this.listInstances(),
      watch: () => this.watchInstances(),
    });
  }

  dispose(): void {
    this.isDisposed = true;
  }

  /** Reads the configuration again unless it was confirmed within the given age; returns after a bounded wait. */
  async refreshConfiguration(maxAgeMilliseconds: number): Promise<void> {
    const now = performance.now();
    if (this.configurationAge(now) > maxAgeMilliseconds) {
      await this.refresh.run(now);
    }
  }

  /** Marks an instance as draining that says itself that it is about to stop. */
  markLeaving(instance: instanceTable.Instance, origin: string): void {
    if (!this.instances.markLeaving(instance, performance.now())) {
      return;
    }
    this.log.write('instance-leaving', {
      instance: instance.record.id,
      origin,
      store_away: this.isSourceUnavailable,
    });
    this.onDidStartDraining.next(instance);
  }

  /** Lists the instances again, after this process was suspended. */
  async refreshInstances(): Promise<void> {
    await this.listInstances();
  }

  /** State for a peer that has the given version of the configuration; undefined if it needs the whole configuration. */
  peerState(peerVersion?: number): peerDigest.PeerState {
    return {
      storeEra: this.era.current,
      configurationRevision: this.configurationRevision,
      ...this.configuration.updateFor(peerVersion),
      instancesPosition: this.registry.position,
      instances: this.registry.values(),
    };
  }

  /** Applies the parts of a peer's state that are newer. */
  applyPeerState(state: peerDigest.PeerState, peer: string): void {
    this.era.observe(state.storeEra, peer);
    const isComparable = this.era.isCurrent(state.storeEra);
    const isOfEra = isComparable && state.isOfEarlierEra !== true;
    const value = isOfEra
      ? this.configuration.resolve(state)
      : state.configuration;
    if (value !== undefined) {
      const revision = isComparable ? state.configurationRevision : 0;
      this.applyConfiguration({revision, value}, peer, isOfEra);
    }
    const {instancesPosition: at, instances} = state;
    const now = performance.now();
    this.markOutage(now);
    if (isComparable && this.registry.applyPeerState(at, instances, now)) {
      this.applyInstances(peer);
    }
  }

  /** Applies changes that a peer read, unless earlier ones are missing here; those are fetched by position. */
  applyRelayedChange(
    change: instanceRegistry.RegistryChange,
    peer: string,
  ): void {
    if (!this.registry.applyRelayed(change)) {
      const {from, to} = change;
      const position = this.instancesPosition;
      this.log.write('relayed-change-ahead', {peer, from, to, position});
      return;
    }
    this.applyInstances(peer);
  }

  /** Confirms the configuration if a peer read the same version from the source; `at` is in monotonic milliseconds. */
  confirmConfiguration(version: number, at: number): void {
    if (version === this.configurationVersion) {
      this.confirmedAt = Math.max(this.confirmedAt, at);
    }
  }

  private follow(
    state: Pick<sourceLoop.FollowedState, 'hasState' | 'read' | 'watch'>,
  ): Promise<void> {
    return sourceLoop.follow({
      ...state,
      isOnDuty: () => this.updateIsWatching(),
      isOver: () => this.isDisposed,
    });
  }

  /** Returns whether this gateway has to watch the source now; logs changes. */
  private updateIsWatching(): boolean {
    const isWatcher = this.election.isWatcher(performance.now());
    if (isWatcher !== this.isWatchingSource) {
      this.isWatchingSource = isWatcher;
      this.log.write('watch-duty', {watching: isWatcher}, true);
    }
    return isWatcher;
  }

  /** Reads the configuration now; false if that failed. */
  async readConfiguration(): Promise<boolean> {
    const startedAt = performance.now();
    const read = await this.era.read(this.source.readConfiguration());
    if (read.isErr()) {
      const {error} = read;
      const kind = SourceKind.Configuration;
      this.health.recordFailure({kind, error, isWatch: false, startedAt});
      return false;
    }
    this.health.recordSuccess(SourceKind.Configuration);
    this.confirmedAt = performance.now();
    this.advanceConfiguration(read.value.revision);
    this.applyConfiguration(read.value, SOURCE_ORIGIN);
    return true;
  }

  private async watchConfiguration(): Promise<boolean> {
    const startedAt = performance.now();
    const watched = await this.era.watch(
      this.source.watchConfiguration(this.configurationRevision),
    );
    if (watched.isErr()) {
      const {error} = watched;
      const kind = SourceKind.Configuration;
      this.health.recordFailure({kind, error, isWatch: true, startedAt});
      return false;
    }
    this.health.recordSuccess(SourceKind.Configuration);
    this.confirmedAt = performance.now();
    const {revision, value} = watched.value;
    this.advanceConfiguration(revision);
    if (value !== undefined) {
      this.applyConfiguration({revision, value}, SOURCE_ORIGIN);
    }
    return true;
  }

  private advanceConfiguration(revision: number): void {
    this.configurationRevision = Math.max(this.configurationRevision, revision);
  }

  private applyConfiguration(
    snapshot: stateSource.Snapshot<configuration.Configuration>,
    origin: string,
    isOfEra = true,
  ): void {
    const {version, routes} = snapshot.value;
    const previous = this.routes?.configuration.version;
    if (!this.configuration.activate(snapshot.value, isOfEra)) {
      return;
    }
    this.advanceConfiguration(snapshot.revision);
    this.log.write(
      'configuration-in-force',
      {
        version,
        previous,
        revision: snapshot.revision,
        origin,
        routes: routes.length,
      },
      true,
    );
    this.onDidChangeConfiguration.next(this.configuration.routes!);
  }

  private async listInstances(): Promise<boolean> {
    const startedAt = performance.now();
    const listed = await this.era.read(this.source.listInstances());
    if (listed.isErr()) {
      return this.recordInstancesFailure(listed.error, false, startedAt);
    }
    this.recordInstancesAnswer();
    this.registry.applyList(listed.value, this.instancesReadAt);
    this.applyInstances(SOURCE_ORIGIN);
    return true;
  }

  private async watchInstances(): Promise<boolean> {
    const startedAt = performance.now();
    const watched = await this.era.watch(
      this.source.watchInstances(this.registry.revision),
    );
    if (watched.isErr()) {
      return this.recordInstancesFailure(watched.error, true, startedAt);
    }
    this.recordInstancesAnswer();
    this.registry.applyChanges(watched.value, this.instancesReadAt);
    this.applyInstances(SOURCE_ORIGIN);
    return true;
  }

  /** Keeps what is in force, and reads everything again: the source was restored from a copy. */
  private enterEra({from, to, origin}: storeEra.EraChange): void {
    this.log.write(
      'store-era-changed',
      {
        from,
        to,
        origin,
        configuration_revision: this.configurationRevision,
        instances_position: this.registry.position,
      },
      true,
    );
    this.configurationRevision = 0;
    this.configuration.enterEra();
    this.registry.enterEra(performance.now());
    // Reads entries again that were not believed until now.
    setTimeout(() => {
      if (this.isWatchingSource && !this.isDisposed) {
        void this.refreshInstances();
      }
    }, instanceRegistry.DISTRUST_MILLISECONDS).unref();
  }

  private applyInstances(origin: string): void {
    const now = performance.now();
    this.registry.expire(now);
    const change = this.registry.commit();
    if (change !== undefined && origin === SOURCE_ORIGIN) {
      this.onDidReadChange.next(change);
    }
    const changes = this.instances.replace(this.registry.values(), now);
    this.scheduleExpiry(now);
    const idOf = (instance: instanceTable.Instance) => instance.record.id;
    const changeCount =
      changes.added.length + changes.drained.length + changes.removed.length;
    if (changeCount === 0) {
      return;
    }
    this.log.write('instances-changed', {
      revision: this.registry.revision,
      position: this.registry.position,
      origin,
      added: changes.added.map(idOf),
      drained: changes.drained.map(idOf),
      removed: changes.removed.map(idOf),
    });
    changes.drained.forEach(instance => this.onDidStartDraining.next(instance));
    changes.removed.forEach(instance => this.onDidStartDraining.next(instance));
    this.onDidChangeInstances.next();
  }

  /** Removes instances that disappeared around an outage of the source, once their grace period is over. */
  private scheduleExpiry(now: number): void {
    const {graceEnd} = this.registry;
    if (graceEnd === undefined) {
      return;
    }
    setTimeout(
      () => {
        if (this.registry.expire(performance.now())) {
          this.applyInstances(SOURCE_ORIGIN);
        }
      },
      Math.max(0, graceEnd - now) + 1,
    ).unref();
  }

  private recordInstancesAnswer(): void {
    const now = performance.now();
    this.health.recordSuccess(SourceKind.Instances);
    this.markOutage(now);
    this.instancesSilence.recordAnswer();
    this.instancesReadAt = now;
  }

  private recordInstancesFailure(
    error: stateSource.SourceError,
    isWatch: boolean,
    startedAt: number,
  ): boolean {
    const kind = SourceKind.Instances;
    this.health.recordFailure({kind, error, isWatch, startedAt});
    if (error !== stateSource.SourceError.HistoryLost) {
      this.instancesSilence.recordFailure(startedAt, performance.now());
    }
    return false;
  }

  /** Tells the registry if entries may have lapsed since the source last answered. */
  private markOutage(now: number): void {
    if (this.instancesSilence.isOutage(now)) {
      this.registry.markSourceUnreachable();
    }
  }
}
