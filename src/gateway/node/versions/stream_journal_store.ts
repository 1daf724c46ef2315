/** Writes the journal of this gateway's streams to the store while versions are mixed, and searches the journals of all gateways. */
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as streamJournal from '../../common/versions/stream_journal';
import * as versionStore from '../../common/versions/version_store';

const NAME_PREFIX = 'gateway.';
/** Interval between writes, in milliseconds; each is a call to the store. */
const WRITE_INTERVAL_MILLISECONDS = 1_000;
/** Age up to which a list is used for further streams, in milliseconds. */
const MAX_LIST_AGE_MILLISECONDS = 1_000;
/** Maximum number of outdated journals removed after a list. */
const MAX_REMOVED = 4;

/** Outcome of searching the journals. */
export interface JournalResult {
  /** Version that began the stream; undefined if no journal has it. */
  readonly softwareVersion: string | undefined;
  /** Whether the journals could be read. */
  readonly isRead: boolean;
}

/** The journal of one gateway. */
export class StreamJournalStore implements disposable.Disposable {
  private readonly journal = new streamJournal.StreamJournal();
  private readonly name: string;
  private readonly timer: disposable.Disposable;
  private isWriting = false;
  /** Revision of the own object; undefined if there is none. */
  private revision: number | undefined;
  private hasRestored = false;
  private listed: Promise<ReadonlyMap<string, string> | undefined> | undefined;
  private listedAt = -Infinity;

  constructor(
    private readonly store: versionStore.VersionStore,
    gatewayName: string,
    /** Whether streams have to be written now. */
    private readonly isMixed: () => boolean,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.name = NAME_PREFIX + gatewayName;
    this.timer = disposable.every(
      WRITE_INTERVAL_MILLISECONDS,
      () => void this.write(),
    );
  }

  dispose(): void {
    this.timer.dispose();
  }

  /** Writes all streams again, since the store was restored from a copy. */
  enterEra(): void {
    this.journal.enterEra();
    this.revision = undefined;
    this.hasRestored = false;
    this.listedAt = -Infinity;
  }

  add(attemptId: string, softwareVersion: string): void {
    this.journal.add(attemptId, softwareVersion, Date.now());
  }

  complete(attemptId: string): void {
    this.journal.complete(attemptId);
  }

  /** Searches the journals of all gateways for a stream. */
  async find(attemptId: string): Promise<JournalResult> {
    const now = performance.now();
    if (now - this.listedAt > MAX_LIST_AGE_MILLISECONDS) {
      this.listedAt = now;
      this.listed = this.list();
    }
    const streams = await this.listed;
    return {
      softwareVersion: streams?.get(attemptId),
      isRead: streams !== undefined,
    };
  }

  private async list(): Promise<ReadonlyMap<string, string> | undefined> {
    const result = await this.store.list();
    if (result.isErr()) {
      this.log.write('stream-journals-unreadable', {error: result.error});
      return undefined;
    }
    const journals = result.value
      .filter(({name}) => name.startsWith(NAME_PREFIX))
      .map(each => ({
        ...each,
        streams: streamJournal.parseStreams(each.content, Date.now()),
      }));
    journals
      .filter(({name, streams}) => streams.length === 0 && name !== this.name)
      .slice(0, MAX_REMOVED)
      .forEach(({name, revision}) => void this.store.remove(name, revision));
    return new Map(
      journals.flatMap(({streams}) =>
        streams.map(([id, version]) => [id, version] as const),
      ),
    );
  }

  private async write(): Promise<void> {
    if (this.isWriting || !this.isMixed()) {
      return;
    }
    const isDue = this.journal.pending(Date.now()) !== undefined;
    if (!isDue) {
      return;
    }
    this.isWriting = true;
    if (this.hasRestored || (await this.restore())) {
      await this.writePending();
    }
    this.isWriting = false;
  }

  /** Reads what an earlier process of this gateway stored, which must not be lost by the first write. */
  private async restore(): Promise<boolean> {
    const result = await this.store.read(this.name);
    if (result.isErr()) {
      return false;
    }
    this.revision = result.value?.revision;
    this.journal.restore(
      streamJournal.parseStreams(result.value?.content, Date.now()),
    );
    this.hasRestored = true;
    return true;
  }

  private async writePending(): Promise<void> {
    const streams = this.journal.pending(Date.now());
    if (streams === undefined) {
      return;
    }
    const written = await this.store.write(this.name, {streams}, this.revision);
    if (written.isErr()) {
      this.log.write('stream-journal-not-written', {
        streams: streams.length,
        error: written.error,
      });
      // Another process may have written the object, or removed it as outdated.
      this.hasRestored = false;
      return;
    }
    this.revision = written.value;
    this.journal.markStored(streams);
  }
}
