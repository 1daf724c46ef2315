/**
 * Issues the permits for the limited instances that this gateway coordinates.
 * Meant for limits of up to tens of requests a second that many gateways share;
 * the more gateways ask, the less often each is asked to come back.
 */
import * as limitPolicy from './limit_policy';
import * as permitBucket from './permit_bucket';

/** Requests that are denied in a second, as gateways are told when to come back; for all instances together. */
const TARGET_REQUESTS_PER_SECOND = 35;
/** Requests that are answered in a slot of time; those beyond it get no answer. Short slots, so that permits are not left over between them. */
const MAX_ANSWERS_PER_SLOT = 5;
const SLOT_MILLISECONDS = 100;
/** Time for which a gateway that asked counts as asking, in milliseconds. */
const ASKING_MILLISECONDS = 16_000;
/** Longest time after which a gateway may ask again, in milliseconds. */
const MAX_RETRY_MILLISECONDS = 15_000;
/** Gateways and instances remembered; those that asked the longest ago are forgotten first. */
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
  private readonly buckets = new Map<string, permitBucket.PermitBucket>();
  /** Monotonic milliseconds of the last request by gateway and instance, the oldest first. */
  private readonly asking = new Map<string, number>();
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
    this.recordAsking(`${gateway} ${life}`, now);
    const rate = limitPolicy.permitsPerSecond(limit);
    const bucket = this.bucketOf(life, now);
    const capacity = limitPolicy.bucketCapacity(rate);
    const granted = bucket.take(wanted, rate, capacity, now);
    if (granted > 0) {
      return {granted, retryMilliseconds: 0};
    }
    const shared = (this.asking.size * 1000) / TARGET_REQUESTS_PER_SECOND;
    const retry = Math.max(shared, bucket.millisecondsToNext(rate));
    return {
      granted,
      retryMilliseconds: Math.ceil(Math.min(MAX_RETRY_MILLISECONDS, retry)),
    };
  }

  private recordAsking(key: string, now: number): void {
    this.asking.delete(key);
    this.asking.set(key, now);
    for (const [each, at] of this.asking) {
      const isOld = now - at > ASKING_MILLISECONDS;
      if (!isOld && this.asking.size <= MAX_ASKING) {
        break;
      }
      this.asking.delete(each);
    }
  }

  private bucketOf(life: string, now: number): permitBucket.PermitBucket {
    const bucket = this.buckets.get(life) ?? new permitBucket.PermitBucket(now);
    this.buckets.delete(life);
    this.buckets.set(life, bucket);
    if (this.buckets.size > MAX_BUCKETS) {
      this.buckets.delete(this.buckets.keys().next().value!);
    }
    return bucket;
  }
}
