/**
 * Delays fetching a version that is known to exist, so that it can arrive by the
 * regular push first. Many peers announce a change at once while it is already
 * being delivered.
 */
export class FetchDelay {
  private awaitedVersion = 0;
  private awaitedSince = 0;

  /** Starts the delay unless an earlier version is still being awaited; returns whether it has elapsed. */
  hasElapsed(
    version: number,
    ownVersion: number,
    now: number,
    milliseconds: number,
  ): boolean {
    if (this.awaitedVersion <= ownVersion) {
      this.awaitedVersion = version;
      this.awaitedSince = now;
    }
    return now - this.awaitedSince >= milliseconds;
  }
}
