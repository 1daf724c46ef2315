/** Makes claims in the object API, many in one write. */
import * as neverthrow from 'neverthrow';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as log from '../../base/node/log';
import * as claimPage from '../../decision/common/claim_page';
import * as objectStore from '../../platform/common/object_store';

/** Longest time that an operation is tried for, in milliseconds. */
const OPERATION_TIMEOUT_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 20;
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
    result: neverthrow.Result<claimPage.ClaimResult, ClaimError>,
  ) => void;
}

/** Why an operation was not confirmed. */
export enum ClaimError {
  /** The page was surely not changed by this operation. */
  NotMade = 'not-made',
  /** The page may have been changed by this operation. */
  Uncertain = 'uncertain',
}

interface CachedPage {
  readonly page: claimPage.ClaimPage;
  readonly version: number;
}

/** Changes one page, one write at a time. */
class PageWriter {
  private readonly queue: QueuedOperation[] = [];
  private cached: CachedPage | undefined;
  private isUncertain = false;
  private isWriting = false;

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
  ): Promise<neverthrow.Result<claimPage.ClaimResult, ClaimError>> {
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
      await this.writeBatch(this.queue.splice(0));
    }
    this.isWriting = false;
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
    const error = this.isUncertain ? ClaimError.Uncertain : ClaimError.NotMade;
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
  ): Promise<neverthrow.Result<claimPage.ClaimResult, ClaimError>> {
    const writer = this.writer(claimPage.pageKey(keyMilliseconds, customerKey));
    if (isFresh) {
      writer.invalidate();
    }
    return writer.run(
      operationOf(
        claimPage.ClaimOperationKind.Claim,
        customerKey,
        attempt,
        bodySha256,
      ),
    );
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
      this.logger.change('claims swept', {pages: expired.length});
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
      const writer = this.writer(
        claimPage.pageKey(keyMilliseconds, operation.customerKey),
      );
      const result = await writer.run(operation);
      if (result.isOk()) {
        return;
      }
      await deadline.delay(deadline.jittered(RELEASE_RETRY_MILLISECONDS));
    }
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
