/**
 * Hazard rates of output lengths in logarithmic buckets. Outputs that are still
 * running count in the buckets that they have passed, so that short outputs,
 * which end first, do not bias the estimate.
 */

/** Ratio between the bounds of adjacent buckets. */
const BUCKET_GROWTH = 1.25;
/** Number of buckets; the last bound is above 200,000 tokens. */
export const BUCKET_COUNT = 56;
/** Number of observations of a bucket after which an observation has lost half of its weight. */
const HALF_LIFE_OBSERVATIONS = 200;
const DECAY = 0.5 ** (1 / HALF_LIFE_OBSERVATIONS);

/** Lower bounds of the buckets in tokens, followed by the upper bound of the last one. */
export const BOUNDS: readonly number[] = makeBounds();

function makeBounds(): number[] {
  const bounds = [0];
  for (let index = 0; index < BUCKET_COUNT; index++) {
    const last = bounds[bounds.length - 1];
    bounds.push(Math.max(last + 1, Math.round(last * BUCKET_GROWTH)));
  }
  return bounds;
}

/** Returns the index of the bucket that contains the length. */
export function bucketOf(length: number): number {
  let low = 0;
  let high = BUCKET_COUNT - 1;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if (BOUNDS[middle] <= length) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

/** Decayed counts of outputs that passed and that ended in each bucket. */
export class LengthHazards {
  private readonly passed = new Float64Array(BUCKET_COUNT);
  private readonly ended = new Float64Array(BUCKET_COUNT);
  private changes = 0;

  /** Increases with each observation. */
  get version(): number {
    return this.changes;
  }

  /** Records an output that grew past the bucket. */
  recordPass(bucket: number): void {
    this.observe(bucket, 1, 0);
  }

  /** Records an output that ended inside the bucket. */
  recordEnd(bucket: number): void {
    this.observe(bucket, 0, 1);
  }

  /** Probability of ending inside the bucket, given a prior and its weight in observations. */
  hazard(bucket: number, prior: number, priorWeight: number): number {
    const seen = this.passed[bucket] + this.ended[bucket];
    return (this.ended[bucket] + priorWeight * prior) / (seen + priorWeight);
  }

  private observe(bucket: number, passed: number, ended: number): void {
    this.passed[bucket] = this.passed[bucket] * DECAY + passed;
    this.ended[bucket] = this.ended[bucket] * DECAY + ended;
    this.changes++;
  }
}
