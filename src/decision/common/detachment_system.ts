/** Decides how long attempts are kept after their caller disconnected. */
import * as attemptTable from './attempt_table';

/** Retention times of attempts and tombstones. */
export interface DetachmentPolicy {
  /** Time within which a caller can reattach to an open attempt, in milliseconds. */
  readonly reattachGraceMilliseconds: number;
  /** Time for which the output of an ended attempt is kept for a disconnected caller, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Time for which the output of an ended stream is kept after it was handed to the caller's connection, in milliseconds. */
  readonly deliveredMilliseconds: number;
  /** Time for which tombstones are kept, in milliseconds. */
  readonly tombstoneMilliseconds: number;
}

/** Finds attempts whose retention time has passed. */
export class DetachmentSystem {
  constructor(private readonly policy: DetachmentPolicy) {}

  /** Returns the attempts to which no caller reattached in time; removes old tombstones. */
  findExpired(
    table: attemptTable.AttemptTable,
    now: number,
  ): attemptTable.Attempt[] {
    table.removeTombstones(now - this.policy.tombstoneMilliseconds);
    const expired: attemptTable.Attempt[] = [];
    for (const attempt of table.all()) {
      const isDetached = attempt.link === '' || isSent(attempt);
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
    if (attemptTable.isOpen(attempt)) {
      return this.policy.reattachGraceMilliseconds;
    }
    return attempt.isDelivered
      ? this.policy.deliveredMilliseconds
      : this.policy.retentionMilliseconds;
  }
}

/** Whether the complete output was sent on a link, so that the attempt only has to be released. */
function isSent(attempt: attemptTable.Attempt): boolean {
  const hasSentAll = attempt.nextToSend === attempt.tokens.length;
  return !attemptTable.isOpen(attempt) && !attempt.isPaused && hasSentAll;
}
