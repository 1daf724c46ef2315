/** Tracks whether the state source answers, and logs when that changes. */
import * as jsonLog from '../../base/node/json_log';
import * as sourceSilence from '../common/source_silence';
import * as stateSource from '../common/state_source';

/** What is read from the source. */
export enum SourceKind {
  Configuration = 'configuration',
  Instances = 'instances',
  Evacuations = 'evacuations',
}

/** A call to the source that failed. */
export interface FailedCall {
  readonly kind: SourceKind;
  readonly error: stateSource.SourceError;
  /** Whether the call waited for changes. */
  readonly isWatch: boolean;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
}

/** Tracks the outcome of the last call of each kind. */
export class SourceHealth {
  private readonly failingKinds = new Set<SourceKind>();
  /** Monotonic milliseconds of the last answer of each kind. */
  private readonly answeredAt = new Map<SourceKind, number>();

  constructor(private readonly log: jsonLog.JsonLog) {}

  /** Whether the last call of any kind failed. */
  get isUnavailable(): boolean {
    return this.failingKinds.size > 0;
  }

  /**
   * Records a failed call. A lost history counts as an answer, after which
   * everything is read again. A watch that was cut off tells nothing of the
   * source, unless it was silent for long; the read that follows does.
   */
  recordFailure({kind, error, isWatch, startedAt}: FailedCall): void {
    if (error === stateSource.SourceError.HistoryLost) {
      this.log.write('store-history-lost', {kind});
      return;
    }
    const now = performance.now();
    const answeredAt = this.answeredAt.get(kind);
    const fields = {
      kind,
      error,
      waited_ms: Math.round(now - startedAt),
      answer_age_ms: answeredAt && Math.round(now - answeredAt),
    };
    if (isWatch && !sourceSilence.isSilent(startedAt, now)) {
      this.log.write('store-watch-cut', fields);
      return;
    }
    if (!this.failingKinds.has(kind)) {
      this.failingKinds.add(kind);
      this.log.write('store-lost', fields, true);
    }
  }

  recordSuccess(kind: SourceKind): void {
    const now = performance.now();
    const answeredAt = this.answeredAt.get(kind);
    this.answeredAt.set(kind, now);
    if (this.failingKinds.delete(kind)) {
      this.log.write(
        'store-regained',
        {kind, answer_age_ms: answeredAt && Math.round(now - answeredAt)},
        true,
      );
    }
  }
}
