/** The users' rule on the repeats of all gateways together, for one endpoint. */
import * as retryLimiter from '../src/gateway/common/retry_limiter';

/** Arrivals within one window of the budget. */
export interface WindowUsage {
  /** Monotonic milliseconds. */
  readonly from: number;
  readonly repeats: number;
  readonly allowed: number;
}

/** Requests of callers, and arrivals beyond the first of each. */
export class RetryArrivals {
  /** Monotonic milliseconds. */
  private readonly requests: number[] = [];
  private readonly repeats: number[] = [];
  private readonly arrived = new Set<string>();

  constructor(private readonly policy: retryLimiter.RetryPolicy) {}

  recordRequest(now: number): void {
    this.requests.push(now);
  }

  /** Records that the request arrived at an instance. */
  recordArrival(attemptId: string, now: number): void {
    if (this.arrived.has(attemptId)) {
      this.recordRepeat(now);
    }
    this.arrived.add(attemptId);
  }

  recordRepeat(now: number): void {
    this.repeats.push(now);
  }

  get repeatCount(): number {
    return this.repeats.length;
  }

  /** The window that uses the largest part of its budget. */
  worstWindow(): WindowUsage {
    const windows = this.repeats.map(from => this.usageFrom(from));
    return windows.reduce(
      (worst, each) =>
        each.repeats / each.allowed > worst.repeats / worst.allowed
          ? each
          : worst,
      {from: 0, repeats: 0, allowed: this.policy.allowance},
    );
  }

  /** Requests count in the window, the one before it or the one half a window before it, whichever has most. */
  private usageFrom(from: number): WindowUsage {
    const {windowMilliseconds: length, ratio, allowance} = this.policy;
    const requests = Math.max(
      countWithin(this.requests, from, length),
      countWithin(this.requests, from - length / 2, length),
      countWithin(this.requests, from - length, length),
    );
    const repeats = countWithin(this.repeats, from, length);
    return {from, repeats, allowed: ratio * requests + allowance};
  }
}

function countWithin(
  times: readonly number[],
  from: number,
  length: number,
): number {
  return times.filter(at => at >= from && at < from + length).length;
}
