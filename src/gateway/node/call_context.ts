/** One request of a caller while the gateway processes it. */
import * as http from 'node:http';
import * as deadline from '../../base/common/deadline';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as bodyStore from '../../base/node/body_store';
import * as limitReporter from '../../base/node/limit_reporter';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as limitedSend from '../common/limits/limited_send';
import * as bodyUse from './body_use';
import * as callerAnswer from './caller_answer';
import * as gatewayServices from './gateway_services';
import * as poisonReason from './poison_reason';
import * as repeatCharges from './repeat_charges';

const {LimitedSend} = limitedSend;
/** Maximum number of sends of one attempt that instances reject or never receive. */
const MAX_REJECTED_SENDS = 4;

/** Share of the objective for which a call waits for an instance in back-off; the rest is for its answer. */
const BACK_OFF_WAIT_SHARE = 0.9;

/** Minimum retry delay if the instances take no more requests, in seconds. */
const MIN_LIMIT_RETRY_SECONDS = 0.25;

/** A request with everything that is resolved before it is sent. */
export interface AcceptedCall {
  readonly caller: instanceClient.CallerRequest;
  readonly body: bodyStore.HeldBody;
  readonly route: configuration.Route;
  readonly endpoint: configuration.Endpoint | undefined;
  /** Name of the endpoint, set even if the configuration does not describe it. */
  readonly endpointName: string;
  readonly customer: configuration.Customer | undefined;
  /** Where the request may go. */
  readonly scope: instanceAvailability.AvailabilityRequest;
  /** Monotonic time, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which the caller must have its final answer, in milliseconds. */
  readonly deadlineAt: number;
  readonly fingerprint: string;
  readonly configurationVersion: number;
}

/** What differs between the sends of one call. */
export type SendOptions = Pick<
  instanceClient.InstanceRequest,
  'urgency' | 'lastEventId' | 'continuation' | 'backupAddress'
>;

/** Why a call may be sent again. */
export enum RetryReason {
  /** The instance certainly did not run the request. */
  NotRun = 'not-run',
  /** The request may have run and may run again. */
  MayHaveRun = 'may-have-run',
}

/** State and operations shared by calls of all kinds. */
export class CallContext {
  readonly excluded = new Set<string>();
  /** Repeated sends and the retry budget. */
  readonly repeats: repeatCharges.RepeatCharges;
  /** Version of the software that began the stream; undefined before its first event. */
  softwareVersion: string | undefined;
  /** Addresses to which the call was sent. */
  private readonly sentTo = new Set<string>();
  private possibleRuns = 0;
  private rejectedSends = 0;
  private isFinished = false;
  private readonly bodyUse: bodyUse.BodyUse;
  /** Cancels what is under way at instances. */
  cancelSends: () => void = () => undefined;
  private endBeforeShutdown: () => boolean = () => false;
  /** Monotonic time by which this process must have answered, in milliseconds. */
  private answerDeadlineAt = Infinity;

  constructor(
    readonly services: gatewayServices.GatewayServices,
    readonly call: AcceptedCall,
    readonly response: http.ServerResponse,
  ) {
    this.bodyUse = new bodyUse.BodyUse(call.body);
    this.repeats = new repeatCharges.RepeatCharges(services, call.endpointName);
    services.metrics.openRequests.inc();
    response.once('close', () => {
      const isGone = !this.isFinished;
      this.finish(isGone ? 'caller-gone' : 'answered');
      if (isGone) {
        this.cancelSends();
      }
      this.bodyUse.endCall();
    });
  }

  /** Whether the caller's connection is gone or the call was answered. */
  get isOver(): boolean {
    return this.isFinished || this.response.destroyed;
  }

  get remainingMilliseconds(): number {
    const answerDeadlineAt = Math.min(
      this.call.deadlineAt,
      this.answerDeadlineAt,
    );
    return answerDeadlineAt - performance.now();
  }

  /** Sets a monotonic time by which the call ends even if its caller would wait longer. */
  setAnswerDeadline(answerDeadlineAt: number): void {
    this.answerDeadlineAt = answerDeadlineAt;
  }

  /** Sets a handler that is called once if the caller disconnects before it is answered. */
  setDisconnectHandler(action: () => void): void {
    this.cancelSends = action;
  }

  /** Sets a check that refuses a call that was not sent yet and would not end before this process does. */
  setShutdownCheck(check: () => boolean): void {
    this.endBeforeShutdown = check;
  }

