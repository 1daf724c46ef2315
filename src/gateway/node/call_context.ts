/** One request of a caller on its way through the gateway. */
import * as http from 'node:http';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as callerAnswer from './caller_answer';
import * as gatewayServices from './gateway_services';

/** Sends of one attempt that instances reject or never receive, at most. */
const MAX_REJECTED_SENDS = 4;

/** A request with everything that was decided before it is sent. */
export interface AcceptedCall {
  readonly caller: instanceClient.CallerRequest;
  readonly body: Buffer;
  readonly route: configuration.Route;
  readonly endpoint: configuration.Endpoint | undefined;
  /** Name of the endpoint, also when the configuration does not describe it. */
  readonly endpointName: string;
  readonly customer: configuration.Customer | undefined;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds at which the caller has its final answer. */
  readonly deadlineAt: number;
  readonly fingerprint: string;
  readonly configurationVersion: number;
}

/** Why and how a call may be sent once more. */
export enum RetryReason {
  /** The instance surely did not run the request. */
  NotRun = 'not-run',
  /** The request may have run and may run again. */
  MayHaveRun = 'may-have-run',
}

/** State and steps that calls of all kinds have in common. */
export class CallContext {
  readonly excluded = new Set<string>();
  private possibleRuns = 0;
  private rejectedSends = 0;
  private isFinished = false;
  private onDisconnect: () => void = () => undefined;
  /** Monotonic milliseconds at which this process has to have answered. */
  private answerDeadlineAt = Infinity;

  constructor(
    readonly services: gatewayServices.GatewayServices,
    readonly call: AcceptedCall,
    readonly response: http.ServerResponse,
  ) {
    services.metrics.openRequests.inc();
    response.once('close', () => {
      const isGone = !this.isFinished;
      this.finish(isGone ? 'caller-gone' : 'answered');
      if (isGone) {
        this.onDisconnect();
      }
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

  /** Ends the call at the time, also if its caller would wait longer. */
  setAnswerDeadline(answerDeadlineAt: number): void {
    this.answerDeadlineAt = answerDeadlineAt;
  }

  /** Calls back once when the caller leaves before its answer. */
  setDisconnectHandler(action: () => void): void {
    this.onDisconnect = action;
  }

  get isRetryable(): boolean {
    const {route} = this.call;
    return (
      route.kind === configuration.RequestKind.Idempotent || route.isResumable
    );
  }

  /** Sends without proof that the instance did not run them. */
  get sendsThatMayHaveRun(): number {
    return this.possibleRuns;
  }

  /** Notes a send that an instance may run. */
  noteSend(): void {
    this.possibleRuns++;
  }

  /** Whether the call may be sent to another instance; takes it from the shared budget. */
  takeRetry(why: RetryReason): boolean {
    if (why === RetryReason.NotRun) {
      this.possibleRuns--;
      this.rejectedSends++;
    }
    const isAllowed =
      why === RetryReason.NotRun
        ? this.rejectedSends < MAX_REJECTED_SENDS
        : this.isRetryable && this.possibleRuns < this.call.route.attempts;
    const now = performance.now();
    return (
      isAllowed &&
      !this.isOver &&
      this.services.retries.spend(
        this.call.endpointName,
        this.services.peers.gatewayCount(),
        now,
      )
    );
  }

  /** Holds the loss of an instance against the request, unless the instance was about to leave. */
  noteCrash(instance: instanceTable.Instance): void {
    const {id, startedAt} = instance.record;
    this.services.crashes.note(
      {fingerprint: this.call.fingerprint, life: `${id}/${startedAt}`},
      performance.now(),
    );
  }

  /** Logs one decision about this call. */
  log(
    event: string,
    fields: Readonly<Record<string, unknown>>,
    instance?: instanceTable.Instance,
  ): void {
    const {call} = this;
    this.services.log.write(event, {
      request: call.caller.attemptId,
      route: call.route.name,
      instance: instance?.record.id,
      age_ms: Math.round(performance.now() - call.arrivedAt),
      left_ms: Math.round(this.remainingMilliseconds),
      configuration: call.configurationVersion,
      ...fields,
    });
  }

  /** Answers that nothing ran and when to come back. */
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

  /** Ends a started answer visibly incomplete. */
  abortStream(reason: string): void {
    if (this.isOver) {
      return;
    }
    this.log('stream-broken-off', {reason});
    this.finish('broken-off');
    this.response.destroy();
  }

  /** Notes the outcome; only the first counts. */
  finish(outcome: string): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    const {metrics} = this.services;
    metrics.openRequests.dec();
    metrics.requests.inc({route: this.call.route.name, outcome});
    if (outcome === 'caller-gone') {
      this.log('caller-gone', {});
    }
  }
}
