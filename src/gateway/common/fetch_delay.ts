/**
 * Lets news that are known to exist arrive on their usual way before they are
 * fetched in another. Answers changes that are announced by many peers at once
 * while each is on its way already.
 */
export class FetchDelay {
  private awaitedVersion = 0;
  private awaitedSince = 0;

  /** Whether the version is still missing though its head start, in milliseconds, is over. */
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