  /** Ends the call if this process is shutting down and the call could be cut off; returns whether it has ended. */
  endIfTooLate(): boolean {
    return this.possibleRuns === 0 && this.endBeforeShutdown();
  }

  get isRetryable(): boolean {
    return configuration.isRetryable(this.call.route);
  }

  /** Number of sends without proof that the instance did not run them. */
  get sendsThatMayHaveRun(): number {
    return this.possibleRuns;
  }

  /** Records a send that an instance may run. */
  recordSend(): void {
    this.possibleRuns++;
  }

  /** Sends the request to the instance, and records what its answer says of the instance. */
  send(
    instance: instanceTable.Instance,
    options: SendOptions,
  ): instanceClient.Exchange {
    const {services, call} = this;
    const life = instanceTable.lifeOf(instance.record);
    const sentAt = performance.now();
    if (services.limits.get(life) !== undefined) {
      services.limitUsage.record(life, LimitedSend.Sent);
      if (this.repeats.hasSent) {
        services.limitUsage.record(life, LimitedSend.Repeated);
      }
    }
    this.repeats.recordSend(options.continuation !== undefined);
    const {address} = instance.record;
    const isSentAgain = this.sentTo.has(address);
    this.sentTo.add(address);
    const exchange = services.client.send(instance, {
      caller: call.caller,
      body: this.bodyUse.chunks,
      remainingMilliseconds: this.remainingMilliseconds,
      isSentAgain,
      customer: call.customer?.name,
      ...options,
    });
    this.bodyUse.keepFor(exchange);
    void exchange.response.then(result => {
      if (result.isOk()) {
        services.answers.record(
          instance,
          result.value,
          sentAt,
          (event, fields) => this.log(event, fields, instance),
        );
      } else if (instanceClient.wasNeverSent(result.error)) {
        this.repeats.recordNeverSent();
      }
    });
    return exchange;
  }

  /** Monotonic milliseconds from which an instance in back-off may take the call; undefined if none is in back-off. */
  backOffEnd(now: number): number | undefined {
    const {availability, follower} = this.services;
    const {endpointName, scope} = this.call;
    const instances = follower.instances.forEndpoint(endpointName);
    return availability.backOffEnd(instances, scope, now);
  }

  /** Time until the first instance in back-off may take the call, in seconds; undefined if none is in back-off. */
  get backOffSeconds(): number | undefined {
    const now = performance.now();
    const endsAt = this.backOffEnd(now);
    return endsAt === undefined ? undefined : Math.max(0, endsAt - now) / 1000;
  }

  /** Latest end of a back-off for which the call waits, in monotonic milliseconds. */
  get latestBackOffEnd(): number {
    const {arrivedAt, route, deadlineAt} = this.call;
    const patience = route.objectiveMilliseconds * BACK_OFF_WAIT_SHARE;
    return Math.min(arrivedAt + patience, deadlineAt);
  }

  /**
   * Waits until an instance that was in back-off at `chosenAt`, the monotonic
   * time of a choice without result, may take the call; returns whether there is
   * one by the latest time.
   */
  async awaitBackOff(
    chosenAt: number,
    latest = this.latestBackOffEnd,
  ): Promise<boolean> {
    const endsAt = this.backOffEnd(chosenAt);
    if (endsAt === undefined || endsAt > latest) {
      return false;
    }
    await deadline.delay(Math.max(1, endsAt - performance.now()));
    return !this.isOver;
  }

  /** Whether the instance asked this gateway to send it nothing now. */
  isInBackOff({record}: instanceTable.Instance): boolean {
    const life = instanceTable.lifeOf(record);
    return this.services.backOffs.isActive(life, performance.now());
  }

  /** Records that the instance of a send certainly did not run the request. */
  recordNotRun(): void {
    this.possibleRuns--;
    this.rejectedSends++;
  }

  /** Accounts for a failed send. Returns whether the call may be sent to another instance; the send itself is charged to `repeats`. */
  mayRepeat(reason: RetryReason): boolean {
    if (reason === RetryReason.NotRun) {
      this.recordNotRun();
    }
    const isAllowed =
      reason === RetryReason.NotRun
        ? this.rejectedSends < MAX_REJECTED_SENDS
        : this.isRetryable && this.possibleRuns < this.call.route.attempts;
    return isAllowed && !this.isOver && this.repeats.isAvailable();
  }

  /** Records the loss of an instance as caused by the request; not to be called for an instance that was about to leave. */
  recordCrash(instance: instanceTable.Instance): void {
    const {fingerprint} = this.call;
    const life = instanceTable.lifeOf(instance.record);
    this.services.crashes.addOwn({fingerprint, life}, performance.now());
  }

