/** Streaming generations: events are delivered as they arrive, and if its instance stops, the stream continues at another one where a copy or the route allows it. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as streamOutcome from '../common/stream_outcome';
import * as runTable from '../common/run_table';
import * as stallPolicy from '../common/stall_policy';
import * as callContext from './call_context';
import * as crashEvidence from './crash_evidence';
import * as eventDelivery from './event_delivery';
import * as evacuationManager from './evacuation_manager';
import * as streamSegment from './stream_segment';
import * as generationScheduler from './generation_scheduler';
import * as promptAdmission from './prompt_admission';
import * as runCopies from './run_copies';
import * as runHandover from './run_handover';
import * as stallWatch from './stall_watch';
import * as streamContinuations from './stream_continuations';
import * as watchedSegment from './watched_segment';

const {SegmentEnd} = streamSegment;

/** Executes one streaming generation. */
export class StreamCall extends evacuationManager.MovableCall {
  run!: runTable.Run;
  private readonly admission: promptAdmission.PromptAdmission;
  private segment: streamSegment.StreamSegment | undefined;
  private delivery!: eventDelivery.EventDelivery;
  private copies!: runCopies.RunCopies;
  private continuations!: streamContinuations.StreamContinuations;
  private handover!: runHandover.RunHandover;
  private watch: stallWatch.StallWatch | undefined;
  private evidence: crashEvidence.CrashEvidence | undefined;
  /** Ends when it is known whether a lost instance counts against the prompt. */
  private judgement: Promise<void> | undefined;
  /** Instance of the current segment. */
  private source: instanceTable.Instance | undefined;
  private segmentCount = 0;
  private hasExpired = false;
  private deadlineTimer: NodeJS.Timeout | undefined;

  constructor(private readonly context: callContext.CallContext) {
    super();
    this.admission = new promptAdmission.PromptAdmission(context);
  }

  get isOver(): boolean {
    return this.context.isOver;
  }

  get scope(): instanceAvailability.AvailabilityRequest {
    return this.context.call.scope;
  }

  get engine(): configuration.EngineProfile {
    return this.context.call.endpoint?.engine ?? streamSegment.DEFAULT_ENGINE;
  }

  get objectiveMilliseconds(): number {
    return this.context.call.route.objectiveMilliseconds;
  }

