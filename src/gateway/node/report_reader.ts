/** Reads load reports of engines: those short of memory on behalf of all gateways, and those with runs of this gateway while the store is unavailable. */
import * as disposable from '../../base/common/disposable';
import * as engineReports from '../common/engine_reports';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as stateFollower from './state_follower';

/** Interval at which the engines to ask are selected, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 100;
/** Age at which a report is read again, by whichever gateway does so first, in milliseconds. */
const MAX_REPORT_AGE_MILLISECONDS = 1_000;
/**
 * The same for engines with runs of this gateway while the store is unavailable:
 * then only their reports announce that an instance is leaving, a second or two
 * in advance.
 */
const MAX_REPORT_AGE_WITHOUT_STORE_MILLISECONDS = 300;
/** Expected share of an engine's memory from which its reports are read; each read is counted as a health probe. */
const HIGH_MEMORY_SHARE = 0.6;

/** Requests the reports of engines, one at a time unless the store is unavailable. */
export class ReportReader implements disposable.Disposable {
  private readonly timer: disposable.Disposable;
  private readonly pendingReads = new Set<instanceTable.Instance>();
  private readonly lastReadAt = new WeakMap<instanceTable.Instance, number>();

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly client: instanceClient.InstanceClient,
    private readonly runs: runTable.RunTable,
    private readonly reports: engineReports.EngineReports,
  ) {
    this.timer = disposable.every(POLL_INTERVAL_MILLISECONDS, () =>
      this.poll(),
    );
  }

  dispose(): void {
    this.timer.dispose();
  }

  private poll(): void {
    const now = performance.now();
    const {isSourceUnavailable, isWatching} = this.follower;
    if (isSourceUnavailable && isWatching) {
      this.enginesWithOwnRuns(now).forEach(engine => void this.read(engine));
      return;
    }
    const due = isWatching ? this.enginesNearCapacity(now) : [];
    // Chosen at random, so that gateways with the same view ask different engines.
    const engine = due[Math.floor(Math.random() * due.length)];
    if (engine !== undefined && this.pendingReads.size === 0) {
      void this.read(engine);
    }
  }

  private async read(engine: instanceTable.Instance): Promise<void> {
    this.pendingReads.add(engine);
    this.lastReadAt.set(engine, performance.now());
    const report = await this.client.readReport(engine);
    this.pendingReads.delete(engine);
    if (report === undefined) {
      return;
    }
    const {queuedRuns, memoryTokens, isLeaving} = report;
    const at = performance.now();
    this.reports.addOwn(engine.record.id, {queuedRuns, memoryTokens, at});
    if (isLeaving) {
      this.follower.markLeaving(engine, 'its own report');
    }
  }

  private enginesWithOwnRuns(now: number): instanceTable.Instance[] {
    return this.engines().filter(instance => {
      const readAt = this.lastReadAt.get(instance) ?? -Infinity;
      const isDue = now - readAt >= MAX_REPORT_AGE_WITHOUT_STORE_MILLISECONDS;
      const hasRuns = this.runs.runsAt(instance.record.id).length > 0;
      return isDue && hasRuns && !this.pendingReads.has(instance);
    });
  }

  private enginesNearCapacity(now: number): instanceTable.Instance[] {
    const loads = this.runs.view();
    return this.engines().filter(instance => {
      const {id, endpoint} = instance.record;
      const engine = this.follower.routes?.findEndpoint(endpoint)?.engine;
      const report = this.reports.get(id, now);
      const isDue =
        report === undefined || now - report.at >= MAX_REPORT_AGE_MILLISECONDS;
      const memoryTokens = loads.get(id)?.memoryTokens ?? 0;
      const share = memoryTokens / (engine?.memoryTokens || Infinity);
      return isDue && share >= HIGH_MEMORY_SHARE;
    });
  }

  private engines(): instanceTable.Instance[] {
    return [...this.follower.instances.all()].filter(
      instance =>
        instance.drainingAt === undefined &&
        this.follower.routes?.findEndpoint(instance.record.endpoint)?.engine !==
          undefined,
    );
  }
}
