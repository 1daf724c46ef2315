/** Tracks whether the state source answers, and logs when that changes. */
import * as jsonLog from '../../base/node/json_log';
import * as stateSource from '../common/state_source';

/** What is read from the source. */
export enum SourceKind {
  Configuration = 'configuration',
  Instances = 'instances',
  Evacuations = 'evacuations',
}

/** Tracks the outcome of the last call of each kind. */
export class SourceHealth {
  private readonly failingKinds = new Set<SourceKind>();

  constructor(private readonly log: jsonLog.JsonLog) {}

  /** Whether the last call of any kind failed. */
  get isUnavailable(): boolean {
    return this.failingKinds.size > 0;
  }

  /** Records a failed call. A lost history counts as an answer, after which everything is read again. */
  recordFailure(kind: SourceKind, error: stateSource.SourceError): void {
    if (error === stateSource.SourceError.HistoryLost) {
      this.log.write('store-history-lost', {kind});
      return;
    }
    if (!this.failingKinds.has(kind)) {
      this.failingKinds.add(kind);
      this.log.write('store-lost', {kind, error}, true);
    }
  }

  recordSuccess(kind: SourceKind): void {
    if (this.failingKinds.delete(kind)) {
      this.log.write('store-regained', {kind}, true);
    }
  }
}
