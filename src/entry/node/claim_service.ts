/** Makes claims in the object API, many in one write. */
import * as neverthrow from 'neverthrow';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as log from '../../base/node/log';
import * as claimPage from '../../protocol/common/claim_page';
import * as objectStore from '../../storage/common/object_store';

/** Longest time that an operation is tried for, in milliseconds. */
const OPERATION_TIMEOUT_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 20;
/** Shortest time between writes of one page. */
const GROUPING_MILLISECONDS = 40;
const RELEASE_RETRY_MILLISECONDS = 1_000;
const MAX_RELEASE_TRIES = 600;
const MAX_PAGE_BYTES = 900 * 1024;
const MAX_CACHED_PAGES = 256;
/** Time between sweeps by all entries together, in milliseconds. */
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

/** Outcome of an operation. */
export type ClaimAnswer = neverthrow.Result<
  claimPage.ClaimResult,
  claimPage.ClaimError
>;

/** Finds the entry that writes a page, so that the claims of many entries share its writes. */
export abstract class ClaimForwarder {
  /**
   * Runs the operation at the entry that writes the page; undefined where
   * that is this one. Rejects when it does not answer, and then the operation
   * is run here: the page decides, whoever writes it.
   */
  abstract forward(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<ClaimAnswer> | undefined;
}

/** Writes every page here. */
export class LocalClaims extends ClaimForwarder {
  forward(): undefined {
    return undefined;
  }
}

/** Changes one page, one write at a time. */
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

  /** Applies the operation; those that come meanwhile share the next write. */
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
      await deadline.delay(this.groupingDelay);
      await this.writeBatch(this.queue.splice(0));
      this.lastWriteAt = performance.now();
    }
    this.isWriting = false;
  }

  /** A page written a moment ago waits a little, so that more claims share the next write. */
  private get groupingDelay(): number {
    const elapsed = performance.now() - this.lastWriteAt;
    return Math.max(0, GROUPING_MILLISECONDS - elapsed);
  }

  private async writeBatch(batch: readonly QueuedOperation[]): Promise<void> {
    let pending = batch;
    this.isUncertain = false;
    while (pending.length > 0) {
      const done = await this.tryWrite(pending);
      if (done) {
        return;
      }
      pending = this.expire(pending);
      await deadline.delay(deadline.jittered(RETRY_MILLISECONDS));
    }
  }

  private expire(pending: readonly QueuedOperation[]): QueuedOperation[] {
    const now = performance.now();
    const error = this.isUncertain
      ? claimPage.ClaimError.Uncertain
      : claimPage.ClaimError.NotMade;
    pending
      .filter(item => item.expiresAt <= now)
      .forEach(item => item.settle(neverthrow.err(error)));
    return pending.filter(item => item.expiresAt > now);
  }

  /** Gives whether the batch is settled. */
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

  /** Makes the next operation read the page again. */
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
    private readonly forwarder: ClaimForwarder = new LocalClaims(),
  ) {
    this.schedule();
  }

  /** Claims an action for an attempt. With isFresh the page is read again first. */
  claim(
    keyMilliseconds: number,
    customerKey: string,
    attempt: string,
    bodySha256: string,
    isFresh = false,
  ): Promise<neverthrow.Result<claimPage.ClaimResult, claimPage.ClaimError>> {
    const page = claimPage.pageKey(keyMilliseconds, customerKey);
    const kind = claimPage.ClaimOperationKind.Claim;
    const operation = operationOf(kind, customerKey, attempt, bodySha256);
    return this.run(page, operation, isFresh);
  }

  /** Runs an operation on a page that this entry writes. */
  runHere(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<ClaimAnswer> {
    const writer = this.writer(page);
    if (isFresh) {
      writer.invalidate();
    }
    return writer.run(operation);
  }

  /** Records the answer of an action; tried until it is confirmed or given up. */
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
    const operation = operationOf(
      claimPage.ClaimOperationKind.Complete,
      customerKey,
      attempt,
      '',
    );
    await this.runUntilConfirmed(keyMilliseconds, {...operation, ...answer});
  }

  /** Records that an action surely did not run; tried until it is confirmed or given up. */
  async release(
    keyMilliseconds: number,
    customerKey: string,
    attempt: string,
  ): Promise<void> {
    const operation = operationOf(
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

  /** Removes the pages whose keys are all past their use. */
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
      tries < MAX_RELEASE_TRIES && !this.isDisposed;
      tries++
    ) {
      const {customerKey} = operation;
      const page = claimPage.pageKey(keyMilliseconds, customerKey);
      const result = await this.run(page, operation, false);
      if (result.isOk()) {
        return;
      }
      await deadline.delay(deadline.jittered(RELEASE_RETRY_MILLISECONDS));
    }
  }

  private async run(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<ClaimAnswer> {
    const forwarded = this.forwarder.forward(page, operation, isFresh);
    if (forwarded === undefined) {
      return this.runHere(page, operation, isFresh);
    }
    return forwarded.catch(() => this.runHere(page, operation, true));
  }

  private writer(key: string): PageWriter {
    const known = this.writers.get(key);
    if (known !== undefined) {
      return known;
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

function operationOf(
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
