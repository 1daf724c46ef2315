/** Shares the time of the event loop between connections whose input takes long to parse. */

/** Time for which a connection is fed in its turn, in milliseconds. */
export const FEED_MILLISECONDS = 2;

/** Continues one connection in each turn of the event loop, in the order in which they were stopped. */
export class FeedScheduler {
  private readonly queue = new Set<() => void>();
  private isScheduled = false;

  /** Calls `feed` in a later turn of the event loop. */
  enqueue(feed: () => void): void {
    this.queue.add(feed);
    this.schedule();
  }

  remove(feed: () => void): void {
    this.queue.delete(feed);
  }

  private schedule(): void {
    if (!this.isScheduled && this.queue.size > 0) {
      this.isScheduled = true;
      setImmediate(() => this.run());
    }
  }

  private run(): void {
    this.isScheduled = false;
    for (const feed of this.queue) {
      this.queue.delete(feed);
      feed();
      break;
    }
    this.schedule();
  }
}
