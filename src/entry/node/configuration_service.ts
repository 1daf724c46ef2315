/** Commits configuration changes to the object API, and reads those that other entries committed. */
import * as neverthrow from 'neverthrow';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as log from '../../base/node/log';
import * as configurationTable from '../../decision/common/configuration_table';
import * as changeSystem from '../../decision/common/change_system';
import * as objectStore from '../../storage/common/object_store';
import * as configurationMessages from '../../protocol/common/configuration_messages';
import * as snapshotStore from './snapshot_store';

/** Key of the object that holds the current revision, its latest changes and the location of the snapshot. */
const HEAD_KEY = 'configuration/head';
/** Average time between reads of the head across all entries, in milliseconds. */
const DEPLOYMENT_READ_INTERVAL_MILLISECONDS = 500;
const MAX_COMMIT_TRIES = 6;
const COMMIT_RETRY_MILLISECONDS = 50;
/** Number of changes in the head from which a snapshot is written. */
const MAX_HEAD_CHANGES = 128;
/** Size of the head beyond which a snapshot is written, in bytes. */
const MAX_HEAD_BYTES = 512 * 1024;
/** Changes kept in the head after a snapshot, for lagging readers and repeated calls. */
const KEPT_HEAD_CHANGES = 64;

const EMPTY_HEAD: configurationMessages.ConfigurationHead = {
  revision: 0,
  snapshotRevision: 0,
  snapshotChunks: 0,
  changes: [],
};

/** Result of a successful commit. */
export interface CommitResult {
  readonly revision: number;
  /** Whether an earlier call with the same change identifier was accepted. */
  readonly isRepeated: boolean;
  /** Whether the change set differs from what is in force. */
  readonly isChanged: boolean;
}

interface VersionedHead {
  readonly head: configurationMessages.ConfigurationHead;
  /** Version of the stored object; 0 when it does not exist. */
  readonly version: number;
}

