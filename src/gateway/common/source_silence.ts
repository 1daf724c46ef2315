/** Tells an outage of the state source from single calls that fail. */

/**
 * Shortest time without an answer that counts as an outage, in milliseconds.
 * Entries lapse after three report intervals of their instances, so a shorter
 * one makes none disappear.
 */
export const OUTAGE_MILLISECONDS = 1_800;

/** Whether a call that was started then, and was not answered, met an outage. */
export function isSilent(startedAt: number, now: number): boolean {
  return now - startedAt >= OUTAGE_MILLISECONDS;
}

/** Calls of one kind without an answer. Times are monotonic milliseconds. */
export class SourceSilence {
  /** Since when the source is not known to have answered; undefined after an answer. */
  private since: number | undefined;

  /** Records that a call had no answer. One that failed soon shows that the source, or something in its place, closed the connection just now. */
  recordFailure(startedAt: number, now: number): void {
    this.since ??= isSilent(startedAt, now) ? startedAt : now;
  }

  recordAnswer(): void {
    this.since = undefined;
  }

  /** Whether the source has not answered for so long that entries may have lapsed. */
  isOutage(now: number): boolean {
    return this.since !== undefined && isSilent(this.since, now);
  }
}
