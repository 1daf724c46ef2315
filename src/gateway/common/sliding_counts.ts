/** Counts requests, and extra sends for them, over a sliding window that is divided into slices. */

/** Number of slices into which the window is divided. */
const SLICE_COUNT = 20;

/** Counts within one window. */
export interface WindowTotals {
  readonly requests: number;
  readonly extraSends: number;
}

interface Slice {
  readonly index: number;
  requests: number;
  extraSends: number;
}

/** Counts of one window. */
export class SlidingCounts {
  private readonly slices: Slice[] = [];

  constructor(private readonly windowMilliseconds: number) {}

  addRequest(now: number): void {
    this.sliceAt(now).requests++;
  }

  addExtraSend(now: number): void {
    this.sliceAt(now).extraSends++;
  }

  totals(now: number): WindowTotals {
    this.sliceAt(now);
    let requests = 0;
    let extraSends = 0;
    for (const slice of this.slices) {
      requests += slice.requests;
      extraSends += slice.extraSends;
    }
    return {requests, extraSends};
  }

  private sliceAt(now: number): Slice {
    const index = Math.floor((now * SLICE_COUNT) / this.windowMilliseconds);
    const last = this.slices[this.slices.length - 1];
    if (last !== undefined && last.index === index) {
      return last;
    }
    const slice = {index, requests: 0, extraSends: 0};
    this.slices.push(slice);
    while (this.slices[0].index <= index - SLICE_COUNT) {
      this.slices.shift();
    }
    return slice;
  }
}
