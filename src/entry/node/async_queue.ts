/** A queue that is consumed as an async iterable. */

/** Buffers items until they are read. Supports one reader. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  private readonly items: T[] = [];
  private wake: (() => void) | undefined;
  private isClosed = false;

  push(item: T): void {
    this.items.push(item);
    this.wake?.();
  }

  /** Ends the iteration once the queued items are read. */
  close(): void {
    this.isClosed = true;
    this.wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      while (this.items.length > 0) {
        yield this.items.shift()!;
      }
      if (this.isClosed) {
        return;
      }
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }
}
