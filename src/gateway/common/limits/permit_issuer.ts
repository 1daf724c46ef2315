/**
 * Issues the permits for the limited instances that this gateway coordinates.
 * Meant for limits of up to tens of requests a second that many gateways share;
 * the more gateways ask, the less often each is asked to come back.
 */
import * as limitPolicy from './limit_policy';
import * as rateBucket from '../rate_bucket';

/** Requests that are denied in a second, as gateways are told when to come back; for all instances together. */
const TARGET_REQUESTS_PER_SECOND = 35;
/** Requests that are answered in a slot of time; those beyond it get no answer. Short slots, so that permits are not left over between them. */
const MAX_ANSWERS_PER_SLOT = 5;
const SLOT_MILLISECONDS = 100;
/** Time after which a gateway that could have asked again no longer counts as asking, in milliseconds. */
const ASKING_MARGIN_MILLISECONDS = 1_000;
/** Interval at which gateways that no longer ask are removed, in milliseconds. */
const SWEEP_MILLISECONDS = 250;
/** Longest time after which a gateway may ask again, in milliseconds. */
const MAX_RETRY_MILLISECONDS = 15_000;
/** Gateways and instances remembered; further ones are not counted. */
const MAX_ASKING = 4_096;
const MAX_BUCKETS = 4_096;

/** Permits issued to one gateway. */
export interface Issue {
  readonly granted: number;
  /** Time after which the gateway may ask again, in milliseconds. */
  readonly retryMilliseconds: number;
}

/** Buckets by incarnation of an instance. */
export class PermitIssuer {
  private readonly buckets = new Map<string, rateBucket.RateBucket>();
  /** Monotonic milliseconds until which a gateway counts as asking for an instance. */
  private readonly asking = new Map<string, number>();
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

  /** Issues up to `wanted` permits under a limit in requests a second. */
  issue(
    gateway: string,
    life: string,
    wanted: number,
    limit: number,
    now: number,
  ): Issue {
    const rate = limitPolicy.permitsPerSecond(limit);
    const bucket = this.bucketOf(life, now);
    const capacity = limitPolicy.bucketCapacity(rate);
    const granted = bucket.take(wanted, rate, capacity, now);
    const key = `${gateway} ${life}`;
    if (granted > 0) {
      this.recordAsking(key, now, 0);
      return {granted, retryMilliseconds: 0};
    }
    const count = this.asking.size + (this.asking.has(key) ? 0 : 1);
    const shared = (count * 1000) / TARGET_REQUESTS_PER_SECOND;
    const next = Math.max(shared, bucket.millisecondsToNext(rate));
    const retry = Math.ceil(Math.min(MAX_RETRY_MILLISECONDS, next));
    this.recordAsking(key, now, retry);
    return {granted, retryMilliseconds: retry};
  }

  private recordAsking(
    key: string,
    now: number,
    retryMilliseconds: number,
  ): void {
    if (now - this.sweptAt >= SWEEP_MILLISECONDS) {
      this.sweptAt = now;
      this.asking.forEach((until, each) => {
        if (until < now) {
          this.asking.delete(each);
        }
      });
    }
    if (this.asking.size < MAX_ASKING || this.asking.has(key)) {
      this.asking.set(
        key,
        now + retryMilliseconds + ASKING_MARGIN_MILLISECONDS,
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
