/** Token bucket: accrues tokens at a rate, up to a capacity. Stepped by the caller's clock. */

/** Tokens that may be taken now. */
export class RateBucket {
  /** Starts empty unless a level is given, so that a bucket that replaces another one gives nothing twice. */
  constructor(
    private filledAt: number,
    private level = 0,
  ) {}

  /** Takes up to `wanted` whole tokens; returns their number. */
  take(
    wanted: number,
    tokensPerSecond: number,
    capacity: number,
    now: number,
  ): number {
    const seconds = Math.max(0, now - this.filledAt) / 1000;
    this.level = Math.min(capacity, this.level + seconds * tokensPerSecond);
    this.filledAt = now;
    const taken = Math.min(wanted, Math.floor(this.level));
    this.level -= taken;
    return taken;
  }

  /** Time until there is a whole token, in milliseconds, after a call of `take`. */
  millisecondsToNext(tokensPerSecond: number): number {
    return (Math.max(0, 1 - this.level) / tokensPerSecond) * 1000;
  }
}
