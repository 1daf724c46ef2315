/**
 * Stores claims on actions that may run at most once. A page is one object in
 * the object API that holds many claims, which are batched into one write.
 */
import * as neverthrow from 'neverthrow';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as log from '../../base/node/log';
import * as claimPage from '../../protocol/common/claim_page';
import * as objectStore from '../../storage/common/object_store';

/** Time after which an operation is no longer retried, in milliseconds. */
const OPERATION_TIMEOUT_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 20;
/** Minimum time between writes of one page, in milliseconds. */
const BATCH_INTERVAL_MILLISECONDS = 40;
const CONFIRMATION_RETRY_MILLISECONDS = 1_000;
const MAX_CONFIRMATION_TRIES = 600;
const MAX_PAGE_BYTES = 900 * 1024;
const MAX_CACHED_PAGES = 256;
/** Average time between removals of expired pages across all entries, in milliseconds. */
const DEPLOYMENT_SWEEP_INTERVAL_MILLISECONDS = 600_000;

interface QueuedOperation {
  readonly operation: claimPage.ClaimOperation;
  readonly expiresAt: number;
  readonly settle: (
    result: neverthrow.Result<claimPage.ClaimResult, claimPage.ClaimError>,
  ) => void;
}

interface CachedPage {
  readonly page: claimPage.ClaimPage;
  readonly version: number;
}

/** Result of an operation, or why it was not confirmed. */
export type ClaimOperationResult = neverthrow.Result<
  claimPage.ClaimResult,
  claimPage.ClaimError
>;

/** Forwards operations to the entry that writes a page, so that claims of many entries share its writes. */
export abstract class ClaimForwarder {
  /**
   * Runs the operation at the entry that writes the page; undefined when that
   * is this entry. Rejects when that entry does not answer; the operation is
   * then run locally, which is safe because writes are checked against the
   * page's version.
   */
  abstract forward(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<ClaimOperationResult> | undefined;
}

/** Forwards nothing: this entry writes every page. */
export class LocalClaimForwarder extends ClaimForwarder {
  forward(): undefined {
    return undefined;
  }
}

/** Updates one page, one write at a time. */
class PageWriter {
  private readonly queue: QueuedOperation[] = [];
  private cached: CachedPage | undefined;
  private isUncertain = false;
  private isWriting = false;
  private lastWriteAt = -Infinity;

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly key: string,
  ) {}

  get isIdle(): boolean {
    return !this.isWriting && this.queue.length === 0;
  }

  /** Queues the operation; operations queued during a write share the next one. */
  run(
    operation: claimPage.ClaimOperation,
  ): Promise<neverthrow.Result<claimPage.ClaimResult, claimPage.ClaimError>> {
    return new Promise(settle => {
      const expiresAt = performance.now() + OPERATION_TIMEOUT_MILLISECONDS;
      this.queue.push({operation, expiresAt, settle});
      void this.drain();
    });
  }

  private async drain(): Promise<void> {
    if (this.isWriting) {
      return;
    }
    this.isWriting = true;
    while (this.queue.length > 0) {
      await deadline.delay(this.batchDelay);
      await this.writeBatch(this.queue.splice(0));
      this.lastWriteAt = performance.now();
    }
    this.isWriting = false;
  }

  /** Delays the write of a recently written page, so that more claims share it. */
  private get batchDelay(): number {
    const elapsed = performance.now() - this.lastWriteAt;
    return Math.max(0, BATCH_INTERVAL_MILLISECONDS - elapsed);
  }

  private async writeBatch(batch: readonly QueuedOperation[]): Promise<void> {
    let pending = batch;
    this.isUncertain = false;
    while (pending.length > 0) {
      const done = await this.tryWrite(pending);
      if (done) {
        return;
      }
      pending = this.rejectExpired(pending);
      await deadline.delay(deadline.jittered(RETRY_MILLISECONDS));
    }
  }

  private rejectExpired(
    pending: readonly QueuedOperation[],
  ): QueuedOperation[] {
    const now = performance.now();
    const error = this.isUncertain
      ? claimPage.ClaimError.Uncertain
      : claimPage.ClaimError.NotMade;
    pending
      .filter(item => item.expiresAt <= now)
      .forEach(item => item.settle(neverthrow.err(error)));
    return pending.filter(item => item.expiresAt > now);
  }

  /** Returns whether the batch is settled. */
  private async tryWrite(
    pending: readonly QueuedOperation[],
  ): Promise<boolean> {
    const read = await this.read();
    if (read === undefined) {
      return false;
    }
    const page = structuredClone(read.page);
    const before = JSON.stringify(page);
    const results = pending.map(item =>
      claimPage.applyOperation(page, item.operation),
    );
    const after = JSON.stringify(page);
    if (after === before) {
      pending.forEach((item, index) =>
        item.settle(neverthrow.ok(results[index])),
      );
      return true;
    }
    if (after.length > MAX_PAGE_BYTES) {
      const full = {outcome: claimPage.ClaimOutcome.PageFull, claim: undefined};
      pending.forEach(item => item.settle(neverthrow.ok(full)));
      return true;
    }
    const written = await this.store.write(this.key, after, read.version);
    if (written.isOk()) {
      this.cached = {page, version: written.value};
      pending.forEach((item, index) =>
        item.settle(neverthrow.ok(results[index])),
      );
      return true;
    }
    this.cached = undefined;
    this.isUncertain =
      this.isUncertain || written.error === objectStore.StoreError.Unknown;
    return false;
  }

