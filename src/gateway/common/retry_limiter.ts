/**
 * Limits retries to each endpoint over a sliding window. The budget is shared by
 * all gateways: each may use its share of the fixed allowance and a ratio of
 * the requests that it received itself.
 */

/** Share of the budget that is left unused, since clocks and windows of gateways are not aligned. */
const SAFETY_SHARE = 0.25;
/** Number of sub-windows into which the window is divided. */
const SLICE_COUNT = 20;

/** Retry budget of all gateways together. */
export interface RetryPolicy {
  readonly windowMilliseconds: number;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in a window regardless of the number of requests. */
  readonly allowance: number;
}

interface Slice {
  index: number;
  requests: number;
  retries: number;
}

class EndpointWindow {
  private readonly slices: Slice[] = [];

  at(index: number): Slice {
    const last = this.slices[this.slices.length - 1];
    if (last !== undefined && last.index === index) {
      return last;
    }
    const slice = {index, requests: 0, retries: 0};
    this.slices.push(slice);
    while (this.slices[0].index <= index - SLICE_COUNT) {
      this.slices.shift();
    }
    return slice;
  }

  totals(): {requests: number; retries: number} {
    let requests = 0;
    let retries = 0;
    for (const slice of this.slices) {
      requests += slice.requests;
      retries += slice.retries;
    }
    return {requests, retries};
  }
}

/** Counts requests and retries by endpoint. */
export class RetryLimiter {
  private readonly windows = new Map<string, EndpointWindow>();

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
    this.slice(endpoint, now).requests++;
  }

  /** Takes one retry from the share of one of `gateways` gateways; returns false when the share is used up. */
  tryAcquire(endpoint: string, gateways: number, now: number): boolean {
    const slice = this.slice(endpoint, now);
    const {requests, retries} = this.windows.get(endpoint)!.totals();
    const share =
      this.policy.allowance / Math.max(1, gateways) +
      this.policy.ratio * requests;
    if (retries + 1 > share * (1 - SAFETY_SHARE)) {
      return false;
    }
    slice.retries++;
    return true;
  }

  private slice(endpoint: string, now: number): Slice {
    const index = Math.floor(
      (now * SLICE_COUNT) / this.policy.windowMilliseconds,
    );
    const window = this.windows.get(endpoint) ?? new EndpointWindow();
    this.windows.set(endpoint, window);
    return window.at(index);
  }
}
