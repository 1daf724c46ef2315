/** Reads the reports of crowded engines, on behalf of all gateways. */
import * as disposable from '../../base/common/disposable';
import * as engineReports from '../common/engine_reports';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as stateFollower from './state_follower';

/** Time between looks which engine to ask, in milliseconds. */
const STEP_MILLISECONDS = 100;
/** Age from which on a report is read again, by whichever gateway comes first, in milliseconds. */
const RENEW_MILLISECONDS = 1_000;
/** Expected share of an engine's memory from which on its reports are read; each is priced as a probe. */
const CROWDED_SHARE = 0.6;

/** Asks one engine at a time, while this gateway watches the source of state. */
export class ReportReader implements disposable.Disposable {
  private readonly timer: disposable.Disposable;
  private isReading = false;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly client: instanceClient.InstanceClient,
    private readonly runs: runTable.RunTable,
    private readonly reports: engineReports.EngineReports,
  ) {
    this.timer = disposable.every(STEP_MILLISECONDS, () => void this.step());
  }

  dispose(): void {
    this.timer.dispose();
  }

  private async step(): Promise<void> {
    if (this.isReading || !this.follower.isWatching) {
      return;
    }
    const due = this.dueEngines(performance.now());
    if (due.length === 0) {
      return;
    }
    // Gateways with the same view ask different engines.
    const engine = due[Math.floor(Math.random() * due.length)];
    this.isReading = true;
    const report = await this.client.readReport(engine);
    this.isReading = false;
    if (report !== undefined) {
      const {queuedRuns, memoryTokens} = report;
      const at = performance.now();
      const {id} = engine.record;
      this.reports.noteOwn(id, {queuedRuns, memoryTokens, at});
    }
  }

  private dueEngines(now: number): instanceTable.Instance[] {
    const loads = this.runs.totalLoads(now);
    return [...this.follower.instances.all()].filter(row => {
      const {id, endpoint} = row.record;
      const engine = this.follower.routes?.findEndpoint(endpoint)?.engine;
      const report = this.reports.of(id, now);
      const isDue =
        report === undefined || now - report.at >= RENEW_MILLISECONDS;
      const memoryTokens = loads.get(id)?.memoryTokens ?? 0;
      return (
        engine !== undefined &&
        row.drainingAt === undefined &&
        isDue &&
        memoryTokens >= engine.memoryTokens * CROWDED_SHARE
      );
    });
  }
}
