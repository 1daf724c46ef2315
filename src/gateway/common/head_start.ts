/**
 * Lets news that are known to exist arrive on their usual way before they are
 * fetched in another. Answers changes that are announced by many peers at once
 * while each is on its way already.
 */
export class HeadStart {
  private awaited = 0;
  private since = 0;

  /** Whether the version is still missing though its head start, in milliseconds, is over. */
  isOver(
    version: number,
    ownVersion: number,
    now: number,
    milliseconds: number,
  ): boolean {
    if (this.awaited <= ownVersion) {
      this.awaited = version;
      this.since = now;
    }
    return now - this.since >= milliseconds;
  }
}