  private async read(): Promise<CachedPage | undefined> {
    if (this.cached !== undefined) {
      return this.cached;
    }
    const read = await this.store.read(this.key);
    if (read.isErr()) {
      return read.error === objectStore.StoreError.NotFound
        ? {page: {}, version: 0}
        : undefined;
    }
    const page = claimPage.claimPageSchema.parse(JSON.parse(read.value.value));
    return {page, version: read.value.version};
  }

  /** Makes the next operation reread the page. */
  invalidate(): void {
    this.cached = undefined;
  }
}

/** Claims, releases and completes actions. */
export class ClaimService implements disposable.Disposable {
  private readonly writers = new Map<string, PageWriter>();
  private readonly logger = new log.Logger('claims');
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly entryCount: () => number,
    private readonly forwarder: ClaimForwarder = new LocalClaimForwarder(),
  ) {
    this.schedule();
  }

  /** Claims an action for an attempt. With isFresh the page is reread first. */
  claim(
    keyMilliseconds: number,
    customerKey: string,
    attempt: string,
    bodySha256: string,
    isFresh = false,
  ): Promise<neverthrow.Result<claimPage.ClaimResult, claimPage.ClaimError>> {
    const page = claimPage.pageKey(keyMilliseconds, customerKey);
    const kind = claimPage.ClaimOperationKind.Claim;
    const operation = makeOperation(kind, customerKey, attempt, bodySha256);
    return this.run(page, operation, isFresh);
  }

  /** Runs an operation in this entry, without forwarding it. */
  runLocally(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<ClaimOperationResult> {
    const writer = this.writer(page);
    if (isFresh) {
      writer.invalidate();
    }
    return writer.run(operation);
  }

  /** Records the answer of an action; retried until it is confirmed or the retries are used up. */
  async complete(
    keyMilliseconds: number,
    customerKey: string,
    attempt: string,
    answer: {
      readonly status: number;
      readonly contentType: string;
      readonly bodyBase64: string;
    },
  ): Promise<void> {
    const operation = makeOperation(
      claimPage.ClaimOperationKind.Complete,
      customerKey,
      attempt,
      '',
    );
    await this.runUntilConfirmed(keyMilliseconds, {...operation, ...answer});
  }

  /** Records that an action did not run; retried until it is confirmed or the retries are used up. */
  async release(
    keyMilliseconds: number,
    customerKey: string,
    attempt: string,
  ): Promise<void> {
    const operation = makeOperation(
      claimPage.ClaimOperationKind.Release,
      customerKey,
      attempt,
      '',
    );
    await this.runUntilConfirmed(keyMilliseconds, operation);
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  /** Removes the pages that hold only expired keys; returns their number. */
  async sweep(): Promise<number> {
    const pages = await this.store.list(claimPage.PAGE_PREFIX);
    if (pages.isErr()) {
      return 0;
    }
    const expired = pages.value.filter(page =>
      claimPage.isPageExpired(page, Date.now()),
    );
    for (const page of expired) {
      await this.store.remove(page);
    }
    if (expired.length > 0) {
      this.logger.info('claims swept', {pages: expired.length});
    }
    return expired.length;
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const interval = deadline.jittered(
      DEPLOYMENT_SWEEP_INTERVAL_MILLISECONDS * Math.max(1, this.entryCount()),
    );
    this.timer = setTimeout(
      () => void this.sweep().then(() => this.schedule()),
      Math.min(interval, 2 ** 31 - 1),
    );
    this.timer.unref?.();
  }

  private async runUntilConfirmed(
    keyMilliseconds: number,
    operation: claimPage.ClaimOperation,
  ): Promise<void> {
    for (
      let tries = 0;
      tries < MAX_CONFIRMATION_TRIES && !this.isDisposed;
      tries++
    ) {
      const {customerKey} = operation;
      const page = claimPage.pageKey(keyMilliseconds, customerKey);
      const result = await this.run(page, operation, false);
      if (result.isOk()) {
        return;
      }
      await deadline.delay(deadline.jittered(CONFIRMATION_RETRY_MILLISECONDS));
    }
  }

  private async run(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<ClaimOperationResult> {
    const forwarded = this.forwarder.forward(page, operation, isFresh);
    if (forwarded === undefined) {
      return this.runLocally(page, operation, isFresh);
    }
    return forwarded.catch(() => this.runLocally(page, operation, true));
  }

  private writer(key: string): PageWriter {
    const existing = this.writers.get(key);
    if (existing !== undefined) {
      return existing;
    }
    for (const [other, writer] of this.writers) {
      if (this.writers.size < MAX_CACHED_PAGES) {
        break;
      }
      if (writer.isIdle) {
        this.writers.delete(other);
      }
    }
    const writer = new PageWriter(this.store, key);
    this.writers.set(key, writer);
    return writer;
  }
}

function makeOperation(
  kind: claimPage.ClaimOperationKind,
  customerKey: string,
  attempt: string,
  bodySha256: string,
): claimPage.ClaimOperation {
  return {
    kind,
    customerKey,
    attempt,
    bodySha256,
    status: 0,
    contentType: '',
    bodyBase64: '',
  };
}
