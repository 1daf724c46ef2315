/** Calls of plain services: the whole answer is collected before any of it is delivered. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as hedgePolicy from '../common/hedging/hedge_policy';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as instancePermits from '../common/limits/instance_permits';
import * as placement from '../common/placement';
import * as callContext from './call_context';
import * as callerAnswer from './caller_answer';
import * as callerSink from './caller_sink';
import * as hedgedSend from './hedged_send';
import * as plainSend from './plain_send';

const {SendError} = instanceClient;

/** Retry delay if no instance accepts the call, in seconds. */
const NO_INSTANCE_RETRY_SECONDS = 0.25;

/** Runs one call of a plain service. */
export class PlainCall implements hedgedSend.HedgedCall {
  private readonly openSends = new Set<plainSend.PlainSend>();
  /** Failure answer of an instance, delivered if no other instance succeeds. */
  private lastAnswer: plainSend.SendOutcome | undefined;

  constructor(private readonly context: callContext.CallContext) {
    context.setDisconnectHandler(() =>
      this.openSends.forEach(send => send.cancel()),
    );
  }

  async run(): Promise<void> {
    const {context} = this;
    this.hedges?.recordRequest(performance.now());
    let previous: hedgedSend.SendEnd | undefined;
    for (;;) {
      const chosenAt = performance.now();
      const {choice, shortage} = await this.place();
      if (context.isOver) {
        return;
      }
      if (choice === undefined) {
        if (await context.awaitBackOff(chosenAt)) {
          continue;
        }
        return this.giveUpWithoutInstance(shortage);
      }
      if (previous !== undefined && !context.repeats.tryCharge()) {
        return this.conclude(previous.outcome, previous.retryReason);
      }
      const end = await this.sendTo(choice.instance);
      if (context.isOver) {
        return;
      }
      const {instance, outcome, retryReason} = end;
      if (retryReason === undefined || !context.mayRepeat(retryReason)) {
        return this.conclude(outcome, retryReason);
      }
      // An instance in back-off takes the call again after it.
      if (!context.isInBackOff(instance)) {
        context.excluded.add(instance.record.id);
      }
      context.log(
        'call-repeated',
        {
          why: retryReason,
          error: outcome.error,
          status: outcome.answer?.status,
          first: previous === undefined,
        },
        instance,
      );
      previous = end;
    }
  }

  /** Undefined if the call is not hedged. */
  private get hedges(): hedgePolicy.HedgePolicy | undefined {
    const {services, call} = this.context;
    return hedgePolicy.isHedgeable(call.route) ? services.hedges : undefined;
  }

  private place(): Promise<
    instancePermits.Selection<instancePermits.InstanceChoice>
  > {
    const {services, call, excluded} = this.context;
    const {availability} = services;
    const pick = (barred: ReadonlySet<string>) => {
      const now = performance.now();
      const instances = services.follower.instances.forEndpoint(
        call.endpointName,
      );
      const instance = placement.placeCall(
        instances,
        {
          callOutlook: services.speeds.callOutlook(
            call.endpointName,
            instances,
            now,
          ),
          dataCentre: services.dataCentre,
          excluded: barred,
          isAvailable: each => availability.isAvailable(each, call.scope, now),
          draw: Math.random,
        },
        now,
      );
      return instance && {instance};
    };
    return services.permits.selectWithin(excluded, pick, 0);
  }

  private giveUpWithoutInstance(
    shortage: instancePermits.Shortage | undefined,
  ): void {
    const isUntouched = this.lastAnswer === undefined && !this.mayHaveRun;
    if (shortage !== undefined && isUntouched) {
      return this.context.refuseForLimits(shortage.retryAt);
    }
    this.giveUp(
      resultCode.ResultCode.NoEndpoint,
      'no instance of the endpoint accepts work',
    );
  }

  /** Sends the call to the instance, and to a second one if it is hedged. */
  private async sendTo(
    instance: instanceTable.Instance,
  ): Promise<hedgedSend.SendEnd> {
    const {context, hedges} = this;
    const send = this.startSend(instance);
    return hedges === undefined
      ? this.endOf(send, await send.outcome)
      : new hedgedSend.HedgedSend(context, hedges, this).finish(send);
  }

  startSend(instance: instanceTable.Instance): plainSend.PlainSend {
    this.context.recordSend();
    const send = new plainSend.PlainSend(this.context, instance);
    this.openSends.add(send);
    void send.outcome.then(() => this.openSends.delete(send));
    return send;
  }

