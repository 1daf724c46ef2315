/** Counts the repeated sends of this gateway by endpoint, for the log. */

/** What happened to a repeated send, as its metric says. */
export enum RepeatEvent {
  /** The budget allowed it. */
  Charged = 'charged',
  /** The budget did not allow it. */
  Denied = 'denied',
  /** The request was sent to another instance. */
  Sent = 'sent',
  /** A run was sent to the instance that keeps its copy. */
  Continued = 'continued',
  /** An instance did not go on with a run from its copy. */
  ContinuationRejected = 'continuation-rejected',
}

/** Number of events of each kind; kinds without any are absent. */
export type RepeatCounts = ReadonlyMap<RepeatEvent, number>;

/** Endpoints counted at a time; others are left out. */
const MAX_COUNTED = 256;

/** Counts by endpoint since they were last taken. */
export class RetryUsage {
  private counts = new Map<string, Map<RepeatEvent, number>>();

  record(endpoint: string, event: RepeatEvent): void {
    const counts = this.counts.get(endpoint) ?? new Map<RepeatEvent, number>();
    if (this.counts.size >= MAX_COUNTED && !this.counts.has(endpoint)) {
      return;
    }
    this.counts.set(endpoint, counts);
    counts.set(event, (counts.get(event) ?? 0) + 1);
  }

  /** Returns the counts and starts anew. */
  take(): ReadonlyMap<string, RepeatCounts> {
    const {counts} = this;
    this.counts = new Map();
    return counts;
  }
}
