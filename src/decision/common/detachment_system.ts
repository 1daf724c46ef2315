/** Decides how long attempts are kept whose caller is away. */
import * as attemptTable from './attempt_table';

/** Limits on keeping attempts. */
export interface DetachmentPolicy {
  /** Time that a caller has to come back to an open attempt, in milliseconds. */
  readonly reattachGraceMilliseconds: number;
  /** Time that the output of an ended attempt is kept for a caller that is away, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Time that tombstones are kept, in milliseconds. */
  readonly tombstoneMilliseconds: number;
}

/** Finds attempts to give up. */
export class DetachmentSystem {
  constructor(private readonly policy: DetachmentPolicy) {}

  /** Returns the attempts that nobody came back for in time, and forgets old tombstones. */
  findExpired(
    table: attemptTable.AttemptTable,
    now: number,
  ): attemptTable.Attempt[] {
    table.removeTombstones(now - this.policy.tombstoneMilliseconds);
    const expired: attemptTable.Attempt[] = [];
    for (const attempt of table.all()) {
      const isDetached = attempt.link === '' || isDelivered(attempt);
      if (
        isDetached &&
        now - this.detachedSince(attempt) >
          this.maxDetachedMilliseconds(attempt)
      ) {
        expired.push(attempt);
      }
    }
    return expired;
  }

  private detachedSince(attempt: attemptTable.Attempt): number {
    return Math.max(attempt.detachedAt, attempt.endedAt);
  }

  private maxDetachedMilliseconds(attempt: attemptTable.Attempt): number {
    const isOpen = attemptTable.isOpen(attempt);
    return isOpen
      ? this.policy.reattachGraceMilliseconds
      : this.policy.retentionMilliseconds;
  }
}

/** Whether the whole output went out on a link, so that only its release is missing. */
function isDelivered(attempt: attemptTable.Attempt): boolean {
  const isSent = attempt.nextToSend === attempt.tokens.length;
  return !attemptTable.isOpen(attempt) && !attempt.isPaused && isSent;
}
