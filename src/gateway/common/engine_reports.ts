/**
 * What engines report of themselves, read by a few gateways and passed on.
 * Answers crowded engines whose memory holds more than the gateways know of:
 * copies, runs that grew longer than expected, runs of gateways that ended.
 */

/** Age up to which a report says something of the engine's state, in milliseconds. */
const MAX_REPORT_AGE_MILLISECONDS = 2_000;

/** One report. */
export interface EngineReport {
  /** Runs that wait for memory or a slot. */
  readonly queuedRuns: number;
  /** Memory in use that cannot be freed, in tokens. */
  readonly memoryTokens: number;
  /** Monotonic milliseconds of the reading. */
  readonly at: number;
}

/** A report on its way to peers: instance, waiting runs, memory in tokens, age in milliseconds. */
export type RelayedReport = readonly [string, number, number, number];

/** Newest reports by instance. */
export class EngineReports {
  private readonly reports = new Map<string, EngineReport>();
  private readonly own = new Set<string>();

  /** Notes a report that this gateway read. */
  addOwn(instanceId: string, report: EngineReport): void {
    this.reports.set(instanceId, report);
    this.own.add(instanceId);
  }

  /** Notes reports that a peer read. */
  addRelayed(relayed: readonly RelayedReport[], now: number): void {
    for (const [instanceId, queuedRuns, memoryTokens, age] of relayed) {
      const at = now - age;
      if (at > (this.reports.get(instanceId)?.at ?? -Infinity)) {
        this.reports.set(instanceId, {queuedRuns, memoryTokens, at});
        this.own.delete(instanceId);
      }
    }
  }

  /** The report of the instance, unless it is too old. */
  get(instanceId: string, now: number): EngineReport | undefined {
    const report = this.reports.get(instanceId);
    const isFresh =
      report !== undefined && now - report.at <= MAX_REPORT_AGE_MILLISECONDS;
    return isFresh ? report : undefined;
  }

  /** Reports that this gateway read, for its peers; forgets old ones. */
  toRelay(now: number): RelayedReport[] {
    const relayed: RelayedReport[] = [];
    for (const [instanceId, report] of this.reports) {
      const age = Math.round(now - report.at);
      if (age > MAX_REPORT_AGE_MILLISECONDS) {
        this.reports.delete(instanceId);
        this.own.delete(instanceId);
      } else if (this.own.has(instanceId)) {
        const {queuedRuns, memoryTokens} = report;
        relayed.push([instanceId, queuedRuns, memoryTokens, age]);
      }
    }
    return relayed;
  }
}
