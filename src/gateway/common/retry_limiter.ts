/**
 * Limits repeated requests to each endpoint to a budget that all gateways
 * share. Each gateway has a token bucket that its part of the allowance and the
 * requests that it receives fill. What a bucket gives in a window is bounded by
 * its capacity and by what flows in, so that the sum of all gateways keeps to
 * the budget in every window, also when gateways restart: their buckets are
 * empty then. Where a bucket holds less than one repeat, as with hundreds of
 * gateways, repeats are allowed at random. Stepped by the caller's clock.
 */
import * as slidingCounts from './sliding_counts';

/** Part of the budget that is used; the rest is for continuations that instances reject, and for repeats that arrive later than they are charged. */
const USABLE_SHARE = 0.9;
/** Part of the allowance that a full bucket holds; the rest flows in over a window. */
const BURST_SHARE = 0.5;
/** Part of the window for which an unused repeat that a request added is kept. */
const CARRY_SHARE = 0.1;
/** Endpoints with a bucket; the least recently used ones lose theirs, and begin again with an empty one. */
const MAX_ENDPOINTS = 4_096;

/** Retry budget of all gateways together. */
export interface RetryPolicy {
  readonly windowMilliseconds: number;
  /** Repeats allowed per request. */
  readonly ratio: number;
  /** Repeats allowed in a window regardless of the number of requests. */
  readonly allowance: number;
}

/** State of the gateway when its buckets are created. */
export interface LimiterStart {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Whether no gateway ran before, so that nothing of the budget can be spent. */
  readonly isFirstStart: boolean;
}

/** Token bucket of one endpoint, as of `filledAt`. */
interface Bucket {
  /** Repeats that may be sent; below 0 after rejected continuations. */
  level: number;
  /** Repeats that the full bucket holds. */
  capacity: number;
  /** Part of the allowance that this gateway has. */
  allowanceShare: number;
  /** Monotonic milliseconds. */
  filledAt: number;
  readonly recentRequests: slidingCounts.SlidingCounts;
}

/** Buckets by endpoint. */
export class RetryLimiter {
  private readonly buckets = new Map<string, Bucket>();
  /** Monotonic milliseconds at which a bucket without use was empty. */
  private emptyAt: number;

  /**
   * @param gatewayCount Number of gateways that share the budget at a monotonic
   * time; Infinity while it is unknown, upon which this gateway has no part of
   * the allowance.
   */
  constructor(
    private policy: RetryPolicy,
    {startedAt, isFirstStart}: LimiterStart,
    readonly gatewayCount: (now: number) => number,
    private readonly random: () => number = Math.random,
  ) {
    this.emptyAt = isFirstStart ? -Infinity : startedAt;
  }

  /** Replaces the policy; what has been spent stays spent. */
  setPolicy(policy: RetryPolicy): void {
    this.policy = policy;
  }

  /** Counts a request of a caller for the endpoint. */
  recordRequest(endpoint: string, now: number): void {
    const bucket = this.fill(endpoint, now);
    bucket.recentRequests.addRequest(now);
    bucket.level += USABLE_SHARE * this.policy.ratio;
  }

  /** Whether `tryAcquire` may allow a repeat now. */
  isAvailable(endpoint: string, now: number): boolean {
    return hasRepeat(this.fill(endpoint, now));
  }

  /** Charges a repeat that is about to be sent; returns false if the budget does not allow it. */
  tryAcquire(endpoint: string, now: number): boolean {
    const bucket = this.fill(endpoint, now);
    if (!hasRepeat(bucket)) {
      return false;
    }
    if (!isProbabilistic(bucket)) {
      bucket.level--;
      return true;
    }
    const isAllowed = this.random() < bucket.level;
    bucket.level = 0;
    return isAllowed;
  }

  /** Charges a continuation that an instance rejected; it needs no permission, since one that is accepted is no repeat. */
  chargeRejection(endpoint: string, now: number): void {
    this.fill(endpoint, now).level--;
  }

  /** Whether a continuation may be sent; not while the rejected ones exceed what is set aside for them. */
  mayContinue(endpoint: string, now: number): boolean {
    const {level, allowanceShare} = this.fill(endpoint, now);
    return level >= -(1 - USABLE_SHARE) * allowanceShare;
  }

  /** Repeats left; not a whole number. */
  left(endpoint: string, now: number): number {
    return this.fill(endpoint, now).level;
  }

  private fill(endpoint: string, now: number): Bucket {
    const bucket = this.bucketOf(endpoint);
    const {windowMilliseconds, ratio, allowance} = this.policy;
    const {requests} = bucket.recentRequests.totals(now);
    bucket.allowanceShare = allowance / this.gatewayCount(now);
    const usableShare = USABLE_SHARE * bucket.allowanceShare;
    if (usableShare > 0) {
      const windows = Math.max(0, now - bucket.filledAt) / windowMilliseconds;
      bucket.level += (1 - BURST_SHARE) * usableShare * windows;
      bucket.filledAt = now;
    }
    bucket.capacity =
      BURST_SHARE * usableShare + USABLE_SHARE * ratio * requests;
    bucket.level = Math.min(bucket.capacity, bucket.level);
    return bucket;
  }

  private bucketOf(endpoint: string): Bucket {
    const bucket = this.buckets.get(endpoint) ?? this.createBucket();
    this.buckets.delete(endpoint);
    this.buckets.set(endpoint, bucket);
    if (this.buckets.size > MAX_ENDPOINTS) {
      const [oldest, {filledAt}] = this.buckets.entries().next().value!;
      this.buckets.delete(oldest);
      this.emptyAt = Math.max(this.emptyAt, filledAt);
    }
    return bucket;
  }

  private createBucket(): Bucket {
    return {
      level: 0,
      capacity: 0,
      allowanceShare: 0,
      filledAt: this.emptyAt,
      recentRequests: new slidingCounts.SlidingCounts(
        this.policy.windowMilliseconds * CARRY_SHARE,
      ),
    };
  }
}

/** Whether the bucket can't hold a whole repeat; one is then allowed with its level as the probability, which empties it. */
function isProbabilistic({capacity}: Bucket): boolean {
  return capacity < 1;
}

/** Whether a repeat may be allowed, certainly or with a probability. */
function hasRepeat(bucket: Bucket): boolean {
  return isProbabilistic(bucket) ? bucket.level > 0 : bucket.level >= 1;
}
