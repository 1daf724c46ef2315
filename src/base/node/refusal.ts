/** Refuses requests that were not read whole, and connections that send no valid requests. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as failure from '../common/failure';
import * as resultCode from '../common/result_code';

/** Time for which the rest of a refused request is read and dropped, in milliseconds; a close at once could keep its sender from reading the refusal. */
const LINGER_MILLISECONDS = 1_000;

/** Body of an error response, in the format that callers of completions APIs expect. */
export interface FailureBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: number;
    readonly work: resultCode.WorkState;
    readonly retry_after_seconds?: number;
  };
}

/** Creates the body of an error response. */
export function failureBody(cause: failure.Failure): FailureBody {
  return {
    error: {
      message: cause.message,
      type: resultCode.ResultCode[cause.code],
      code: cause.code,
      work: cause.workState,
      retry_after_seconds: cause.retryAfterSeconds,
    },
  };
}

/** Answers a request that has not arrived whole, drops the rest of it for some time, and closes the connection. */
export function refuseUnread(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  cause: failure.Failure,
): void {
  const {socket} = request;
  if (response.headersSent || response.destroyed || !socket.writable) {
    response.destroy();
    return;
  }
  request.on('error', () => undefined);
  request.resume();
  endWithFailure(socket, cause);
}

/** Writes a failure as the last answer on a connection, and closes it when its peer has read the answer or some time has passed. */
export function endWithFailure(
  socket: net.Socket,
  cause: failure.Failure,
): void {
  const {httpStatus} = resultCode.describeResult(cause.code);
  const body = JSON.stringify(failureBody(cause));
  const head = [
    `HTTP/1.1 ${httpStatus} ${http.STATUS_CODES[httpStatus]}`,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Rhubarbvane-Result: ${cause.code}`,
    `Rhubarbvane-Work: ${cause.workState}`,
    'Connection: close',
  ];
  if (cause.retryAfterSeconds !== undefined) {
    head.push(`Retry-After: ${cause.retryAfterSeconds.toFixed(2)}`);
  }
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  const timer = setTimeout(() => socket.resetAndDestroy(), LINGER_MILLISECONDS);
  timer.unref();
  socket.once('close', () => clearTimeout(timer));
}

/** Failure of a request that could not be parsed. */
export function parserFailure(code: string | undefined): failure.Failure {
  const result = codeOfParserError(code);
  return failure.notRun(result, resultCode.describeResult(result).meaning);
}

function codeOfParserError(code: string | undefined): resultCode.ResultCode {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return resultCode.ResultCode.HeadersTooLarge;
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return resultCode.ResultCode.RequestTimeout;
  }
  return resultCode.ResultCode.MalformedRequest;
}
