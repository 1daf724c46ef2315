/** Largest values of the last seconds, in buckets of a quarter of a second. */

const BUCKET_MILLISECONDS = 250;
const BUCKET_COUNT = 16;

/** Largest values of the last 4 seconds. */
export class RecentPeaks {
  private readonly peaks = new Float64Array(BUCKET_COUNT);
  private lastBucket = -Infinity;

  add(value: number, now: number): void {
    const bucket = Math.floor(now / BUCKET_MILLISECONDS);
    const passed = Math.min(BUCKET_COUNT, bucket - this.lastBucket);
    for (let step = 0; step < passed; step++) {
      this.peaks[(bucket - step) % BUCKET_COUNT] = 0;
    }
    this.lastBucket = Math.max(bucket, this.lastBucket);
    const index = this.lastBucket % BUCKET_COUNT;
    this.peaks[index] = Math.max(this.peaks[index], value);
  }

  /** The largest value since the time; 0 without any. */
  since(time: number): number {
    const first = Math.max(
      Math.floor(time / BUCKET_MILLISECONDS),
      this.lastBucket - BUCKET_COUNT + 1,
    );
    let peak = 0;
    for (let bucket = first; bucket <= this.lastBucket; bucket++) {
      peak = Math.max(peak, this.peaks[bucket % BUCKET_COUNT]);
    }
    return peak;
  }
}
