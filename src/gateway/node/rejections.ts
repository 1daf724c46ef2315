/** Rejections of requests before they become calls. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as callerAnswer from './caller_answer';

/** Why a request is rejected. */
export class Rejection {
  constructor(readonly failure: failure.Failure) {}
}

/** Bounds the retry delay by the time that the caller waits. */
export function withinDeadline(
  cause: failure.Failure,
  waitMilliseconds = Infinity,
): failure.Failure {
  const seconds = cause.retryAfterSeconds;
  return seconds === undefined
    ? cause
    : failure.notRun(
        cause.code,
        cause.message,
        callerAnswer.retryAfter(seconds, waitMilliseconds, Math.random()),
      );
}

/** Creates a rejection of a request that was not run. */
export function create(
  code: resultCode.ResultCode,
  message: string,
  retryAfterSeconds?: number,
): Rejection {
  return new Rejection(failure.notRun(code, message, retryAfterSeconds));
}
