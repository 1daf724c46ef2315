/** Calls of plain services: the whole answer is collected before any of it is delivered. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as instancePermits from '../common/limits/instance_permits';
import * as placement from '../common/placement';
import * as callContext from './call_context';

const {SendError} = instanceClient;

/** Maximum size of an answer, in bytes; these services send no larger ones. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Minimum time limit for an instance if the call may be retried, in multiples of the route's objective. */
const INSTANCE_TIMEOUT_OBJECTIVES = 2;
/** Share of the remaining time that an instance may use if the call may be retried and this is longer. */
const INSTANCE_TIMEOUT_SHARE = 0.4;
/** Retry delay if no instance accepts the call, in seconds. */
const NO_INSTANCE_RETRY_SECONDS = 0.25;

/** Outcome of one send. */
interface SendOutcome {
  readonly answer?: instanceClient.InstanceResponse;
  readonly body?: Buffer;
  readonly error?: instanceClient.SendError;
}

/** Runs one call of a plain service. */
export class PlainCall {
  private exchange: instanceClient.Exchange | undefined;
  /** Failure answer of an instance, delivered if no other instance succeeds. */
  private lastAnswer: SendOutcome | undefined;

  constructor(private readonly context: callContext.CallContext) {
    context.setDisconnectHandler(() => this.exchange?.cancel());
  }

  async run(): Promise<void> {
    const {context} = this;
    let isFirst = true;
    for (;;) {
      const {choice, shortage} = await this.place();
      if (context.isOver) {
        return;
      }
      if (choice === undefined) {
        if (await context.awaitBackOff()) {
          continue;
        }
        return this.giveUpWithoutInstance(shortage);
      }
      const {instance} = choice;
      const outcome = await this.sendTo(instance);
      if (context.isOver) {
        return;
      }
      const retryReason = this.evaluateOutcome(instance, outcome);
      if (retryReason === undefined || !context.tryAcquireRetry(retryReason)) {
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
          first: isFirst,
        },
        instance,
      );
      isFirst = false;
    }
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

  private async sendTo(instance: instanceTable.Instance): Promise<SendOutcome> {
    const {context} = this;
    context.recordSend();
    instance.openRequests++;
    const exchange = context.send(instance, {
      urgency: undefined,
      lastEventId: undefined,
      continuation: undefined,
      backupAddress: undefined,
    });
    this.exchange = exchange;
    let hasTimedOut = false;
    const timer = setTimeout(
      () => {
        hasTimedOut = true;
        exchange.cancel();
      },
      Math.max(0, context.remainingMilliseconds),
    );
    const sentAt = performance.now();
    const outcome = await collect(exchange);
    clearTimeout(timer);
    instance.openRequests--;
    if (hasTimedOut || isGoodAnswer(outcome)) {
      const now = performance.now();
      context.services.speeds.recordAnswer(instance, now - sentAt, now);
    }
    context.services.metrics.sends.inc({outcome: outcomeLabel(outcome)});
    return hasTimedOut && outcome.error === SendError.Cancelled
      ? {error: SendError.TimedOut}
      : outcome;
  }

  /** Records the outcome; returns why the call may be sent again, or undefined if it may not. */
  private evaluateOutcome(
    instance: instanceTable.Instance,
    outcome: SendOutcome,
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

  /** Records that the instance did not run the request; one that says when to come back is avoided until then anyway. */
  private recordRejection(instance: instanceTable.Instance, now: number): void {
    if (!this.context.isInBackOff(instance)) {
      instanceTable.recordRejection(instance, now);
    }
  }

  /**
   * Time limit for one instance, in milliseconds: if the call may be retried, a
   * silent instance must leave time for another. Not applied at present: `sendTo`
   * waits for all of the remaining time.
   */
  private instanceTimeout(): number {
    const {context} = this;
    const left = Math.max(0, context.remainingMilliseconds);
    const canRepeat =
      context.isRetryable &&
      context.sendsThatMayHaveRun < context.call.route.attempts;
    const first =
      context.call.route.objectiveMilliseconds * INSTANCE_TIMEOUT_OBJECTIVES;
    return canRepeat
      ? Math.min(left, Math.max(first, left * INSTANCE_TIMEOUT_SHARE))
      : left;
  }

  private conclude(
    outcome: SendOutcome,
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

  private deliver(outcome: SendOutcome): void {
    const {response} = this.context;
    const {answer, body} = outcome;
    const {services, call} = this.context;
    if (this.context.isOver) {
      return;
    }
    services.metrics.latency.observe(
      {route: call.route.name},
      (performance.now() - call.arrivedAt) / 1000,
    );
    const headers = [...answer!.passedHeaders];
    if (call.caller.method !== 'HEAD') {
      headers.push('Content-Length', String(body!.length));
    }
    if (answer!.status >= 500) {
      this.context.log('instance-failure-delivered', {status: answer!.status});
    }
    this.context.finish(answer!.status >= 500 ? 'instance-failure' : 'served');
    response.writeHead(answer!.status, headers);
    response.end(body);
  }
}

/** Whether the instance ran the request and did not fail it, so that the time taken says how quick it is. */
function isGoodAnswer({answer}: SendOutcome): boolean {
  return answer !== undefined && !answer.isNotExecuted && answer.status < 500;
}

function outcomeLabel(outcome: SendOutcome): string {
  if (outcome.answer === undefined) {
    return outcome.error ?? 'none';
  }
  return outcome.answer.isNotExecuted
    ? 'rejected'
    : `status-${outcome.answer.status}`;
}

/** Waits for the whole answer. */
async function collect(
  exchange: instanceClient.Exchange,
): Promise<SendOutcome> {
  const result = await exchange.response;
  if (result.isErr()) {
    return {error: result.error};
  }
  const answer = result.value;
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    answer.body.listen({
      onData(chunk) {
        chunks.push(chunk);
        length += chunk.length;
        if (length > MAX_ANSWER_BYTES) {
          exchange.cancel();
        }
      },
      onDidEnd: () => resolve({answer, body: Buffer.concat(chunks)}),
      onDidFail: () => resolve({error: SendError.ConnectionLost}),
    });
  });
}
