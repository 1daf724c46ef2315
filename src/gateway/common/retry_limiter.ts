/**
 * Bounds repeated sends to each endpoint over a sliding window. The budget is
 * shared by all gateways: each spends its share of the fixed part and a ratio
 * of the requests that it saw itself.
 */

/** Part of the budget that is left unused, for clocks and windows that do not align. */
const SAFETY_SHARE = 0.25;
/** Sub-windows into which the window is divided. */
const SLICE_COUNT = 20;

/** The budget of all gateways together. */
export interface RetryPolicy {
  readonly windowMilliseconds: number;
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed in a window whatever the number of requests. */
  readonly allowance: number;
}

interface Slice {
  index: number;
  requests: number;
  repeats: number;
}

class EndpointWindow {
  private readonly slices: Slice[] = [];

  at(index: number): Slice {
    const last = this.slices[this.slices.length - 1];
    if (last !== undefined && last.index === index) {
      return last;
    }
    const slice = {index, requests: 0, repeats: 0};
    this.slices.push(slice);
    while (this.slices[0].index <= index - SLICE_COUNT) {
      this.slices.shift();
    }
    return slice;
  }

  totals(): {requests: number; repeats: number} {
    let requests = 0;
    let repeats = 0;
    for (const slice of this.slices) {
      requests += slice.requests;
      repeats += slice.repeats;
    }
    return {requests, repeats};
  }
}

/** Counts requests and repeats by endpoint. */
export class RetryLimiter {
  private readonly windows = new Map<string, EndpointWindow>();

  constructor(private policy: RetryPolicy) {}

  /** Takes another budget; a window of another length starts anew. */
  setPolicy(policy: RetryPolicy): void {
    if (policy.windowMilliseconds !== this.policy.windowMilliseconds) {
      this.windows.clear();
    }
    this.policy = policy;
  }

  /** Notes a request of a caller for the endpoint. */
  recordRequest(endpoint: string, now: number): void {
    this.slice(endpoint, now).requests++;
  }

  /** Takes one repeat from the share of one of `gateways` gateways; false when it is spent. */
  tryAcquire(endpoint: string, gateways: number, now: number): boolean {
    const slice = this.slice(endpoint, now);
    const {requests, repeats} = this.windows.get(endpoint)!.totals();
    const share =
      this.policy.allowance / Math.max(1, gateways) +
      this.policy.ratio * requests;
    if (repeats + 1 > share * (1 - SAFETY_SHARE)) {
      return false;
    }
    slice.repeats++;
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
