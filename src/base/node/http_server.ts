/** HTTP server with path-prefix handlers, body limits and graceful shutdown. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as disposable from '../common/disposable';
import * as failure from '../common/failure';
import * as memoryAccount from '../common/memory_account';
import * as resultCode from '../common/result_code';
import * as blockPool from './block_pool';
import * as bodyStore from './body_store';
import * as connectionGuard from './connection_guard';
import * as limitReporter from './limit_reporter';
import * as refusal from './refusal';

/** Handles the requests under one path prefix. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void | Promise<void>;

const HEADER_LIMIT_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const CONNECTION_CHECK_MILLISECONDS = 1_000;

/** Retry delay of requests for which there is no room, in seconds. */
const REFUSED_RETRY_SECONDS = 1;
/** Memory of a process whose settings name none, in MB. */
const DEFAULT_MEMORY_MEGABYTES = 256;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Shares of the memory. */
const BODY_SHARE = 0.1;
const CONNECTION_SHARE = 0.05;
const KERNEL_SHARE = 0.05;
/** Bodies of the largest size for which there is always room. */
const LARGEST_BODIES = 3;
const MAX_CONNECTIONS = 4_000;

/** Size of a server. */
export interface HttpServerOptions {
  readonly memoryMegabytes?: number;
  /** Largest body that a handler reads. */
  readonly maxBodyBytes?: number;
  readonly limits?: limitReporter.LimitReporter;
}

interface Mount {
  readonly prefix: string;
  readonly handler: RequestHandler;
}

/** Dispatches requests on one address to the mounted handlers. */
export class HttpServer
  implements disposable.Disposable, connectionGuard.ExchangeHandler
{
  /** Bodies of requests. */
  readonly bodies: bodyStore.BodyStore;
  private readonly server: http.Server;
  private readonly guard: connectionGuard.ConnectionGuard;
  private readonly mounts: Mount[] = [];

  constructor({
    memoryMegabytes = DEFAULT_MEMORY_MEGABYTES,
    maxBodyBytes = 0,
    limits,
  }: HttpServerOptions = {}) {
    const bytes = memoryMegabytes * BYTES_PER_MEGABYTE;
    const onDidAct: connectionGuard.LimitListener = (limit, who, usage) =>
      limits?.record(limit, who, usage);
    this.bodies = new bodyStore.BodyStore(
      new memoryAccount.MemoryAccount(
        bodyStore.boundsFor(
          Math.max(bytes * BODY_SHARE, maxBodyBytes * LARGEST_BODIES),
        ),
      ),
      new blockPool.BlockPool(),
      group => limits?.record(limitReporter.ClientLimit.Bodies, group),
    );
    this.server = http.createServer({
      ...connectionGuard.SERVER_OPTIONS,
      maxHeaderSize: HEADER_LIMIT_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
      keepAliveTimeout: 30_000,
      noDelay: true,
    });
    this.guard = new connectionGuard.ConnectionGuard(
      this.server,
      {
        maxConnections: MAX_CONNECTIONS,
        maxBytes: bytes * CONNECTION_SHARE,
        maxKernelBytes: bytes * KERNEL_SHARE,
      },
      this,
      onDidAct,
    );
    this.server.on('clientError', (error, socket) =>
      this.answerMalformed(error, socket as net.Socket),
    );
  }

  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    void this.dispatch(request, response);
  }

  refuse(_: http.IncomingMessage, response: http.ServerResponse): void {
    sendFailure(
      response,
      failure.notRun(
        resultCode.ResultCode.Overloaded,
        'this process holds as many requests as it can',
        REFUSED_RETRY_SECONDS,
      ),
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
    this.guard.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private answerMalformed(
    error: NodeJS.ErrnoException,
    socket: net.Socket,
  ): void {
    // The request waits for the answer to an earlier one, and is not read on until then.
    if (
      error.code === 'ERR_HTTP_REQUEST_TIMEOUT' &&
      this.guard.hasWaitingRequests(socket)
    ) {
      return;
    }
    if (!socket.writable || socket.bytesWritten > 0) {
      socket.destroy();
      return;
    }
    refusal.endWithFailure(socket, refusal.parserFailure(error.code));
  }

  private async dispatch(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    // Lets the parser finish with what has arrived, so that a whole request is known to be whole.
    await Promise.resolve();
    if (response.destroyed) {
      return;
    }
    if (request.httpVersion === '1.1' && request.headers.host === undefined) {
      return sendFailure(
        response,
        failure.notRun(resultCode.ResultCode.MalformedRequest, 'host: missing'),
      );
    }
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

/** Sends an error response; if the headers were already sent, only closes the connection. A request that has not arrived whole is the last one of its connection. */
export function sendFailure(
  response: http.ServerResponse,
  cause: failure.Failure,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  if (!response.req.complete) {
    return refusal.refuseUnread(response.req, response, cause);
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
    refusal.failureBody(cause),
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

/** Returns the bearer token of the Authorization header. */
export function bearerToken(request: http.IncomingMessage): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? '');
  return match?.[1];
}
