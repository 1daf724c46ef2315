/** Reads state again on behalf of requests that wait for it. */
import * as deadline from '../../base/common/deadline';

/** Maximum time to wait for a refresh, in milliseconds. */
const REFRESH_WAIT_MILLISECONDS = 400;
/** Minimum time between two refreshes, in milliseconds. */
const MIN_REFRESH_INTERVAL_MILLISECONDS = 300;

/** Refreshes that concurrent requests share. */
export class BoundedRefresh {
  private pending: Promise<void> | undefined;
  private lastAt = -Infinity;

  constructor(private readonly read: () => Promise<unknown>) {}

  /** Starts a refresh unless one is running or the last one was lately; returns after a bounded wait. */
  async run(now: number): Promise<void> {
    const isDue = now - this.lastAt > MIN_REFRESH_INTERVAL_MILLISECONDS;
    if (this.pending === undefined && isDue) {
      this.lastAt = now;
      this.pending = this.read().then(() => {
        this.pending = undefined;
      });
    }
    if (this.pending === undefined) {
      return;
    }
    await Promise.race([
      this.pending,
      deadline.delay(REFRESH_WAIT_MILLISECONDS),
    ]);
  }
}
