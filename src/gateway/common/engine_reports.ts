/**
 * Status reports of engines, read by a few gateways and relayed to the others.
 * They reveal engines whose memory holds more than the gateways account for:
 * copies, runs that grew longer than expected, runs of gateways that exited.
 */

/** Age after which a report is considered stale, in milliseconds. */
const MAX_REPORT_AGE_MILLISECONDS = 2_000;

/** Status of one engine. */
export interface EngineReport {
  /** Number of runs waiting for memory or a slot. */
  readonly queuedRuns: number;
  /** Memory in use that cannot be freed, in tokens. */
  readonly memoryTokens: number;
  /** Monotonic time at which the report was read, in milliseconds. */
  readonly at: number;
}

/** A report as relayed to peers: instance, waiting runs, memory in tokens, age in milliseconds. */
export type RelayedReport = readonly [string, number, number, number];

/** Latest report of each instance. */
export class EngineReports {
  private readonly reports = new Map<string, EngineReport>();
  /** Ids of the instances whose latest report this gateway read itself. */
  private readonly ownIds = new Set<string>();

  /** Adds a report that this gateway read itself. */
  addOwn(instanceId: string, report: EngineReport): void {
    this.reports.set(instanceId, report);
    this.ownIds.add(instanceId);
  }

  /** Adds reports that a peer read, where they are newer. */
  addRelayed(relayed: readonly RelayedReport[], now: number): void {
    for (const [instanceId, queuedRuns, memoryTokens, age] of relayed) {
      const at = now - age;
      if (at > (this.reports.get(instanceId)?.at ?? -Infinity)) {
        this.reports.set(instanceId, {queuedRuns, memoryTokens, at});
        this.ownIds.delete(instanceId);
      }
    }
  }

  /** Returns the report of the instance; undefined if there is none or it is stale. */
  get(instanceId: string, now: number): EngineReport | undefined {
    const report = this.reports.get(instanceId);
    const isFresh =
      report !== undefined && now - report.at <= MAX_REPORT_AGE_MILLISECONDS;
    return isFresh ? report : undefined;
  }

  /** Returns the reports that this gateway read, to be sent to peers; removes stale ones. */
  toRelay(now: number): RelayedReport[] {
    const relayed: RelayedReport[] = [];
    for (const [instanceId, report] of this.reports) {
      const age = Math.round(now - report.at);
      if (age > MAX_REPORT_AGE_MILLISECONDS) {
        this.reports.delete(instanceId);
        this.ownIds.delete(instanceId);
      } else if (this.ownIds.has(instanceId)) {
        const {queuedRuns, memoryTokens} = report;
        relayed.push([instanceId, queuedRuns, memoryTokens, age]);
      }
    }
    return relayed;
  }
}
