/** Keeps the stored records of the versions of endpoints up to date, and reads them when a stream is resumed. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as endpointVersions from '../../common/versions/endpoint_versions';
import * as versionRecord from '../../common/versions/version_record';
import * as versionStore from '../../common/versions/version_store';
import * as stateFollower from '../state_follower';

const NAME_PREFIX = 'endpoint.';
/** Interval of checks whether a record has to be written, in milliseconds: after a failed write, and when this gateway begins to watch the store. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Records of the endpoints whose streams can be resumed. */
export class EndpointRecords implements disposable.Disposable {
  private readonly subscription: rxjs.Subscription;
  /** Versions as last written or read, by endpoint. */
  private readonly recorded = new Map<string, versionRecord.VersionRecord>();
  private readonly adopted = new Set<string>();
  private readonly loading = new Map<string, Promise<void>>();
  private readonly timer: disposable.Disposable;
  private isWriting = false;
  private isChanged = false;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly versions: endpointVersions.EndpointVersions,
    private readonly store: versionStore.VersionStore,
    private readonly isFirstStart: boolean,
    private readonly log: jsonLog.JsonLog,
  ) {
    // A record follows from the routes as well as from the instances.
    this.subscription = rxjs
      .merge(follower.onDidChangeInstances, follower.onDidChangeConfiguration)
      .subscribe(() => void this.writeAll());
    this.subscription.add(
      follower.era.onDidChange.subscribe(() => {
        // What was written may be lost.
        this.recorded.clear();
        void this.writeAll();
      }),
    );
    this.timer = disposable.every(
      CHECK_INTERVAL_MILLISECONDS,
      () => void this.writeAll(),
    );
  }

  dispose(): void {
    this.subscription.unsubscribe();
    this.timer.dispose();
  }

  /** Reads the record of an endpoint unless all its versions are known; one that cannot be read is read again by the next call. */
  async load(endpoint: string): Promise<void> {
    const isKnown =
      this.adopted.has(endpoint) ||
      this.versions.isComplete(endpoint, performance.now());
    if (isKnown) {
      return;
    }
    let loading = this.loading.get(endpoint);
    if (loading === undefined) {
      loading = this.readOrCreate(endpoint).then(() => {
        this.loading.delete(endpoint);
      });
      this.loading.set(endpoint, loading);
    }
    await loading;
  }

  /** Reads the record, and creates it if there is none, as just after the first start of the system. */
  private async readOrCreate(endpoint: string): Promise<void> {
    const result = await this.store.read(NAME_PREFIX + endpoint);
    if (result.isErr()) {
      this.log.write('endpoint-versions-unreadable', {
        endpoint,
        error: result.error,
      });
      return;
    }
    const record = versionRecord.parseRecord(result.value?.content);
    if (record === undefined) {
      await this.write(endpoint);
      return;
    }
    this.adopt(endpoint, record);
  }

  private adopt(endpoint: string, record: versionRecord.VersionRecord): void {
    this.recorded.set(endpoint, record);
    this.adopted.add(endpoint);
    this.versions.adopt(endpoint, record, Date.now(), performance.now());
  }

  /** Writes the records that no longer fit the registered versions, if this gateway watches the store. */
  private async writeAll(): Promise<void> {
    this.isChanged = true;
    if (this.isWriting || !this.follower.isWatching) {
      return;
    }
    this.isWriting = true;
    // What changes meanwhile is written too.
    while (this.isChanged) {
      this.isChanged = false;
      for (const endpoint of this.resumableEndpoints().filter(each =>
        this.isDue(each),
      )) {
        await this.write(endpoint);
      }
    }
    this.isWriting = false;
  }

  /** Whether the record has to be written, as far as this gateway knows it. */
  private isDue(endpoint: string): boolean {
    const record = this.recorded.get(endpoint);
    const isKnown =
      this.versions.known(endpoint, Date.now(), performance.now()).size > 0;
    return (
      (isKnown || record !== undefined) &&
      this.nextRecord(endpoint, record) !== undefined
    );
  }

  private nextRecord(
    endpoint: string,
    record: versionRecord.VersionRecord | undefined,
  ): versionRecord.VersionRecord | undefined {
    const unixNow = Date.now();
    return versionRecord.nextRecord(
      record,
      this.versions.known(endpoint, unixNow, performance.now()),
      this.isFirstStart,
      unixNow,
    );
  }

  /** Writes the record of an endpoint from what the store has. What fails is tried again by the next check. */
  private async write(endpoint: string): Promise<void> {
    const result = await this.store.read(NAME_PREFIX + endpoint);
    if (result.isErr()) {
      return;
    }
    const stored = result.value;
    const record = versionRecord.parseRecord(stored?.content);
    if (record !== undefined) {
      this.adopt(endpoint, record);
    }
    const next = this.nextRecord(endpoint, record);
    if (next === undefined) {
      return;
    }
    const name = NAME_PREFIX + endpoint;
    const written = await this.store.write(name, next, stored?.revision);
    if (written.isErr()) {
      this.log.write('endpoint-versions-not-recorded', {
        endpoint,
        error: written.error,
      });
      return;
    }
    this.log.write('endpoint-versions-recorded', {
      endpoint,
      versions: next.versions,
      complete_since: next.completeSince,
    });
    this.adopt(endpoint, next);
  }

  private resumableEndpoints(): string[] {
    const routes = this.follower.routes?.configuration.routes ?? [];
    const names = routes
      .filter(route => route.isResumable)
      .flatMap(route => route.endpoints.map(each => each.endpoint));
    return [...new Set(names)];
  }
}
