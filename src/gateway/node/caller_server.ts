/** The HTTP server that callers connect to. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as connectionGuard from '../../base/node/connection_guard';
import * as jsonLog from '../../base/node/json_log';
import * as limitReporter from '../../base/node/limit_reporter';
import * as configuration from '../common/configuration';
import * as refusal from '../../base/node/refusal';
import * as callerAnswer from './caller_answer';

/** Maximum size of headers that are parsed before the first configuration, in bytes. */
const INITIAL_HEADER_BYTES = 65_536;
/** Bytes parsed beyond the configured limit, so that a request that exceeds it a little is refused by name. */
const HEADER_MARGIN_BYTES = 1_024;
/** Time added to the configured limits, so that a caller within them is not disconnected, in milliseconds. */
const LIMIT_MARGIN_MILLISECONDS = 1_000;
/** Time within which a whole request must arrive, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const CHECK_INTERVAL_MILLISECONDS = 500;
/** Idle timeout of connections before the first configuration, in milliseconds. */
const INITIAL_IDLE_MILLISECONDS = 60_000;
const BACKLOG = 1_024;
/** Code of the error of a request that does not arrive whole in time. */
const TIMEOUT_ERROR = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Retry delay of requests for which there is no room, in seconds. */
const REFUSED_RETRY_SECONDS = 1;

/** Listens for callers. */
export class CallerServer
  implements disposable.Disposable, connectionGuard.ExchangeHandler
{
  private readonly server: http.Server;
  private readonly guard: connectionGuard.ConnectionGuard;
  private openRequests = 0;

  constructor(
    private readonly handler: (
      request: http.IncomingMessage,
      response: http.ServerResponse,
    ) => Promise<void>,
    bounds: connectionGuard.ConnectionBounds,
    limits: limitReporter.LimitReporter,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.server = http.createServer({
      ...connectionGuard.SERVER_OPTIONS,
      maxHeaderSize: INITIAL_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: INITIAL_IDLE_MILLISECONDS,
      noDelay: true,
    });
    this.guard = new connectionGuard.ConnectionGuard(
      this.server,
      bounds,
      this,
      (limit, who, usage) => limits.record(limit, who, usage),
    );
    this.server.on('clientError', (error, socket) =>
      this.answerMalformed(error, socket as net.Socket),
    );
  }

  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.openRequests++;
    response.once('close', () => this.openRequests--);
    this.handler(request, response).catch(error => {
      this.log.write('handler-failed', {error: String(error?.stack)}, true);
      const message = 'an unexpected fault while the request was handled';
      callerAnswer.refuse(
        request,
        response,
        failure.unknownOutcome(resultCode.ResultCode.Internal, message),
      );
    });
  }

  refuse(request: http.IncomingMessage, response: http.ServerResponse): void {
    const cause = failure.notRun(
      resultCode.ResultCode.Overloaded,
      'this gateway holds as many requests as it can',
      REFUSED_RETRY_SECONDS,
    );
    callerAnswer.refuse(request, response, cause);
  }

  /** Number of connections of callers. */
  get connectionCount(): number {
    return this.guard.connectionCount;
  }

  /** Number of requests without a complete answer. */
  get openRequestCount(): number {
    return this.openRequests;
  }

  /** Binds the address; rejects if it is in use. */
  listen(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(
        Number(address.slice(separator + 1)),
        address.slice(0, separator),
        BACKLOG,
        () => {
          this.server.off('error', reject);
          resolve();
        },
      );
    });
  }

  /** Port that the server listens on. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Applies the limits of a configuration. */
  setLimits(limits: configuration.RequestLimits): void {
    // Read for each new connection; missing from the declared type.
    (this.server as http.Server & {maxHeaderSize: number}).maxHeaderSize =
      limits.maxHeaderBytes + HEADER_MARGIN_BYTES;
    this.server.headersTimeout =
      limits.headerTimeoutMilliseconds + LIMIT_MARGIN_MILLISECONDS;
    this.server.keepAliveTimeout =
      limits.idleTimeoutMilliseconds + LIMIT_MARGIN_MILLISECONDS;
  }

  dispose(): void {
    this.guard.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private answerMalformed(
    error: NodeJS.ErrnoException,
    socket: net.Socket,
  ): void {
    // An answer sent now would be taken for the answer to an earlier request, or would follow one that has begun.
    const currentResponse = (socket as {_httpMessage?: http.ServerResponse})
      ._httpMessage;
    const isAnswerPending = currentResponse
      ? currentResponse.headersSent || currentResponse.req.complete
      : false;
    // The request waits for the answer to an earlier one, and is not read on until then.
    if (error.code === TIMEOUT_ERROR && this.guard.hasWaitingRequests(socket)) {
      return;
    }
    this.log.writeForClient('request-unreadable', {error: error.code});
    if (!socket.writable || isAnswerPending) {
      socket.destroy();
      return;
    }
    refusal.endWithFailure(socket, refusal.parserFailure(error.code));
  }
}