  endOf(
    {instance}: plainSend.PlainSend,
    outcome: plainSend.SendOutcome,
  ): hedgedSend.SendEnd {
    const retryReason = this.context.isOver
      ? undefined
      : this.evaluateOutcome(instance, outcome);
    return {instance, outcome, retryReason};
  }

  /** Records the outcome; returns why the call may be sent again, or undefined if it may not. */
  private evaluateOutcome(
    instance: instanceTable.Instance,
    outcome: plainSend.SendOutcome,
  ): callContext.RetryReason | undefined {
    const now = performance.now();
    const {answer, error} = outcome;
    if (answer !== undefined && !answer.isNotExecuted) {
      const isFailure = answer.status >= 500;
      instanceTable.recordOutcome(instance, isFailure, now);
      if (!isFailure) {
        const {services, call} = this.context;
        services.crashes.clear(call.fingerprint, now);
        return undefined;
      }
      this.lastAnswer = outcome;
      return callContext.RetryReason.MayHaveRun;
    }
    if (error === SendError.NeverSent) {
      instanceTable.recordUnreachable(instance, now);
    } else if (answer !== undefined) {
      this.recordRejection(instance, now);
    } else if (error !== SendError.Withdrawn) {
      instanceTable.recordOutcome(instance, true, now);
    }
    if (
      error === SendError.ConnectionLost &&
      instance.drainingAt === undefined
    ) {
      this.context.recordCrash(instance);
    }
    if (answer !== undefined || instanceClient.wasNeverSent(error)) {
      return callContext.RetryReason.NotRun;
    }
    const isOver = this.context.remainingMilliseconds <= 0;
    return isOver ? undefined : callContext.RetryReason.MayHaveRun;
  }

  /** Records that the instance did not run the request. One that sent a `Retry-After` is avoided by its back-off instead. */
  private recordRejection(instance: instanceTable.Instance, now: number): void {
    if (!this.context.isInBackOff(instance)) {
      instanceTable.recordRejection(instance, now);
    }
  }

  private conclude(
    outcome: plainSend.SendOutcome,
    retryReason: callContext.RetryReason | undefined,
  ): void {
    if (outcome.answer !== undefined && !outcome.answer.isNotExecuted) {
      return this.deliver(outcome);
    }
    if (retryReason === callContext.RetryReason.NotRun) {
      return this.giveUp(
        resultCode.ResultCode.Overloaded,
        'every instance tried rejected the request',
      );
    }
    if (outcome.error === SendError.TimedOut) {
      const message = "no answer before the caller's deadline";
      const {OutcomeUnknown} = resultCode.ResultCode;
      return this.context.fail(
        failure.unknownOutcome(OutcomeUnknown, message),
        504,
      );
    }
    this.giveUp(
      resultCode.ResultCode.EndpointLost,
      `the connection to the instance failed (${outcome.error})`,
    );
  }

  /** Ends the call without another send, with the instance's own failure if there is one. */
  private giveUp(code: resultCode.ResultCode, message: string): void {
    if (this.lastAnswer !== undefined) {
      return this.deliver(this.lastAnswer);
    }
    if (code === resultCode.ResultCode.EndpointLost || this.mayHaveRun) {
      return this.context.fail(failure.unknownOutcome(code, message), 502);
    }
    const seconds = this.context.backOffSeconds ?? NO_INSTANCE_RETRY_SECONDS;
    this.context.refuse(code, message, seconds);
  }

  private get mayHaveRun(): boolean {
    return this.context.sendsThatMayHaveRun > 0;
  }

  private deliver(outcome: plainSend.SendOutcome): void {
    const {response} = this.context;
    const {answer, body} = outcome;
    const {services, call} = this.context;
    if (this.context.isOver || this.context.endIfUnproven(answer!)) {
      return;
    }
    services.metrics.latency.observe(
      {route: call.route.name},
      (performance.now() - call.arrivedAt) / 1000,
    );
    const headers = callerAnswer.wholeAnswerHeaders(
      call.caller.method,
      answer!,
      body!.length,
    );
    if (answer!.status >= 500) {
      this.context.log('instance-failure-delivered', {status: answer!.status});
    }
    response.writeHead(answer!.status, headers);
    this.context.finish(answer!.status >= 500 ? 'instance-failure' : 'served');
    body!.endInto(response);
    if (services.buffers !== undefined && response.writableLength > 0) {
      callerSink.holdUntilEnd(
        services.buffers,
        new callerSink.HeldBytes(this.context, () => response.writableLength),
        response,
      );
    }
  }
}
