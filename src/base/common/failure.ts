/** Error value of fallible operations. */
import * as resultCode from './result_code';

/** Why an operation did not succeed, and whether its work ran. */
export interface Failure {
  readonly code: resultCode.ResultCode;
  readonly message: string;
  readonly workState: resultCode.WorkState;
  /** Time after which a retry makes sense, in seconds. */
  readonly retryAfterSeconds?: number;
}

/** Creates a failure of work that never reached an endpoint. */
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

/** Creates a failure of work that reached an endpoint. */
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

/** Creates a failure for which it is unknown whether the work ran. */
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
