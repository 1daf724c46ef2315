/**
 * Decides when a gateway sends the loads that its runs cause to all others: as
 * soon as they change, within a bounded number of messages a second, and again
 * before they expire. Meant for fleets in which each gateway starts a few
 * generations a second.
 */

/** Time between two broadcasts, in milliseconds; collects changes that come together. */
const MIN_INTERVAL_MILLISECONDS = 100;
/** Messages that one gateway may send for its loads in a second. */
const MAX_MESSAGES_PER_SECOND = 150;
/** Time after which unchanged loads are sent again, in milliseconds. */
const REPEAT_MILLISECONDS = 1_600;
/** Intervals between repetitions that pass before loads expire; allows for lost messages. */
const LIFETIME_REPEATS = 2.5;

/** Time after which unchanged loads are repeated, in milliseconds. */
function repeatInterval(memberCount: number): number {
  return Math.max(REPEAT_MILLISECONDS, minInterval(memberCount));
}

function minInterval(memberCount: number): number {
  return Math.max(
    MIN_INTERVAL_MILLISECONDS,
    (memberCount * 1000) / MAX_MESSAGES_PER_SECOND,
  );
}

/** Age after which the loads of a gateway are ignored, in milliseconds. */
export function loadLifetime(memberCount: number): number {
  return LIFETIME_REPEATS * repeatInterval(memberCount);
}

/** Schedule of one gateway's broadcasts. */
export class LoadBroadcast {
  private sentAt = -Infinity;
  private sent = '';

  /** Returns whether loads are to be sent now; `loads` identifies their content and is empty without any. */
  isDue(loads: string, memberCount: number, now: number): boolean {
    const age = now - this.sentAt;
    const isChanged = loads !== this.sent;
    const isRepeat = loads !== '' && age >= repeatInterval(memberCount);
    if (memberCount === 0 || (!isChanged && !isRepeat)) {
      return false;
    }
    if (age < minInterval(memberCount)) {
      return false;
    }
    this.sentAt = now;
    this.sent = loads;
    return true;
  }
}
