/** HTTP server with path-prefix handlers, body limits and graceful shutdown. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as neverthrow from 'neverthrow';
import * as disposable from '../common/disposable';
import * as failure from '../common/failure';
import * as resultCode from '../common/result_code';

/** Handles the requests under one path prefix. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void | Promise<void>;

const HEADER_LIMIT_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const CONNECTION_CHECK_MILLISECONDS = 1_000;

interface Mount {
  readonly prefix: string;
  readonly handler: RequestHandler;
}

/** Dispatches requests on one address to the mounted handlers. */
export class HttpServer implements disposable.Disposable {
  private readonly server: http.Server;
  private readonly mounts: Mount[] = [];

  constructor() {
    this.server = http.createServer({
      maxHeaderSize: HEADER_LIMIT_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
      keepAliveTimeout: 30_000,
      noDelay: true,
    });
    this.server.on(
      'request',
      (request, response) => void this.dispatch(request, response),
    );
    this.server.on('clientError', (error, socket) =>
      sendClientError(error, socket as net.Socket),
    );
  }

  /** Routes requests whose path starts with the prefix; the longest prefix wins. */
  mount(prefix: string, handler: RequestHandler): void {
    this.mounts.push({prefix, handler});
    this.mounts.sort((left, right) => right.prefix.length - left.prefix.length);
  }

  /** Binds and resolves with the address, including the port that was assigned. Rejects when the address cannot be bound. */
  listen(address: string): Promise<string> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve(`${host}:${(this.server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Stops accepting connections; resolves when every open request has ended. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes every connection immediately. */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async dispatch(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? '/').split('?', 1)[0];
    const mount = this.mounts.find(candidate =>
      path.startsWith(candidate.prefix),
    );
    if (mount === undefined) {
      return sendFailure(
        response,
        failure.notRun(
          resultCode.ResultCode.UnknownPath,
          `no resource at ${path}`,
        ),
      );
    }
    try {
      await mount.handler(request, response);
    } catch (error) {
      sendFailure(
        response,
        failure.unknownOutcome(resultCode.ResultCode.Internal, String(error)),
      );
    }
  }
}

function sendClientError(
  error: NodeJS.ErrnoException,
  socket: net.Socket,
): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const code = clientErrorCode(error.code);
  const cause = failure.notRun(code, resultCode.describeResult(code).meaning);
  const body = JSON.stringify(failureBody(cause));
  const status = resultCode.describeResult(code).httpStatus;
  const head = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Rhubarbvane-Result: ${code}`,
    `Rhubarbvane-Work: ${cause.workState}`,
    'Connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

function clientErrorCode(code: string | undefined): resultCode.ResultCode {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return resultCode.ResultCode.HeadersTooLarge;
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return resultCode.ResultCode.RequestTimeout;
  }
  return resultCode.ResultCode.MalformedRequest;
}

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

/** Sends an error response; if the headers were already sent, only closes the connection. */
export function sendFailure(
  response: http.ServerResponse,
  cause: failure.Failure,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const headers: http.OutgoingHttpHeaders = {
    'Rhubarbvane-Result': String(cause.code),
    'Rhubarbvane-Work': cause.workState,
  };
  if (cause.retryAfterSeconds !== undefined) {
    headers['Retry-After'] = String(
      Math.max(1, Math.ceil(cause.retryAfterSeconds)),
    );
  }
  sendJson(
    response,
    resultCode.describeResult(cause.code).httpStatus,
    failureBody(cause),
    headers,
  );
}

/** Sends a JSON response. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Reads a request body up to a limit. Errors: BodyTooLarge, MalformedRequest for a truncated body. */
export function readBody(
  request: http.IncomingMessage,
  limitBytes: number,
): Promise<neverthrow.Result<Buffer, failure.Failure>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const refuse = (code: resultCode.ResultCode, message: string) =>
      resolve(neverthrow.err(failure.notRun(code, message)));
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > limitBytes) {
        refuse(
          resultCode.ResultCode.BodyTooLarge,
          `body: over ${limitBytes} bytes`,
        );
        request.pause();
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(neverthrow.ok(Buffer.concat(chunks))));
    request.once('error', () =>
      refuse(resultCode.ResultCode.MalformedRequest, 'body: ended early'),
    );
    request.once('close', () =>
      refuse(resultCode.ResultCode.MalformedRequest, 'body: ended early'),
    );
  });
}

/** Returns the bearer token of the Authorization header. */
export function bearerToken(request: http.IncomingMessage): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? '');
  return match?.[1];
}
