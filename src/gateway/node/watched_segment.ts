/** One segment of a streaming call, as seen by its `StallWatch`. */
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as stallPolicy from '../common/stall_policy';
import * as stallWatch from './stall_watch';

/** A call whose segments may stall. */
export interface StallableCall {
  readonly run: runTable.Run;
  readonly objectiveMilliseconds: number;
  streamState(): Omit<stallPolicy.StalledStream, 'report'>;
  abandonStalledSegment(
    instance: instanceTable.Instance,
    decision: stallPolicy.StallDecision,
  ): Promise<void>;
  log(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Connects one segment with its call. */
export class WatchedSegment extends stallWatch.WatchedStream {
  constructor(
    private readonly call: StallableCall,
    readonly instance: instanceTable.Instance,
  ) {
    super();
  }

  get attemptId(): string {
    return this.call.run.attemptId;
  }

  get objectiveMilliseconds(): number {
    return this.call.objectiveMilliseconds;
  }

  streamState(): Omit<stallPolicy.StalledStream, 'report'> {
    return this.call.streamState();
  }

  onStall(decision: stallPolicy.StallDecision): void {
    void this.call.abandonStalledSegment(this.instance, decision);
  }

  log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.call.log(event, fields);
  }
}
