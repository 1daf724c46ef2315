/** The error value carried by every fallible operation. */
import * as resultCode from './result_code';

/** A definite answer other than success. */
export interface Failure {
  readonly code: resultCode.ResultCode;
  readonly message: string;
  readonly workState: resultCode.WorkState;
  /** When coming back makes sense, in seconds. */
  readonly retryAfterSeconds?: number;
}

/** Makes a refusal of work that never reached an endpoint. */
export function notRun(
  code: resultCode.ResultCode,
  message: string,
  retryAfterSeconds?: number,
): Failure {
  return {
    code,
    message,
    workState: resultCode.WorkState.NotRun,
    retryAfterSeconds,
  };
}

/** Makes a failure of work that did reach an endpoint. */
export function ran(
  code: resultCode.ResultCode,
  message: string,
  retryAfterSeconds?: number,
): Failure {
  return {
    code,
    message,
    workState: resultCode.WorkState.Ran,
    retryAfterSeconds,
  };
}

/** Makes a failure that leaves open whether the work ran. */
export function unknownOutcome(
  code: resultCode.ResultCode,
  message: string,
  retryAfterSeconds?: number,
): Failure {
  return {
    code,
    message,
    workState: resultCode.WorkState.Unknown,
    retryAfterSeconds,
  };
}