  log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.context.log(event, {events: this.run.eventsDelivered, ...fields});
  }

  get needsCopy(): boolean {
    return this.copies.needsCopy;
  }

  get copyTarget(): instanceTable.Instance | undefined {
    return this.copies.target;
  }

  get copyHolder(): instanceTable.Instance | undefined {
    return this.copies.current?.target.instance;
  }

  recordCopy(target: instanceClient.RunTarget): void {
    this.copies.setCopy(target);
    if (this.isOver) {
      this.copies.dropUnused();
    }
  }

  async start(): Promise<void> {
    const {context} = this;
    if (this.admission.endIfTrialIsTaken()) {
      return;
    }
    const mayStart = await this.prepareResumption();
    if (!mayStart || context.isOver) {
      return;
    }
    const {placed, retryAt, refusal} =
      await context.services.scheduler.place(context);
    if (context.isOver) {
      if (placed !== undefined) {
        context.services.runs.remove(placed.run);
      }
      return;
    }
    if (placed === undefined && retryAt !== undefined) {
      return context.refuseForLimits(retryAt);
    }
    if (placed === undefined) {
      return context.refuse(
        resultCode.ResultCode.Overloaded,
        'no engine is expected to have enough room in time',
        refusal?.retrySeconds ?? streamContinuations.OVERLOAD_RETRY_SECONDS,
      );
    }
    this.run = placed.run;
    this.delivery = new eventDelivery.EventDelivery(context, placed.run, () =>
      this.recordEvents(),
    );
    this.copies = new runCopies.RunCopies(context, placed.run, this.engine);
    this.continuations = new streamContinuations.StreamContinuations(
      context,
      placed.run,
      this.engine,
      this.delivery,
    );
    this.handover = new runHandover.RunHandover(
      this,
      context.services.evacuations,
      this.copies,
      this.continuations,
    );
    context.setDisconnectHandler(() => this.segment?.cancel());
    context.services.evacuations.add(this);
    this.deadlineTimer = setTimeout(
      () => this.expire(),
      Math.max(0, context.remainingMilliseconds),
    );
    const subscription = context.services.promptParts.onDidBlock.subscribe(() =>
      this.endIfPoisoned(),
    );
    try {
      await this.runSegments({
        instance: placed.instance,
        continuation: undefined,
      });
    } finally {
      subscription.unsubscribe();
      this.release();
    }
  }

  /** Binds a resumed stream to the software version that began it; returns false if the call was refused. */
  private async prepareResumption(): Promise<boolean> {
    const {context} = this;
    const {services} = context;
    const origin = await services.origins.find(context);
    context.softwareVersion = origin.softwareVersion;
    const {Overloaded, NoEndpoint} = resultCode.ResultCode;
    if (!origin.isKnown) {
      const message = 'the software version that began the stream is not known';
      context.refuse(NoEndpoint, message, origin.retrySeconds);
      return false;
    }
    const isServed = services.scheduler.hasInstance(context);
    if (!isServed) {
      const message = `no instance with software version "${origin.softwareVersion}" accepts work`;
      const {OVERLOAD_RETRY_SECONDS} = streamContinuations;
      context.refuse(Overloaded, message, OVERLOAD_RETRY_SECONDS);
    }
    return isServed;
  }

  private recordEvents(): void {
    const {context} = this;
    this.watch?.recordEvents();
    context.services.scheduler.recordEvent(this.run);
    this.evidence?.recordEvents(performance.now());
    if (this.evidence?.hasSurvived) {
      this.admission.endTrial();
    }
    if (context.softwareVersion === undefined) {
      context.softwareVersion = instanceTable.versionOf(this.source!.record);
      context.services.origins.recordBegun(context, context.softwareVersion);
    }
  }

  /** Ends a call without any event yet whose prompt is known to crash engines; its engine drops it before it begins. */
  private endIfPoisoned(): boolean {
    const hasEnded = !this.delivery.hasBegun && this.context.endIfPoisoned();
    if (hasEnded) {
      this.segment?.cancel();
    }
    return hasEnded;
  }

  private release(): void {
    const {services} = this.context;
    clearTimeout(this.deadlineTimer);
    this.copies.dropUnused();
    services.evacuations.remove(this);
    services.scheduler.release(this.run);
    this.delivery.observePauses();
  }

  private async runSegments(first: instanceClient.RunTarget): Promise<void> {
    let target: instanceClient.RunTarget | undefined = first;
    while (target !== undefined && !this.context.isOver) {
      // Others may have crashed while this call waited for an engine.
      if (this.endIfPoisoned()) {
        return;
      }
      if (!this.delivery.hasBegun && !(await this.admission.admit())) {
        return;
      }
      const end: streamSegment.SegmentEnd = await this.runSegment(target);
      if (this.context.isOver) {
        return;
      }
      target = await this.chooseNextTarget(target, end);
    }
  }

  private async runSegment(
    target: instanceClient.RunTarget,
  ): Promise<streamSegment.SegmentEnd> {
    const {context, run} = this;
    const {services} = context;
    this.source = target.instance;
    run.instanceId = target.instance.record.id;
    const backup = this.copies.startSegment(target.instance);
    this.delivery.startSegment(target.instance);
    this.segmentCount++;
    if (target.continuation === undefined) {
      context.recordSend();
    }
    const exchange = context.send(target.instance, {
      urgency: generationScheduler.urgencyOf(context),
      lastEventId: this.delivery.lastEventId,
      continuation: target.continuation,
      backupAddress: backup?.record.address,
    });
    this.segment = new streamSegment.StreamSegment(
      context,
      this.delivery,
      exchange,
    );
    this.segment.expectStop(this.handover.mayBeStopped(target.instance));
    services.evacuations.addIfEvacuating(this, target.instance);
    this.watch = new stallWatch.StallWatch(
      new watchedSegment.WatchedSegment(this, target.instance),
      services.client,
    );
    this.evidence = new crashEvidence.CrashEvidence(context, target.instance);
    target.instance.openRequests++;
    const end = await this.segment.receive();
    target.instance.openRequests--;
    this.watch.dispose();
    this.recordEnd(target.instance, end);
    void this.endTrial();
    if (target.continuation !== undefined && this.segment.wasRejected) {
      context.repeats.recordRejectedContinuation();
    }
    return end;
  }

  private async endTrial(): Promise<void> {
    await this.judgement;
    this.admission.endTrial();
  }

  private recordEnd(
    instance: instanceTable.Instance,
    end: streamSegment.SegmentEnd,
  ): void {
    const {context, run} = this;
    const {services, call} = context;
    const now = performance.now();
    services.metrics.sends.inc({outcome: end});
    const isRejected =
      end === SegmentEnd.NotRun && this.segment!.error === undefined;
    // An instance that sent a `Retry-After` is avoided by its back-off instead.
    if (!isRejected || !context.isInBackOff(instance)) {
      streamOutcome.recordStreamOutcome(
        instance,
        {
          isWhole: end === SegmentEnd.Completed,
          isRejected,
          error: this.segment!.error,
          isCallerGone: context.isOver && !this.hasExpired,
        },
        now,
      );
    }
    if (end === SegmentEnd.Completed) {
      services.origins.recordCompleted(context);
      this.evidence!.recordCompletion(now);
      const tokens = run.eventsDelivered * run.tokensPerEvent;
      const customer = call.customer?.name ?? '';
      services.predictor.record(customer, call.route.name, tokens);
      const {streamMilliseconds} = this.delivery;
      services.pace.add(call.endpointName, streamMilliseconds, tokens);
    }
    const isLoss =
      end === SegmentEnd.Broken && instance.drainingAt === undefined;
    if (isLoss && !context.isOver) {
      this.judgement = this.evidence!.recordLoss(
        now,
        this.segment!.isCancelled,
      );
    }
    if (this.segmentCount > 1 || !this.segment!.hasMarkedEnd) {
      const fields = this.segment!.describeEnd();
      this.log('stream-leg-ended', {
        end,
        instance: instance.record.id,
        software_version: instance.record.softwareVersion,
        ...fields,
      });
    }
  }

  /** State of the stream, for its `StallWatch`. */
  streamState(): Omit<stallPolicy.StalledStream, 'report'> {
    return {
      hasStarted: this.run.hasStarted,
      eventsDelivered: this.run.eventsDelivered,
      mayRepeat: this.context.isRetryable,
      hasCopy: this.continuations.hasUsableCopy(this.copies, this.source!),
    };
  }

  /** Abandons a stalled segment, after moving its run to another instance if so decided. */
  async abandonStalledSegment(
    instance: instanceTable.Instance,
    decision: stallPolicy.StallDecision,
  ): Promise<void> {
    const {segment} = this;
    if (this.delivery.isPaused) {
      return;
    }
    if (decision === stallPolicy.StallDecision.Move) {
      await this.handover.moveStalled(instance, segment!);
      return;
    }
    segment?.cancel();
  }

  /** Returns where the stream continues; undefined if the call has ended. */
  private async chooseNextTarget(
    previous: instanceClient.RunTarget,
    end: streamSegment.SegmentEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    if (end === SegmentEnd.Completed) {
      return undefined;
    }
    if (end === SegmentEnd.Broken) {
      await this.judgement;
      const copied = await this.handover.takeCopy(previous.instance);
      if (copied !== undefined) {
        return copied;
      }
    }
    return this.continuations.runAgain(previous, end, this.segment!);
  }

  private expire(): void {
    const {context} = this;
    if (context.isOver) {
      return;
    }
    this.hasExpired = true;
    const message = "the answer was not complete before the caller's deadline";
    if (this.delivery.hasBegun) {
      context.abortStream(message);
    } else {
      const {OutcomeUnknown} = resultCode.ResultCode;
      context.fail(failure.unknownOutcome(OutcomeUnknown, message), 504);
    }
    this.segment?.cancel();
  }
}
