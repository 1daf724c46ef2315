/** Limits the outstanding tokens of each customer at one entry. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';

/** Assumed rate at which outstanding tokens are processed, for Retry-After. */
const DRAIN_TOKENS_PER_SECOND = 500;
const MAX_RETRY_AFTER_SECONDS = 60;

/** Counts outstanding tokens by customer. */
export class CustomerLimits {
  private readonly outstanding = new Map<string, number>();

  /** Number of customers with outstanding tokens. */
  get size(): number {
    return this.outstanding.size;
  }

  /**
   * Counts the tokens of a request, or returns a failure if the customer is over
   * its limit. The limit of the whole deployment is divided among the live
   * entries. A customer with nothing outstanding is always admitted.
   */
  admit(
    customer: string,
    tokens: number,
    deploymentLimit: number,
    entries: number,
  ): failure.Failure | undefined {
    const before = this.outstanding.get(customer) ?? 0;
    const limit = deploymentLimit / Math.max(1, entries);
    const isOver = deploymentLimit > 0 && before > 0 && before + tokens > limit;
    if (isOver) {
      const excess = before + tokens - limit;
      const retryAfterSeconds = Math.min(
        MAX_RETRY_AFTER_SECONDS,
        Math.ceil(excess / DRAIN_TOKENS_PER_SECOND),
      );
      const message = `${Math.round(before)} tokens are outstanding, the limit here is ${Math.floor(limit)}`;
      return failure.notRun(
        resultCode.ResultCode.CustomerLimit,
        message,
        retryAfterSeconds,
      );
    }
    this.outstanding.set(customer, before + tokens);
    return undefined;
  }

  /** Subtracts the tokens counted for a request. */
  release(customer: string, tokens: number): void {
    const after = (this.outstanding.get(customer) ?? 0) - tokens;
    if (after > 0.5) {
      this.outstanding.set(customer, after);
      return;
    }
    this.outstanding.delete(customer);
  }
}
