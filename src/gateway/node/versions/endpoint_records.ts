/** Keeps the stored records of the versions of endpoints up to date, and reads them when a stream is resumed. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as endpointVersions from '../../common/versions/endpoint_versions';
import * as versionRecord from '../../common/versions/version_record';
import * as versionStore from '../../common/versions/version_store';
import * as stateFollower from '../state_follower';

const NAME_PREFIX = 'endpoint.';
/** Time after which a failed write is tried again, in milliseconds. */
const RETRY_MILLISECONDS = 1_000;

/** Records of the endpoints whose streams can be resumed. */
export class EndpointRecords implements disposable.Disposable {
  private readonly subscription: rxjs.Subscription;
  /** Versions as last written or read, by endpoint. */
  private readonly recorded = new Map<string, versionRecord.VersionRecord>();
  private readonly adopted = new Set<string>();
  private readonly loading = new Map<string, Promise<void>>();
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly versions: endpointVersions.EndpointVersions,
    private readonly store: versionStore.VersionStore,
    private readonly isFirstStart: boolean,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.subscription = follower.onDidChangeInstances.subscribe(
      () => void this.writeAll(),
    );
    this.subscription.add(
      follower.era.onDidChange.subscribe(() => {
        // What was written may be lost.
        this.recorded.clear();
        void this.writeAll();
      }),
    );
  }

  dispose(): void {
    this.subscription.unsubscribe();
    clearTimeout(this.timer);
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
    if (this.isWriting || !this.follower.isWatching) {
      return;
    }
    this.isWriting = true;
    for (const endpoint of this.resumableEndpoints()) {
      if (this.isDue(endpoint) && !(await this.write(endpoint))) {
        this.timer ??= setTimeout(() => {
          this.timer = undefined;
          void this.writeAll();
        }, RETRY_MILLISECONDS).unref();
      }
    }
    this.isWriting = false;
  }

  /** Whether the record has to be written, as far as this gateway knows it. */
  private isDue(endpoint: string): boolean {
    const registered = this.versions.registered(endpoint);
    const record = this.recorded.get(endpoint);
    const next = versionRecord.nextRecord(
      record,
      registered,
      this.isFirstStart,
      Date.now(),
    );
    return (
      next !== undefined && (registered.length > 0 || record !== undefined)
    );
  }

  /** Writes the record of an endpoint from what the store has; returns false if it has to be tried again. */
  private async write(endpoint: string): Promise<boolean> {
    const result = await this.store.read(NAME_PREFIX + endpoint);
    if (result.isErr()) {
      return false;
    }
    const stored = result.value;
    const record = versionRecord.parseRecord(stored?.content);
    if (record !== undefined) {
      this.adopt(endpoint, record);
    }
    const next = versionRecord.nextRecord(
      record,
      this.versions.registered(endpoint),
      this.isFirstStart,
      Date.now(),
    );
    if (next === undefined) {
      return true;
    }
    const name = NAME_PREFIX + endpoint;
    const written = await this.store.write(name, next, stored?.revision);
    if (written.isErr()) {
      return false;
    }
    this.log.write('endpoint-versions-recorded', {
      endpoint,
      versions: next.versions,
      complete_since: next.completeSince,
    });
    this.adopt(endpoint, next);
    return true;
  }

  private resumableEndpoints(): string[] {
    const routes = this.follower.routes?.configuration.routes ?? [];
    const names = routes
      .filter(route => route.isResumable)
      .flatMap(route => route.endpoints.map(each => each.endpoint));
    return [...new Set(names)];
  }
}
