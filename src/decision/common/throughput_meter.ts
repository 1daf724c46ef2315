/** Estimates the throughput capacity of an endpoint in tokens per second. */

const WINDOW_MILLISECONDS = 1_000;
const SMOOTHING = 0.3;
/** Rate assumed before the first measurement, in tokens per second. */
const ASSUMED_PER_SECOND = 1_000;

/**
 * Exponentially smoothed token rate. A window in which no work was waiting is
 * not saturated and measures the demand rather than the capacity, so it may
 * only raise the estimate.
 */
export class ThroughputMeter {
  private windowStart = 0;
  private count = 0;
  private isWindowSaturated = true;
  private rate = ASSUMED_PER_SECOND;

  /** Tokens per second that the endpoint can produce. */
  get capacityPerSecond(): number {
    return this.rate;
  }

  /** Adds tokens at a monotonic time in milliseconds. */
  add(tokens: number, now: number, isSaturated: boolean): void {
    if (now - this.windowStart >= WINDOW_MILLISECONDS) {
      this.closeWindow(now);
    }
    this.count += tokens;
    this.isWindowSaturated = this.isWindowSaturated && isSaturated;
  }

  private closeWindow(now: number): void {
    const elapsed = now - this.windowStart;
    const measured = (this.count * 1000) / elapsed;
    const isContinuous = elapsed < 2 * WINDOW_MILLISECONDS;
    if (isContinuous && (this.isWindowSaturated || measured > this.rate)) {
      this.rate += SMOOTHING * (measured - this.rate);
    }
    this.windowStart = now;
    this.count = 0;
    this.isWindowSaturated = true;
  }
}
