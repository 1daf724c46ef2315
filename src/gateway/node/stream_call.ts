/** Streaming generations: events are delivered as they arrive, and the stream continues at another instance if its instance stops. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as streamOutcome from '../common/stream_outcome';
import * as runTable from '../common/run_table';
import * as stallPolicy from '../common/stall_policy';
import * as callContext from './call_context';
import * as eventDelivery from './event_delivery';
import * as evacuator from './evacuator';
import * as generationLeg from './generation_leg';
import * as generationScheduler from './generation_scheduler';
import * as runCopies from './run_copies';
import * as stallWatch from './stall_watch';

const {LegEnd} = generationLeg;

/** Retry delay if engines are expected to be full, in seconds. */
const OVERLOAD_RETRY_SECONDS = 1;

/** Executes one streaming generation. */
export class StreamCall extends evacuator.MovableCall {
  run!: runTable.Run;
  private leg: generationLeg.GenerationLeg | undefined;
  private delivery!: eventDelivery.EventDelivery;
  private copies!: runCopies.RunCopies;
  private watch: stallWatch.StallWatch | undefined;
  private legCount = 0;
  private hasExpired = false;
  private deadlineTimer: NodeJS.Timeout | undefined;

  constructor(private readonly context: callContext.CallContext) {
    super();
  }

  get isOver(): boolean {
    return this.context.isOver;
  }

  get engine(): configuration.EngineProfile {
    return this.context.call.endpoint?.engine ?? generationLeg.DEFAULT_ENGINE;
  }

  get objectiveMilliseconds(): number {
    return this.context.call.route.objectiveMilliseconds;
  }

