/**
 * Detects that the process or its machine was suspended, after which all that
 * it knows is old. The monotonic clock does not count the time for which a
 * machine is suspended; the time of day does. A set clock looks the same and
 * costs one needless refresh. The uptime that the system reports is not used:
 * it may be that of a host on which time passes differently.
 */

/** Time without a check that counts as a suspension, in milliseconds. */
const MIN_SUSPENSION_MILLISECONDS = 1_500;

/** Compares two clocks at regular checks. */
export class SuspensionDetector {
  constructor(
    private lastMonotonic: number,
    private lastTimeOfDay: number,
  ) {}

  /** Returns the length of a suspension since the last check, in milliseconds; undefined if there was none. Both clocks are in milliseconds. */
  check(monotonic: number, timeOfDay: number): number | undefined {
    const gap = Math.max(
      monotonic - this.lastMonotonic,
      timeOfDay - this.lastTimeOfDay,
    );
    this.lastMonotonic = monotonic;
    this.lastTimeOfDay = timeOfDay;
    return gap >= MIN_SUSPENSION_MILLISECONDS ? gap : undefined;
  }
}
