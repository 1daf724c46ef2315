/** Chooses where a stream goes on after its instance has stopped. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as instancePermits from '../common/limits/instance_permits';
import * as placement from '../common/placement';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';
import * as copyCheck from './copy_check';
import * as eventDelivery from './event_delivery';
import * as runCopies from './run_copies';
import * as streamSegment from './stream_segment';

const {SegmentEnd} = streamSegment;

/** Retry delay if engines are expected to be full, in seconds. */
export const OVERLOAD_RETRY_SECONDS = 1;

/** Time for which a stream that has begun waits until an instance takes a request, in milliseconds; callers abandon a stream after a pause of two seconds. */
const PATIENCE_MILLISECONDS = 1_000;
const NONE: ReadonlySet<string> = new Set();

/** Continuations of one call. */
export class StreamContinuations {
  private readonly check: copyCheck.CopyCheck;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly run: runTable.Run,
    private readonly engine: configuration.EngineProfile,
    private readonly delivery: eventDelivery.EventDelivery,
  ) {
    this.check = new copyCheck.CopyCheck(context, run, engine, delivery);
  }

  /** Whether the generation could go on elsewhere from its copy, as far as this gateway can tell by itself. */
  hasUsableCopy(
    {current}: runCopies.RunCopies,
    source: instanceTable.Instance,
  ): boolean {
    return current !== undefined && this.check.mayExist(current, source);
  }

  /** Returns the copy to continue from, once its instance takes a request; undefined if there is no credible one or that takes too long. */
  async takeCopy(
    copies: runCopies.RunCopies,
    source: instanceTable.Instance,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {isSourceStopped} = copies;
    const copy = copies.take(performance.now());
    if (copy === undefined) {
      return undefined;
    }
    if (!(await this.check.isUsable(copy, source, isSourceStopped))) {
      return undefined;
    }
    const {target: copied, origin, at} = copy;
    const {eventTimes} = this.delivery;
    if (!this.context.repeats.mayContinue()) {
      this.context.log('copy-without-budget', {}, copied.instance);
      return undefined;
    }
    const {permits} = this.context.services;
    const {id} = copied.instance.record;
    const {choice} = await permits.selectWithin(
      NONE,
      barred =>
        barred.has(id) || copies.whyUnusable(copied.instance) !== undefined
          ? undefined
          : copied,
      PATIENCE_MILLISECONDS,
    );
    if (choice === undefined) {
      this.context.log(
        'copy-without-permit',
        {unavailable: copies.whyUnusable(copied.instance)},
        copied.instance,
      );
      return undefined;
    }
    this.context.log(
      'stream-continued',
      {
        origin,
        copy_age_ms: Math.round(performance.now() - at),
        segment_ms: eventTimes && eventTimes.latest - eventTimes.first,
      },
      copied.instance,
    );
    return choice;
  }

  /** Returns where the generation runs again without a copy; undefined if the call has ended. */
  runAgain(
    previous: instanceClient.RunTarget,
    end: streamSegment.SegmentEnd,
    segment: streamSegment.StreamSegment,
  ): Promise<instanceClient.RunTarget | undefined> {
    return previous.continuation !== undefined || this.delivery.hasBegun
      ? this.resume(previous, end)
      : this.restart(previous, end, segment);
  }

  /** Resumes by event id after events were delivered, if the route allows it. */
  private async resume(
    previous: instanceClient.RunTarget,
    end: streamSegment.SegmentEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    const retryReason =
      end === SegmentEnd.NotRun && previous.continuation === undefined
        ? callContext.RetryReason.NotRun
        : callContext.RetryReason.MayHaveRun;
    const isAllowed =
      context.call.route.isResumable && context.mayRepeat(retryReason);
    if (isAllowed) {
      const target = await this.placeOnOtherInstance(previous);
      const from = previous.instance.record.id;
      if (target === undefined || this.chargeRepeat(target, from)) {
        return target;
      }
    }
    const message = `the stream of ${previous.instance.record.id} ended early`;
    if (this.delivery.hasBegun) {
      context.abortStream(message);
    } else {
      const {EndpointLost} = resultCode.ResultCode;
      context.fail(failure.unknownOutcome(EndpointLost, message), 502);
    }
    return undefined;
  }

  /** Starts the generation again while the caller has received nothing. */
  private async restart(
    previous: instanceClient.RunTarget,
    end: streamSegment.SegmentEnd,
    segment: streamSegment.StreamSegment,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    const retryReason =
      end === SegmentEnd.NotRun
        ? callContext.RetryReason.NotRun
        : callContext.RetryReason.MayHaveRun;
    const {scheduler} = context.services;
    const mayWait =
      segment.wasTurnedAway && scheduler.recordTurnedAway(this.run);
    if (context.mayRepeat(retryReason)) {
      const target = await (mayWait
        ? this.waitForRoom()
        : this.placeOnOtherInstance(previous));
      const from = mayWait ? undefined : previous.instance.record.id;
      if (target === undefined || this.chargeRepeat(target, from)) {
        return target;
      }
    }
    if (end === SegmentEnd.Failed) {
      segment.deliverFailure();
      return undefined;
    }
    if (end === SegmentEnd.NotRun && context.sendsThatMayHaveRun === 0) {
      context.refuse(
        resultCode.ResultCode.Overloaded,
        'the instances tried did not accept the request',
        OVERLOAD_RETRY_SECONDS,
      );
      return undefined;
    }
    context.fail(
      failure.unknownOutcome(
        resultCode.ResultCode.EndpointLost,
        `the connection to ${previous.instance.record.id} ended before its answer`,
      ),
      502,
    );
    return undefined;
  }

  /** Charges the repeat at the target; returns false if the budget does not allow it. */
  private chargeRepeat(
    target: instanceClient.RunTarget,
    from: string | undefined,
  ): boolean {
    const isCharged = this.context.repeats.tryCharge();
    if (isCharged) {
      this.context.log('generation-repeated', {from}, target.instance);
    }
    return isCharged;
  }

  /** Lets a generation wait again that was turned away by an engine with other runs. */
  private async waitForRoom(): Promise<instanceClient.RunTarget | undefined> {
    const {context, run} = this;
    const {placed, refusal} = await context.services.scheduler.placeAgain(
      context,
      run,
    );
    if (context.isOver) {
      return undefined;
    }
    if (placed === undefined) {
      const message = 'the engines that were tried are full';
      const code = resultCode.ResultCode.Overloaded;
      if (context.sendsThatMayHaveRun > 0) {
        context.fail(failure.unknownOutcome(code, message), 502);
      } else {
        const seconds = refusal?.retrySeconds ?? OVERLOAD_RETRY_SECONDS;
        context.refuse(code, message, seconds);
      }
      return undefined;
    }
    return {instance: placed.instance, continuation: undefined};
  }

  private async placeOnOtherInstance(
    previous: instanceClient.RunTarget,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    // An instance in back-off takes the call again after it.
    if (!context.isInBackOff(previous.instance)) {
      context.excluded.add(previous.instance.record.id);
    }
    const {choice, shortage} = await this.chooseWithin();
    if (context.isOver) {
      return undefined;
    }
    if (choice === undefined) {
      const message = 'no other instance accepts work';
      const code = resultCode.ResultCode.NoEndpoint;
      if (this.delivery.hasBegun) {
        context.abortStream(message);
      } else if (context.sendsThatMayHaveRun > 0) {
        context.fail(failure.unknownOutcome(code, message), 502);
      } else if (shortage !== undefined) {
        context.refuseForLimits(shortage.retryAt);
      } else {
        const seconds = context.backOffSeconds ?? OVERLOAD_RETRY_SECONDS;
        context.refuse(code, message, seconds);
      }
      return undefined;
    }
    return {instance: choice.instance, continuation: undefined};
  }

  /** Chooses an instance, and waits for one in back-off if there is no other. */
  private async chooseWithin(): Promise<
    instancePermits.Selection<placement.GenerationChoice>
  > {
    const {context, delivery} = this;
    const latest = delivery.hasBegun
      ? performance.now() + PATIENCE_MILLISECONDS
      : context.latestBackOffEnd;
    for (;;) {
      const chosenAt = performance.now();
      const selection = await this.chooseInstance();
      const isFound =
        selection.choice !== undefined || selection.shortage !== undefined;
      if (isFound || !(await context.awaitBackOff(chosenAt, latest))) {
        return selection;
      }
    }
  }

  /** Chooses an instance for a new run of the generation, at the version that began its stream. */
  private chooseInstance(): Promise<
    instancePermits.Selection<placement.GenerationChoice>
  > {
    const {services, call, excluded, softwareVersion} = this.context;
    return services.permits.selectWithin(
      excluded,
      barred =>
        services.scheduler.chooseInstance(this.run, {
          excluded: barred,
          softwareVersion,
          dataCentre: services.dataCentre,
          capacityTokens: this.engine.memoryTokens || Infinity,
          remoteCostMilliseconds: 0,
          isCopy: false,
          scope: call.scope,
        }),
      this.delivery.hasBegun ? PATIENCE_MILLISECONDS : 0,
    );
  }
}
