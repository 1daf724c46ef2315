/** HTTP requests over node:http with time limits. */
import * as http from 'node:http';
import * as deadline from '../common/deadline';
import * as boundedBody from './bounded_body';
import * as clientAgent from './client_agent';
import * as finalAnswer from './final_answer';
import * as responseGuard from './response_guard';

/** Maximum size of a response that is read as a whole, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 67_108_864;

/** Parameters of a request. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly timeoutMilliseconds: number;
  /** Maximum time until the headers and between two parts of a response that is read as a whole; the timeout if not given. */
  readonly maxPauseMilliseconds?: number;
  /** Maximum size of a response that is read as a whole; 64 MiB if not given. */
  readonly maxBodyBytes?: number;
  readonly agent?: http.Agent;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Default agent, which reuses connections. */
export const sharedAgent = new clientAgent.ClientAgent({
  keepAlive: true,
  maxSockets: 64,
  timeout: 60_000,
});

/** Sends a request and resolves with the response once its headers arrived. Rejects on connection errors, and with DeadlineError after the time limit. */
export function openHttp(call: HttpRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const request = http.request(call.url, {
      method: call.method,
      headers: call.headers,
      agent: call.agent ?? sharedAgent,
    });
    responseGuard.guard(request);
    const expire = () =>
      request.destroy(new deadline.DeadlineError(call.timeoutMilliseconds));
    const timer = setTimeout(expire, call.timeoutMilliseconds);
    let hasResponse = false;
    request.once('response', response => {
      clearTimeout(timer);
      hasResponse = true;
      if (finalAnswer.isFinalAnswer(response)) {
        resolve(response);
        return;
      }
      const {statusCode, httpVersion} = response;
      request.destroy();
      reject(
        new Error(
          `the response is none in HTTP/1 (version ${httpVersion}, status ${statusCode})`,
        ),
      );
    });
    request.once('error', error => {
      clearTimeout(timer);
      reject(error);
    });
    // No error precedes it if the server switches protocols.
    request.once('close', () => {
      clearTimeout(timer);
      if (!hasResponse) {
        reject(new Error('the connection was closed without a response'));
      }
    });
    request.end(call.body);
  });
}

/** Sends a request and reads the complete response within the time limit. */
export async function callHttp(call: HttpRequest): Promise<HttpResponse> {
  const startedAt = performance.now();
  const {timeoutMilliseconds} = call;
  const pause = Math.min(
    timeoutMilliseconds,
    call.maxPauseMilliseconds ?? timeoutMilliseconds,
  );
  const response = await openHttp({...call, timeoutMilliseconds: pause});
  const remainingMilliseconds = Math.max(
    1,
    timeoutMilliseconds - (performance.now() - startedAt),
  );
  const body = await readBody(
    response,
    remainingMilliseconds,
    pause,
    call.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
  );
  return {status: response.statusCode ?? 0, headers: response.headers, body};
}

async function readBody(
  response: http.IncomingMessage,
  milliseconds: number,
  pauseMilliseconds: number,
  maxBytes: number,
): Promise<Buffer> {
  let hasExpired = false;
  const expire = () => {
    hasExpired = true;
    response.destroy();
  };
  const timer = setTimeout(expire, milliseconds);
  const pauseTimer = setTimeout(expire, pauseMilliseconds);
  response.on('data', () => pauseTimer.refresh());
  const body = await boundedBody.collect(response, maxBytes);
  clearTimeout(timer);
  clearTimeout(pauseTimer);
  if (hasExpired) {
    throw new deadline.DeadlineError(milliseconds);
  }
  if (body === undefined) {
    throw new Error(`the response ended early or exceeds ${maxBytes} bytes`);
  }
  return body;
}

const CONNECT_ERRORS: readonly (string | undefined)[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
];

/**
 * Whether the error proves that the request was never sent. The same error
 * codes can also occur on an open connection after the request was sent, so
 * only a failed connect is proof.
 */
export function neverSent(error: unknown): boolean {
  const {code, syscall} = error as NodeJS.ErrnoException;
  return syscall === 'connect' && CONNECT_ERRORS.includes(code);
}
