/** Distribution of output lengths over logarithmic buckets, with decaying weights. */

/** Ratio between the bounds of neighbouring buckets. */
const BUCKET_GROWTH = 1.25;
const BUCKET_COUNT = 56;
/** Number of observations after which an observation has lost half of its weight. */
const HALF_LIFE_OBSERVATIONS = 200;
const DECAY = 0.5 ** (1 / HALF_LIFE_OBSERVATIONS);

/** Upper bound of each bucket, in tokens. */
const UPPER_BOUNDS: readonly number[] = Array.from(
  {length: BUCKET_COUNT},
  (_, index) => Math.ceil(BUCKET_GROWTH ** (index + 1)),
);

/** Returns the bucket that holds the length. */
export function bucketOf(length: number): number {
  const index = Math.floor(
    Math.log(Math.max(1, length)) / Math.log(BUCKET_GROWTH),
  );
  return Math.min(BUCKET_COUNT - 1, index);
}

/** Counts of observed lengths. */
export class LengthHistogram {
  private readonly weights = new Float64Array(BUCKET_COUNT);
  private total = 0;

  /** Sum of the decayed weights of all observations. */
  get totalWeight(): number {
    return this.total;
  }

  /** Adds the length of a finished output, in tokens. */
  record(length: number): void {
    for (let index = 0; index < BUCKET_COUNT; index++) {
      this.weights[index] *= DECAY;
    }
    this.total = this.total * DECAY + 1;
    this.weights[bucketOf(length)] += 1;
  }

  /** Weight of the outputs that are longer than the length, interpolated inside a bucket. */
  weightBeyond(length: number): number {
    const bucket = bucketOf(length);
    let beyond = 0;
    for (let index = bucket + 1; index < BUCKET_COUNT; index++) {
      beyond += this.weights[index];
    }
    const lower = bucket === 0 ? 1 : UPPER_BOUNDS[bucket - 1];
    const upper = UPPER_BOUNDS[bucket];
    const share = Math.min(
      1,
      Math.max(0, (upper - length) / Math.max(1, upper - lower)),
    );
    return beyond + share * this.weights[bucket];
  }
}