  log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.context.log(event, {events: this.run.eventsDelivered, ...fields});
  }

  get needsCopy(): boolean {
    return this.copies.isNeeded;
  }

  get copyTarget(): instanceTable.Instance | undefined {
    return this.copies.target;
  }

  noteCopy(target: instanceClient.RunTarget): void {
    this.copies.note(target);
    if (this.isOver) {
      this.copies.dropUnused();
    }
  }

  async start(): Promise<void> {
    const {context} = this;
    const grant = await context.services.scheduler.grant(context);
    if (context.isOver) {
      if (grant !== undefined) {
        context.services.runs.remove(grant.run);
      }
      return;
    }
    if (grant === undefined) {
      return context.refuse(
        resultCode.ResultCode.Overloaded,
        'no engine is expected to have enough free memory in time',
        OVERLOAD_RETRY_SECONDS,
      );
    }
    this.run = grant.run;
    this.delivery = new eventDelivery.EventDelivery(context, grant.run, () =>
      this.watch?.noteEvents(),
    );
    this.copies = new runCopies.RunCopies(context, grant.run, this.engine);
    context.setDisconnectHandler(() => this.leg?.cancel());
    context.services.evacuator.add(this);
    this.deadlineTimer = setTimeout(
      () => this.expire(),
      Math.max(0, context.remainingMilliseconds),
    );
    try {
      await this.followLegs({
        instance: grant.instance,
        continuation: undefined,
      });
    } finally {
      this.release();
    }
  }

  private release(): void {
    const {services} = this.context;
    clearTimeout(this.deadlineTimer);
    this.copies.dropUnused();
    services.evacuator.remove(this);
    services.runs.remove(this.run);
    services.scheduler.startWaiting();
    this.delivery.observePauses();
  }

  private async followLegs(first: instanceClient.RunTarget): Promise<void> {
    let leg: instanceClient.RunTarget | undefined = first;
    while (leg !== undefined && !this.context.isOver) {
      const end: generationLeg.LegEnd = await this.runLeg(leg);
      if (this.context.isOver) {
        return;
      }
      leg = await this.nextLeg(leg, end);
    }
  }

  private async runLeg(
    leg: instanceClient.RunTarget,
  ): Promise<generationLeg.LegEnd> {
    const {context, run} = this;
    const {services, call} = context;
    run.instanceId = leg.instance.record.id;
    const backup = this.copies.startLeg(leg.instance);
    this.delivery.startLeg();
    this.legCount++;
    if (leg.continuation === undefined) {
      context.noteSend();
    }
    const exchange = services.client.send(leg.instance, {
      caller: call.caller,
      body: call.body,
      remainingMilliseconds: context.remainingMilliseconds,
      customer: call.customer?.name,
      urgency: generationScheduler.urgencyOf(context),
      lastEventId: this.delivery.lastEventId,
      continuation: leg.continuation,
      backupAddress: backup?.record.address,
    });
    this.leg = new generationLeg.GenerationLeg(
      context,
      this.delivery,
      exchange,
    );
    services.evacuator.addIfEvacuating(this, leg.instance);
    this.watch = new stallWatch.StallWatch(
      new WatchedLeg(this, leg.instance),
      services.client,
    );
    leg.instance.openRequests++;
    const end = await this.leg.receive();
    leg.instance.openRequests--;
    this.watch.dispose();
    this.noteEnd(leg.instance, end);
    return end;
  }

  private noteEnd(
    instance: instanceTable.Instance,
    end: generationLeg.LegEnd,
  ): void {
    const {context, run} = this;
    const {services, call} = context;
    const now = performance.now();
    services.metrics.sends.inc({outcome: end});
    streamOutcome.recordStreamOutcome(
      instance,
      {
        isWhole: end === LegEnd.Completed,
        error: this.leg!.error,
        isCallerGone: context.isOver && !this.hasExpired,
      },
      now,
    );
    if (end === LegEnd.Completed) {
      services.crashes.clear(call.fingerprint, now);
      const tokens = run.eventsDelivered * run.tokensPerEvent;
      const customer = call.customer?.name ?? '';
      services.predictor.record(customer, call.route.name, tokens);
      const {streamMilliseconds} = this.delivery;
      services.pace.add(call.endpointName, streamMilliseconds, tokens);
    }
    const isLoss = end === LegEnd.Broken && instance.drainingAt === undefined;
    if (isLoss && !context.isOver) {
      context.noteCrash(instance);
    }
    if (end !== LegEnd.Completed || this.legCount > 1) {
      this.log('stream-leg-ended', {end, instance: instance.record.id});
    }
  }

  /** State of the stream, for its `StallWatch`. */
  quietStream(): Omit<stallPolicy.StalledStream, 'report'> {
    return {
      hasStarted: this.run.hasStarted,
      eventsDelivered: this.run.eventsDelivered,
      mayRepeat: this.context.isRetryable,
      hasCopy: this.copies.hasCopy,
    };
  }

  /** Abandons a connection that no longer carries any data. */
  async abandonStalledLeg(
    instance: instanceTable.Instance,
    decision: stallPolicy.StallDecision,
  ): Promise<void> {
    const {leg} = this;
    if (decision === stallPolicy.StallDecision.Move) {
      const {evacuator: evacuations} = this.context.services;
      this.copies.note(await evacuations.moveStalledRun(this, instance));
    }
    leg?.cancel();
  }

  /** Chooses where the stream continues; undefined if the call has ended. */
  private async nextLeg(
    leg: instanceClient.RunTarget,
    end: generationLeg.LegEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    if (end === LegEnd.Completed) {
      return undefined;
    }
    if (end === LegEnd.Broken) {
      const copied = this.copies.take(performance.now());
      if (copied !== undefined) {
        return copied;
      }
    }
    if (leg.continuation !== undefined || this.delivery.hasBegun) {
      return this.resume(leg, end);
    }
    return this.restart(leg, end);
  }

  /** Resumes by event id after events were delivered, if the route allows it. */
  private async resume(
    leg: instanceClient.RunTarget,
    end: generationLeg.LegEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    const why =
      end === LegEnd.NotRun && leg.continuation === undefined
        ? callContext.RetryReason.NotRun
        : callContext.RetryReason.MayHaveRun;
    const isAllowed = context.call.route.isResumable && context.takeRetry(why);
    if (isAllowed) {
      return this.placeOnOtherInstance(leg);
    }
    const message = `the stream of ${leg.instance.record.id} ended early`;
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
    leg: instanceClient.RunTarget,
    end: generationLeg.LegEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    const why =
      end === LegEnd.NotRun
        ? callContext.RetryReason.NotRun
        : callContext.RetryReason.MayHaveRun;
    if (context.takeRetry(why)) {
      return this.placeOnOtherInstance(leg);
    }
    if (end === LegEnd.Failed) {
      this.deliverFailure();
      return undefined;
    }
    if (end === LegEnd.NotRun && context.sendsThatMayHaveRun === 0) {
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
        `the connection to ${leg.instance.record.id} ended before its answer`,
      ),
      502,
    );
    return undefined;
  }

  private async placeOnOtherInstance(
    leg: instanceClient.RunTarget,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context, run} = this;
    context.excluded.add(leg.instance.record.id);
    const choice = context.services.scheduler.chooseInstance(run, {
      excluded: context.excluded,
      dataCentre: context.services.dataCentre,
      capacityTokens: this.engine.memoryTokens || Infinity,
      remoteCostMilliseconds: 0,
      isCopy: false,
    });
    if (choice === undefined) {
      const message = 'no other instance accepts work';
      const code = resultCode.ResultCode.NoEndpoint;
      if (this.delivery.hasBegun) {
        context.abortStream(message);
      } else if (context.sendsThatMayHaveRun > 0) {
        context.fail(failure.unknownOutcome(code, message), 502);
      } else {
        context.refuse(code, message, OVERLOAD_RETRY_SECONDS);
      }
      return undefined;
    }
    context.log(
      'generation-repeated',
      {from: leg.instance.record.id},
      choice.instance,
    );
    return {instance: choice.instance, continuation: undefined};
  }

  private deliverFailure(): void {
    const {context} = this;
    const {answer, body} = this.leg!.failure!;
    context.log('instance-failure-delivered', {status: answer.status});
    context.finish('instance-failure');
    context.response.writeHead(answer.status, [
      ...answer.passedHeaders,
      'Content-Length',
      String(body.length),
    ]);
    context.response.end(body);
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
    this.leg?.cancel();
  }
}

/** One leg of a call, as seen by its `StallWatch`. */
class WatchedLeg extends stallWatch.WatchedStream {
  constructor(
    private readonly call: StreamCall,
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

  quietStream(): Omit<stallPolicy.StalledStream, 'report'> {
    return this.call.quietStream();
  }

  onStall(decision: stallPolicy.StallDecision): void {
    void this.call.abandonStalledLeg(this.instance, decision);
  }

  log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.call.log(event, fields);
  }
}
