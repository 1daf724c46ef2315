/** Checks a stream that has stopped delivering events. */
import * as disposable from '../../base/common/disposable';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as stallPolicy from '../common/stall_policy';

/** A stream as seen by its `StallWatch`. */
export abstract class WatchedStream {
  abstract readonly instance: instanceTable.Instance;
  abstract readonly attemptId: string;
  abstract readonly objectiveMilliseconds: number;
  abstract streamState(): Omit<stallPolicy.StalledStream, 'report'>;
  /** Handles a decision other than to wait. */
  abstract onStall(decision: stallPolicy.StallDecision): void;
  abstract log(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Watches one segment of a stream. */
export class StallWatch implements disposable.Disposable {
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;

  constructor(
    private readonly stream: WatchedStream,
    private readonly client: instanceClient.InstanceClient,
  ) {
    this.restartTimer(
      stream.objectiveMilliseconds * stallPolicy.FIRST_EVENT_SHARE,
    );
  }

  /** Records that events have arrived. */
  recordEvents(): void {
    this.restartTimer(stallPolicy.STARTED_STALL_MILLISECONDS);
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private restartTimer(milliseconds: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.check(), milliseconds);
  }

  private async check(): Promise<void> {
    const {stream} = this;
    const before = stream.streamState().eventsDelivered;
    const {mayRepeat} = stream.streamState();
    const report = await this.client.readReport(
      stream.instance,
      mayRepeat ? undefined : stallPolicy.REPORT_TIMEOUT_MILLISECONDS,
    );
    const view = {...stream.streamState(), report};
    if (this.isDisposed || view.eventsDelivered !== before) {
      return;
    }
    const decision = stallPolicy.decideStall(view, stream.attemptId);
    stream.log('stream-stalled', {
      instance: stream.instance.record.id,
      decision,
      report: report !== undefined,
      made: report?.eventsByRun.get(stream.attemptId),
      queued: report?.queuedRuns,
      has_copy: view.hasCopy,
    });
    this.restartTimer(stallPolicy.RECHECK_MILLISECONDS);
    if (decision !== stallPolicy.StallDecision.Wait) {
      stream.onStall(decision);
    }
  }
}
