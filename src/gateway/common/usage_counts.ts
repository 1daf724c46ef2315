/** Counts events by key, such as an endpoint, between two lines of the log. */

/** Keys counted at a time; others are left out. */
const MAX_KEYS = 256;

/** Number of events of each kind. */
export type Counts<Event extends string> = Readonly<Record<Event, number>>;

/** Counts since they were last taken. */
export class UsageCounts<Event extends string> {
  private counts = new Map<string, Record<Event, number>>();

  /** @param events All kinds, each of which counts from 0. */
  constructor(private readonly events: readonly Event[]) {}

  record(key: string, event: Event): void {
    if (this.counts.size >= MAX_KEYS && !this.counts.has(key)) {
      return;
    }
    const counts = this.counts.get(key) ?? this.none();
    this.counts.set(key, counts);
    counts[event]++;
  }

  /** Returns the counts and starts anew. */
  take(): ReadonlyMap<string, Counts<Event>> {
    const {counts} = this;
    this.counts = new Map();
    return counts;
  }

  private none(): Record<Event, number> {
    const entries = this.events.map(event => [event, 0]);
    return Object.fromEntries(entries) as Record<Event, number>;
  }
}
