/** Sums amounts over the last seconds, in buckets of half a second. */

/** Period over which work is summed, in milliseconds. */
export const WINDOW_MILLISECONDS = 5_000;
const BUCKET_MILLISECONDS = 500;
const BUCKET_COUNT = WINDOW_MILLISECONDS / BUCKET_MILLISECONDS;

/** Amounts of the last `WINDOW_MILLISECONDS`. */
export class WorkWindow {
  private readonly amounts = new Float64Array(BUCKET_COUNT);
  private lastBucket = -Infinity;

  add(amount: number, now: number): void {
    this.advance(now);
    this.amounts[this.lastBucket % BUCKET_COUNT] += amount;
  }

  /**
   * Corrects an amount that was added at the time. If it has left the window,
   * an increase counts from now on and a reduction is dropped: the sum would be
   * too low without what is reduced.
   */
  correct(amount: number, addedAt: number, now: number): void {
    this.advance(now);
    const bucket = Math.floor(addedAt / BUCKET_MILLISECONDS);
    if (this.lastBucket - bucket < BUCKET_COUNT) {
      this.amounts[bucket % BUCKET_COUNT] += amount;
    } else if (amount > 0) {
      this.amounts[this.lastBucket % BUCKET_COUNT] += amount;
    }
  }

  sum(now: number): number {
    this.advance(now);
    return this.amounts.reduce((sum, amount) => sum + amount, 0);
  }

  /** Clears the buckets that the window has left. */
  private advance(now: number): void {
    const bucket = Math.floor(now / BUCKET_MILLISECONDS);
    const passed = bucket - this.lastBucket;
    if (passed <= 0) {
      return;
    }
    for (let step = 0; step < Math.min(passed, BUCKET_COUNT); step++) {
      this.amounts[(bucket - step) % BUCKET_COUNT] = 0;
    }
    this.lastBucket = bucket;
  }
}
