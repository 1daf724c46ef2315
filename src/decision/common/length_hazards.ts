/**
 * Rates at which outputs end, over logarithmic buckets of length. Outputs that
 * still run count in the buckets that they have passed, so that short outputs,
 * which end first, do not bias the estimate.
 */

/** Ratio between the bounds of neighbouring buckets. */
const BUCKET_GROWTH = 1.25;
/** Number of buckets; the last bound is above 200,000 tokens. */
export const BUCKET_COUNT = 56;
/** Observations of a bucket after which one has lost half of its weight. */
const HALF_LIFE_OBSERVATIONS = 200;
const DECAY = 0.5 ** (1 / HALF_LIFE_OBSERVATIONS);

/** Length at which each bucket begins, in tokens; one more than there are buckets. */
export const BOUNDS: readonly number[] = makeBounds();

function makeBounds(): number[] {
  const bounds = [0];
  for (let index = 0; index < BUCKET_COUNT; index++) {
    const last = bounds[bounds.length - 1];
    bounds.push(Math.max(last + 1, Math.round(last * BUCKET_GROWTH)));
  }
  return bounds;
}

/** Returns the bucket whose bounds enclose the length. */
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

/** Counts of outputs that entered and that ended in each bucket. */
export class LengthHazards {
  private readonly passed = new Float64Array(BUCKET_COUNT);
  private readonly ended = new Float64Array(BUCKET_COUNT);
  private changes = 0;

  /** Rises with each observation. */
  get version(): number {
    return this.changes;
  }

  /** An output grew through the whole bucket. */
  recordPass(bucket: number): void {
    this.observe(bucket, 1, 0);
  }

  /** An output ended inside the bucket. */
  recordEnd(bucket: number): void {
    this.observe(bucket, 0, 1);
  }

  /** Probability of ending inside the bucket, with the weight of a prior. */
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
