/** Shares the time of the event loop between connections whose input takes long to parse. */

/** Time for which connections are fed in a turn, in milliseconds. */
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

/** Gives all connections together some time in each turn of the event loop. Those that find none left continue in the order in which they were stopped. */
export class SharedFeedTime {
  private readonly queue = new Set<() => void>();
  private spentMilliseconds = 0;
  private isScheduled = false;
  private isRunning = false;

  /** Whether a connection has to wait for a later turn. */
  get isSpent(): boolean {
    const mustQueue = this.queue.size > 0 && !this.isRunning;
    return mustQueue || this.spentMilliseconds >= FEED_MILLISECONDS;
  }

  spend(milliseconds: number): void {
    this.spentMilliseconds += milliseconds;
    this.schedule();
  }

  /** Calls `feed` in a later turn of the event loop. */
  enqueue(feed: () => void): void {
    this.queue.add(feed);
    this.schedule();
  }

  remove(feed: () => void): void {
    this.queue.delete(feed);
  }

  private schedule(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => this.run());
    }
  }

  private run(): void {
    this.isScheduled = false;
    this.spentMilliseconds = 0;
    this.isRunning = true;
    try {
      for (const feed of this.queue) {
        this.queue.delete(feed);
        feed();
        if (this.spentMilliseconds >= FEED_MILLISECONDS) {
          break;
        }
      }
    } finally {
      this.isRunning = false;
      if (this.queue.size > 0) {
        this.schedule();
      }
    }
  }
}
