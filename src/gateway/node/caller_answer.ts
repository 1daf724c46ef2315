/** Writes answers to callers. */
import * as http from 'node:http';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as refusal from '../../base/node/refusal';
import * as instanceClient from '../common/instance_client';

/** Statuses of answers that have no body and may be given no length (RFC 9110, sections 8.6 and 15.4.5). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Maximum share of a caller's remaining time that it is asked to wait. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Minimum retry delay, in seconds. */
const MIN_RETRY_AFTER_SECONDS = 0.05;

/**
 * Maximum share by which the delay is extended at random, so that callers do not
 * retry at the same time. The jitter does not shorten the delay: a caller that
 * retries too early is refused again.
 */
const RETRY_AFTER_JITTER = 0.5;

/** Retry delay that a caller is asked to keep, in seconds; `draw` is a random number between 0 and 1. */
export function retryAfter(
  seconds: number,
  remainingMilliseconds: number,
  draw: number,
): number {
  const longest = (remainingMilliseconds / 1000) * MAX_RETRY_AFTER_SHARE;
  const jittered = seconds * (1 + RETRY_AFTER_JITTER * draw);
  return Math.max(MIN_RETRY_AFTER_SECONDS, Math.min(jittered, longest));
}

/** Headers of an instance's answer whose whole body is known. */
export function wholeAnswerHeaders(
  method: string,
  {status, passedHeaders}: instanceClient.InstanceResponse,
  length: number,
): string[] {
  const hasLength = method !== 'HEAD' && !BODILESS_STATUSES.has(status);
  return hasLength
    ? [...passedHeaders, 'Content-Length', String(length)]
    : [...passedHeaders];
}

/** Answers with a failure of this gateway. Statuses that promise that nothing was run are used only for work that did not run. */
export function answerFailure(
  response: http.ServerResponse,
  cause: failure.Failure,
  status = statusOf(cause),
): void {
  if (response.headersSent || response.destroyed) {
    return abortAnswer(response);
  }
  const body = JSON.stringify(refusal.failureBody(cause));
  const headers: http.OutgoingHttpHeaders = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    'Rhubarbvane-Result': String(cause.code),
    'Rhubarbvane-Work': cause.workState,
  };
  if (cause.retryAfterSeconds !== undefined) {
    headers['Retry-After'] = cause.retryAfterSeconds.toFixed(2);
  }
  response.writeHead(status, headers).end(body);
}

/** Refuses a request that did not run and may not have arrived whole. */
export function refuse(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  cause: failure.Failure,
): void {
  if (request.complete) {
    return answerFailure(response, cause);
  }
  refusal.refuseUnread(request, response, cause);
}

/** Ends a started answer so that its caller sees that it is incomplete. */
export function abortAnswer(response: http.ServerResponse): void {
  // Without chunks an orderly close would mark the end of the answer.
  if (response.headersSent && !response.chunkedEncoding) {
    response.socket?.resetAndDestroy();
  }
  response.destroy();
}

function statusOf(cause: failure.Failure): number {
  const {httpStatus} = resultCode.describeResult(cause.code);
  const promisesNotRun = [408, 421, 429, 503].includes(httpStatus);
  const isKnownNotRun = cause.workState === resultCode.WorkState.NotRun;
  return promisesNotRun && !isKnownNotRun ? 502 : httpStatus;
}