/** Reads the head and commits new revisions to it. */
export class ConfigurationService implements disposable.Disposable {
  readonly table = new configurationTable.ConfigurationTable();
  private readonly logger = new log.Logger('configuration');
  private readonly snapshots: snapshotStore.SnapshotStore;
  private cachedHead: VersionedHead = {head: EMPTY_HEAD, version: 0};
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  /** When the store last answered, in monotonic milliseconds. */
  storeAnsweredAt = -Infinity;

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly entryCount: () => number,
  ) {
    this.snapshots = new snapshotStore.SnapshotStore(store);
    this.table.onDidAdvance.subscribe(revision =>
      this.logger.info('configuration', {revision}),
    );
  }

  /** Reads the head, and schedules further reads that are shared with the other entries. */
  async start(): Promise<void> {
    await this.refresh();
    this.schedule();
  }

  /**
   * Reads the head and applies it if its revision is higher. Returns whether
   * the table is up to date with the head that was read.
   */
  async refresh(): Promise<boolean> {
    const read = await this.readHead();
    if (read.isErr()) {
      return false;
    }
    this.storeAnsweredAt = performance.now();
    return this.catchUp(read.value.head);
  }

  /**
   * Commits a change set. Errors: Conflict, InvalidDeclaration,
   * StoreUnavailable when it was not accepted, ChangeOutcomeUnknown when that
   * is not known.
   */
  async commit(
    changeId: string,
    changes: readonly changeSystem.RequestedChange[],
    isDryRun: boolean,
  ): Promise<neverthrow.Result<CommitResult, failure.Failure>> {
    let isUncertain = false;
    for (let tries = 0; tries < MAX_COMMIT_TRIES; tries++) {
      if (tries > 0) {
        await deadline.delay(
          deadline.jittered(COMMIT_RETRY_MILLISECONDS * 2 ** tries),
        );
      }
      const read = await this.readHead();
      if (read.isErr() || !(await this.catchUp(read.value.head))) {
        continue;
      }
      const earlier = read.value.head.changes.find(
        change => change.changeId === changeId,
      );
      if (earlier !== undefined) {
        return neverthrow.ok({
          revision: earlier.revision,
          isRepeated: true,
          isChanged: true,
        });
      }
      if (this.table.revision > read.value.head.revision) {
        // The read was stale, so the change cannot be checked against it.
        continue;
      }
      const checked = changeSystem.checkChanges(this.table, changes);
      if (checked.isErr()) {
        return neverthrow.err(checked.error);
      }
      if (isDryRun || checked.value.length === 0) {
        const isChanged = checked.value.length > 0;
        return neverthrow.ok({
          revision: this.table.revision,
          isRepeated: false,
          isChanged,
        });
      }
      const written = await this.write(read.value, changeId, checked.value);
      if (written.isOk()) {
        return neverthrow.ok({
          revision: written.value,
          isRepeated: false,
          isChanged: true,
        });
      }
      isUncertain =
        isUncertain || written.error === objectStore.StoreError.Unknown;
    }
    return neverthrow.err(commitFailure(isUncertain));
  }

  /**
   * Applies a configuration received from a peer if it is newer and follows the
   * current revision without a gap. Returns whether it was applied.
   */
  applySync(
    sync: configurationMessages.SyncReply,
    fromRevision: number,
  ): boolean {
    return this.table.applySync(sync, fromRevision);
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const interval = deadline.jittered(
      DEPLOYMENT_READ_INTERVAL_MILLISECONDS * Math.max(1, this.entryCount()),
    );
    this.timer = setTimeout(
      () => void this.refresh().then(() => this.schedule()),
      interval,
    );
    this.timer.unref?.();
  }

  private async readHead(): Promise<
    neverthrow.Result<VersionedHead, objectStore.StoreError>
  > {
    const read = await this.store.readIfChanged(
      HEAD_KEY,
      this.cachedHead.version,
    );
    if (read.isErr()) {
      const isMissing = read.error === objectStore.StoreError.NotFound;
      return isMissing
        ? neverthrow.ok({head: EMPTY_HEAD, version: 0})
        : neverthrow.err(read.error);
    }
    if (read.value.changed !== undefined) {
      const head = configurationMessages.configurationHeadSchema.parse(
        JSON.parse(read.value.changed.value),
      );
      this.cachedHead = {head, version: read.value.changed.version};
    }
    return neverthrow.ok(this.cachedHead);
  }

  /** Brings the table up to date with the head. Returns false if a needed snapshot cannot be read now. */
  private async catchUp(
    head: configurationMessages.ConfigurationHead,
  ): Promise<boolean> {
    if (head.revision <= this.table.revision) {
      return true;
    }
    const oldest = head.changes[0]?.revision ?? Infinity;
    if (
      this.table.revision + 1 < oldest &&
      this.table.revision < head.snapshotRevision
    ) {
      const objects = await this.snapshots.read(
        head.snapshotRevision,
        head.snapshotChunks,
      );
      if (objects === undefined) {
        return false;
      }
      this.table.applySync(
        {revision: head.snapshotRevision, isSnapshot: true, objects},
        0,
      );
    }
    head.changes.forEach(change => this.table.applyChange(change));
    return this.table.revision >= head.revision;
  }

  private async write(
    read: VersionedHead,
    changeId: string,
    objects: readonly changeSystem.CheckedChange[],
  ): Promise<neverthrow.Result<number, objectStore.StoreError>> {
    const revision = read.head.revision + 1;
    const change: configurationMessages.AcceptedChange = {
      revision,
      changeId,
      objects: objects.map(checked => toStoredObject(checked, revision)),
    };
    const base = await this.compact(read.head);
    const head = {...base, revision, changes: [...base.changes, change]};
    const written = await this.store.write(
      HEAD_KEY,
      JSON.stringify(head),
      read.version,
    );
    if (written.isErr()) {
      return neverthrow.err(written.error);
    }
    this.cachedHead = {head, version: written.value};
    this.table.applyChange(change);
    if (base.snapshotRevision !== read.head.snapshotRevision) {
      void this.snapshots.remove(
        read.head.snapshotRevision,
        read.head.snapshotChunks,
      );
    }
    return neverthrow.ok(revision);
  }

  /** Moves old changes of a long head to a snapshot. Returns the head unchanged if that fails. */
  private async compact(
    head: configurationMessages.ConfigurationHead,
  ): Promise<configurationMessages.ConfigurationHead> {
    const isLong =
      head.changes.length >= MAX_HEAD_CHANGES ||
      JSON.stringify(head).length > MAX_HEAD_BYTES;
    if (!isLong || this.table.revision !== head.revision) {
      return head;
    }
    const chunks = await this.snapshots.write(
      head.revision,
      this.table.snapshot(),
    );
    if (chunks === undefined) {
      return head;
    }
    const kept = head.changes.slice(-KEPT_HEAD_CHANGES);
    const isSmall = JSON.stringify(kept).length <= MAX_HEAD_BYTES / 2;
    return {
      revision: head.revision,
      snapshotRevision: head.revision,
      snapshotChunks: chunks,
      changes: isSmall ? kept : kept.slice(-1),
    };
  }
}

function toStoredObject(
  checked: changeSystem.CheckedChange,
  revision: number,
): configurationMessages.StoredObject {
  return checked.isRemoval
    ? configurationTable.toRemoved(checked.object, revision)
    : configurationTable.toStored(checked.object, revision);
}

function commitFailure(isUncertain: boolean): failure.Failure {
  if (isUncertain) {
    const message =
      'the object API did not confirm the change; repeat the call with the same change identifier';
    return failure.unknownOutcome(
      resultCode.ResultCode.ChangeOutcomeUnknown,
      message,
      2,
    );
  }
  return failure.notRun(
    resultCode.ResultCode.StoreUnavailable,
    'the object API does not answer',
    2,
  );
}
