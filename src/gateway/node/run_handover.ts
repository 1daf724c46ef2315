/** Hands a run that is stalled or broken over to the instance of a copy, once it is known to be at work nowhere else. */
import * as deadline from '../../base/common/deadline';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as stallPolicy from '../common/stall_policy';
import * as evacuationManager from './evacuation_manager';
import * as runCopies from './run_copies';
import * as streamContinuations from './stream_continuations';
import * as streamSegment from './stream_segment';

const {StopOutcome} = evacuationManager;

/** Handovers of one run. */
export class RunHandover {
  /** Ends when a stalled run has been handed over; its stream may break before that. */
  private pending: Promise<void> | undefined;
  private isPending = false;
  /** Instances with an order that they may still carry out, since they did not answer it. */
  private readonly openOrders = new Set<instanceTable.Instance>();

  constructor(
    private readonly call: evacuationManager.MovableCall,
    private readonly evacuations: evacuationManager.EvacuationManager,
    private readonly copies: runCopies.RunCopies,
    private readonly continuations: streamContinuations.StreamContinuations,
  ) {}

  /** Whether the instance may close the stream because it was told to stop the run. */
  mayBeStopped(instance: instanceTable.Instance): boolean {
    return this.openOrders.has(instance);
  }

  /** Stops a stalled run and closes its stream, unless the run may still be at work. */
  async moveStalled(
    source: instanceTable.Instance,
    segment: streamSegment.StreamSegment,
  ): Promise<void> {
    if (this.isPending) {
      return;
    }
    this.isPending = true;
    this.pending = this.closeStopped(source, segment);
    await this.pending;
    this.isPending = false;
  }

  /** Returns the copy from which a broken stream goes on; undefined if none is usable, or if the run may still be at work at the source. */
  async takeCopy(
    source: instanceTable.Instance,
  ): Promise<instanceClient.RunTarget | undefined> {
    await this.pending;
    const {copies, continuations} = this;
    const isUsable = continuations.hasUsableCopy(copies, source);
    if (isUsable && !copies.isSourceStopped) {
      await this.stop(source, 'broken-run-stopped');
    }
    return continuations.takeCopy(copies, source);
  }

  private async closeStopped(
    source: instanceTable.Instance,
    segment: streamSegment.StreamSegment,
  ): Promise<void> {
    segment.expectStop(true);
    const outcome = await this.stop(source, 'silent-run-moved');
    if (outcome === StopOutcome.MayRun) {
      segment.expectStop(this.mayBeStopped(source));
      return;
    }
    if (outcome === StopOutcome.Ended) {
      segment.expectStop(this.mayBeStopped(source));
      // The run may have ended by itself with its last events on the way.
      const {eventsDelivered} = this.call.run;
      await deadline.delay(stallPolicy.RECHECK_MILLISECONDS);
      if (this.call.run.eventsDelivered > eventsDelivered) {
        return;
      }
    }
    segment.cancel();
  }

  private async stop(
    source: instanceTable.Instance,
    event: string,
  ): Promise<evacuationManager.StopOutcome> {
    const {call, copies} = this;
    const {outcome, copy, isOrderOpen} = await this.evacuations.stopRun(
      call,
      source,
      event,
    );
    if (isOrderOpen) {
      this.openOrders.add(source);
    }
    if (outcome !== StopOutcome.MayRun) {
      copies.recordStop(copy);
    }
    if (call.isOver) {
      copies.dropUnused();
    }
    return outcome;
  }
}
