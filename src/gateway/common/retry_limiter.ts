/**
 * Limits retries to each endpoint over a sliding window. The budget is shared by
 * all gateways: each may use its share of the fixed allowance and a ratio of
 * the requests that it received itself.
 */
import * as slidingCounts from './sliding_counts';

/** Share of the budget that is left unused, since clocks and windows of gateways are not aligned. */
const SAFETY_SHARE = 0.25;

/** Retry budget of all gateways together. */
export interface RetryPolicy {
  readonly windowMilliseconds: number;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in a window regardless of the number of requests. */
  readonly allowance: number;
}

/** Counts requests and retries by endpoint. */
export class RetryLimiter {
  private readonly windows = new Map<string, slidingCounts.SlidingCounts>();

  constructor(private policy: RetryPolicy) {}

  /** Replaces the policy; clears all counts if the length of the window changes. */
  setPolicy(policy: RetryPolicy): void {
    if (policy.windowMilliseconds !== this.policy.windowMilliseconds) {
      this.windows.clear();
    }
    this.policy = policy;
  }

  /** Counts a request of a caller for the endpoint. */
  recordRequest(endpoint: string, now: number): void {
    this.windowOf(endpoint).addRequest(now);
  }

  /** Takes one retry from the share of one of `gateways` gateways; returns false when the share is used up. */
  tryAcquire(endpoint: string, gateways: number, now: number): boolean {
    if (this.left(endpoint, gateways, now) < 1) {
      return false;
    }
    this.windowOf(endpoint).addExtraSend(now);
    return true;
  }

  /** Retries left in the share of one of `gateways` gateways; not a whole number. */
  left(endpoint: string, gateways: number, now: number): number {
    const {requests, extraSends} = this.windowOf(endpoint).totals(now);
    const share =
      this.policy.allowance / Math.max(1, gateways) +
      this.policy.ratio * requests;
    return share * (1 - SAFETY_SHARE) - extraSends;
  }

  private windowOf(endpoint: string): slidingCounts.SlidingCounts {
    const window =
      this.windows.get(endpoint) ??
      new slidingCounts.SlidingCounts(this.policy.windowMilliseconds);
    this.windows.set(endpoint, window);
    return window;
  }
}
