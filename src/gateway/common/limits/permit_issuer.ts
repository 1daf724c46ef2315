/**
 * Issues permits for the limited instances that this gateway coordinates. Meant
 * for rates of up to tens of requests a second that many gateways share: the
 * more gateways request permits, the longer a denied one has to wait before its
 * next request.
 */
import * as limitPolicy from './limit_policy';
import * as rateBucket from '../rate_bucket';

/** Rate of denied permit requests that the retry delays aim at, in requests per second, over all instances. */
const TARGET_REQUESTS_PER_SECOND = 35;
/** Maximum number of permit requests answered in one time slot; further ones get no answer. Slots are short so that permits do not expire unused between them. */
const MAX_ANSWERS_PER_SLOT = 5;
const SLOT_MILLISECONDS = 100;
/** Time after its retry delay for which a gateway still counts as requesting permits, in milliseconds. */
const REQUESTER_MARGIN_MILLISECONDS = 1_000;
/** Interval at which gateways that no longer request permits are removed, in milliseconds. */
const SWEEP_MILLISECONDS = 250;
/** Maximum retry delay of a denied gateway, in milliseconds. */
const MAX_RETRY_MILLISECONDS = 15_000;
/** Maximum number of pairs of gateway and instance counted; further ones are not counted. */
const MAX_REQUESTERS = 4_096;
const MAX_BUCKETS = 4_096;

/** Permits issued to one gateway. */
export interface Issue {
  readonly granted: number;
  /** Time after which the gateway may request permits again, in milliseconds. */
  readonly retryMilliseconds: number;
}

/** Buckets by incarnation of an instance. */
export class PermitIssuer {
  private readonly buckets = new Map<string, rateBucket.RateBucket>();
  /** Monotonic milliseconds until which each pair of gateway and instance counts. */
  private readonly requesters = new Map<string, number>();
  private sweptAt = -Infinity;
  private slot = -Infinity;
  private answeredInSlot = 0;

  /** Whether another message may be answered now. */
  mayAnswer(now: number): boolean {
    const slot = Math.floor(now / SLOT_MILLISECONDS);
    if (slot !== this.slot) {
      this.slot = slot;
      this.answeredInSlot = 0;
    }
    return ++this.answeredInSlot <= MAX_ANSWERS_PER_SLOT;
  }

  /** Issues up to `wanted` permits; `strength` is the share of the ramp that this gateway may issue. */
  issue(
    gateway: string,
    life: string,
    wanted: number,
    allowance: limitPolicy.Allowance,
    strength: number,
    now: number,
  ): Issue {
    const share = allowance.ramp === undefined ? 1 : strength;
    const rate = limitPolicy.permitsPerSecond(allowance) * share;
    const bucket = this.bucketOf(life, now);
    const capacity = Math.max(1, limitPolicy.bucketCapacity(allowance) * share);
    const granted = bucket.take(wanted, rate, capacity, now);
    const key = `${gateway} ${life}`;
    if (granted > 0) {
      this.recordRequester(key, now, 0);
      return {granted, retryMilliseconds: 0};
    }
    const count = this.requesters.size + (this.requesters.has(key) ? 0 : 1);
    const shared = (count * 1000) / TARGET_REQUESTS_PER_SECOND;
    const next = Math.max(shared, bucket.millisecondsToNext(rate));
    const retry = Math.ceil(Math.min(MAX_RETRY_MILLISECONDS, next));
    this.recordRequester(key, now, retry);
    return {granted, retryMilliseconds: retry};
  }

  private recordRequester(
    key: string,
    now: number,
    retryMilliseconds: number,
  ): void {
    if (now - this.sweptAt >= SWEEP_MILLISECONDS) {
      this.sweptAt = now;
      this.requesters.forEach((until, each) => {
        if (until < now) {
          this.requesters.delete(each);
        }
      });
    }
    if (this.requesters.size < MAX_REQUESTERS || this.requesters.has(key)) {
      this.requesters.set(
        key,
        now + retryMilliseconds + REQUESTER_MARGIN_MILLISECONDS,
      );
    }
  }

  private bucketOf(life: string, now: number): rateBucket.RateBucket {
    const bucket = this.buckets.get(life) ?? new rateBucket.RateBucket(now);
    this.buckets.delete(life);
    this.buckets.set(life, bucket);
    if (this.buckets.size > MAX_BUCKETS) {
      this.buckets.delete(this.buckets.keys().next().value!);
    }
    return bucket;
  }
}
