/**
 * Measures the speed of one engine instance from the events of the streams that
 * it sends. Meant for engines that read prompts between the tokens of running
 * streams, and that have slow spells of some hundred milliseconds: neither
 * counts as a lower speed.
 */

/** Time of one step of an engine at speed 1 without runs, in milliseconds. Only the unit in which speeds are given. */
const STEP_MILLISECONDS = 7;
/** Time that each run adds to a step at speed 1, in milliseconds. An assumption; drafts on instances with about four runs fit it. */
const STEP_MILLISECONDS_PER_RUN = 0.25;
/** Time of events that are combined into one value, in milliseconds. */
const SLICE_MILLISECONDS = 150;
/** Gaps kept of one slice; streams of the same instance have nearly equal ones. */
const MAX_GAPS = 24;
/** Slices that an estimate covers: 1.5 s of events, or ten events of an instance that hardly moves. */
const SLICE_COUNT = 10;
/**
 * Position of the estimate among the sorted slices. A slow instance may read
 * prompts for 40% of the time and have a spell of 600 ms as well, which leaves
 * two usual slices. An instance that has become slower is noticed after nine.
 */
const SLICE_POSITION = 1;
/** Slices needed for an estimate. */
const MIN_SLICES = 4;
/** Slices up to which the quickest counts: half of the first ones may be times in which a prompt was read. */
const FEW_SLICES = 6;
/** Time without events after which earlier ones no longer count, in milliseconds. */
const FORGET_MILLISECONDS = 60_000;

/** Time of one step at speed 1, in milliseconds. */
export function stepMilliseconds(runs: number): number {
  return STEP_MILLISECONDS + STEP_MILLISECONDS_PER_RUN * runs;
}

/** Value at the quantile of the first `count` values, which this sorts. */
export function quantileOf(
  values: Float64Array,
  count: number,
  quantile: number,
): number {
  const sorted = values.subarray(0, count).sort();
  return sorted[Math.min(count - 1, Math.floor(count * quantile))];
}

/** Estimate of one instance. */
export class SpeedMeter {
  private readonly gaps = new Float64Array(MAX_GAPS);
  private gapCount = 0;
  private sliceStartedAt = 0;
  private lastEventAt = -Infinity;
  /** Times of a step relative to speed 1, a ring. */
  private readonly slices = new Float64Array(SLICE_COUNT);
  private sliceCount = 0;
  private nextSlice = 0;
  private readonly scratch = new Float64Array(SLICE_COUNT);
  private estimate: number | undefined;

  /** Speed relative to the common one; undefined while too little is known. */
  get speed(): number | undefined {
    return this.estimate;
  }

  /** Adds the time between two events of a stream, for each token; returns whether the estimate was renewed. `runs` gives the number of runs at the instance. */
  add(
    gapMilliseconds: number,
    tokens: number,
    runs: () => number,
    now: number,
  ): boolean {
    if (now - this.lastEventAt > FORGET_MILLISECONDS) {
      this.gapCount = 0;
      this.sliceCount = 0;
      this.nextSlice = 0;
      this.estimate = undefined;
    }
    this.lastEventAt = now;
    if (this.gapCount === 0) {
      this.sliceStartedAt = now - gapMilliseconds;
    }
    if (this.gapCount < MAX_GAPS) {
      this.gaps[this.gapCount++] = gapMilliseconds / tokens;
    }
    if (now - this.sliceStartedAt < SLICE_MILLISECONDS) {
      return false;
    }
    const median = quantileOf(this.gaps, this.gapCount, 0.5);
    this.gapCount = 0;
    this.addSlice(median / stepMilliseconds(runs()));
    return this.estimate !== undefined;
  }

  private addSlice(value: number): void {
    this.slices[this.nextSlice] = value;
    this.nextSlice = (this.nextSlice + 1) % SLICE_COUNT;
    this.sliceCount = Math.min(SLICE_COUNT, this.sliceCount + 1);
    if (this.sliceCount >= MIN_SLICES) {
      this.scratch.set(this.slices);
      const sorted = this.scratch.subarray(0, this.sliceCount).sort();
      const time = sorted[this.sliceCount > FEW_SLICES ? SLICE_POSITION : 0];
      this.estimate = time > 0 ? 1 / time : undefined;
    }
  }
}
