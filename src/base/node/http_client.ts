/** HTTP requests over node:http with time limits. */
import * as http from 'node:http';
import * as deadline from '../common/deadline';

/** Parameters of a request. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly timeoutMilliseconds: number;
  readonly agent?: http.Agent;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Default agent, which reuses connections. */
export const sharedAgent = new http.Agent({
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
    const expire = () =>
      request.destroy(new deadline.DeadlineError(call.timeoutMilliseconds));
    const timer = setTimeout(expire, call.timeoutMilliseconds);
    request.once('response', response => {
      clearTimeout(timer);
      resolve(response);
    });
    request.once('error', error => {
      clearTimeout(timer);
      reject(error);
    });
    request.end(call.body);
  });
}

/** Sends a request and reads the complete response within the time limit. */
export async function callHttp(call: HttpRequest): Promise<HttpResponse> {
  const startedAt = performance.now();
  const response = await openHttp(call);
  const remainingMilliseconds = Math.max(
    1,
    call.timeoutMilliseconds - (performance.now() - startedAt),
  );
  const body = await readBody(response, remainingMilliseconds);
  return {status: response.statusCode ?? 0, headers: response.headers, body};
}

function readBody(
  response: http.IncomingMessage,
  milliseconds: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    const timer = setTimeout(
      () => response.destroy(new deadline.DeadlineError(milliseconds)),
      milliseconds,
    );
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.once('end', () => resolve(Buffer.concat(chunks)));
    response.once('error', reject);
    response.once('close', () => {
      clearTimeout(timer);
      reject(
        new Error('the connection closed before the response was complete'),
      );
    });
  });
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