  /** Ends the call if its request, or a part of its prompt, crashed the instances that ran it. Returns whether it has ended. */
  endIfPoisoned(): boolean {
    const reason = poisonReason.findPoisonReason(
      this.services,
      this.call,
      performance.now(),
    );
    if (reason === undefined) {
      return false;
    }
    const {PoisonRequest} = resultCode.ResultCode;
    this.endWithoutSend(PoisonRequest, reason, Infinity);
    return true;
  }

  /** Ends the call in place of a further send. */
  endWithoutSend(
    code: resultCode.ResultCode,
    message: string,
    retryAfterSeconds: number,
  ): void {
    if (this.possibleRuns === 0) {
      this.refuse(code, message, retryAfterSeconds);
    } else {
      this.fail(failure.unknownOutcome(code, message), 502);
    }
  }

  /** Logs one decision about this call. */
  log(
    event: string,
    fields: Readonly<Record<string, unknown>>,
    instance?: instanceTable.Instance,
    isImportant = false,
  ): void {
    const {call} = this;
    const context = {
      request: call.caller.attemptId,
      route: call.route.name,
      instance: instance?.record.id,
      age_ms: Math.round(performance.now() - call.arrivedAt),
      left_ms: Math.round(this.remainingMilliseconds),
      configuration: call.configurationVersion,
    };
    this.services.log.write(event, {...context, ...fields}, isImportant);
  }

  /** Answers that nothing was run and when to retry. */
  refuse(
    code: resultCode.ResultCode,
    message: string,
    retryAfterSeconds: number,
  ): void {
    const seconds = callerAnswer.retryAfter(
      retryAfterSeconds,
      this.remainingMilliseconds,
      Math.random(),
    );
    this.fail(failure.notRun(code, message, seconds), 503);
  }

  /** Refuses the call because all instances take no more requests until the monotonic time. */
  refuseForLimits(retryAt: number): void {
    const waitMilliseconds = retryAt - performance.now();
    this.refuse(
      resultCode.ResultCode.Overloaded,
      'the instances take no more requests than they get',
      Math.max(MIN_LIMIT_RETRY_SECONDS, waitMilliseconds / 1000),
    );
  }

  /** Answers with a failure of this gateway. */
  fail(cause: failure.Failure, status?: number): void {
    if (this.isOver) {
      return;
    }
    this.log('call-failed', {
      result: resultCode.ResultCode[cause.code],
      work: cause.workState,
      reason: cause.message,
      retry_after_s: cause.retryAfterSeconds,
    });
    this.finish(resultCode.ResultCode[cause.code]);
    callerAnswer.answerFailure(this.response, cause, status);
  }

  /**
   * Fails the call if the status of the instance's answer would promise that
   * the request did not run, which the instance did not state; returns whether
   * the call has ended. Calls that may run again get the answer as it is.
   */
  endIfUnproven(answer: instanceClient.InstanceResponse): boolean {
    const {promisesNotRun, isNotExecuted, status} = answer;
    if (!promisesNotRun || isNotExecuted || this.isRetryable) {
      return false;
    }
    const message = `the instance answered ${status}, but not that the request did not run`;
    const {EndpointLost} = resultCode.ResultCode;
    this.fail(failure.unknownOutcome(EndpointLost, message), 502);
    return true;
  }

  /** Aborts a started answer, so that the caller sees that it is incomplete. */
  abortStream(reason: string): void {
    if (this.isOver) {
      return;
    }
    this.log('stream-broken-off', {reason});
    this.finish('broken-off');
    callerAnswer.abortAnswer(this.response);
  }

  /** Resets the caller's connection because too many bytes are held for it, and cancels the call if it still runs. */
  cutOff(heldBytes: number): void {
    const isRunning = !this.isFinished;
    this.log('slow-reader-cut', {held_bytes: heldBytes});
    this.services.metrics.slowReaderCuts.inc();
    this.finish('broken-off');
    // An orderly close could leave the answer in the kernel's buffers and mark its end.
    this.response.socket?.resetAndDestroy();
    this.response.destroy();
    if (isRunning) {
      this.cancelSends();
    }
  }

  /** Records the outcome; only the first one counts. */
  finish(outcome: string): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    const {metrics} = this.services;
    metrics.openRequests.dec();
    metrics.requests.inc({route: this.call.route.name, outcome});
    if (outcome === 'caller-gone') {
      const limit = limitReporter.limitThatClosed(this.response.req?.socket);
      this.log('caller-gone', {limit});
    }
  }
}
