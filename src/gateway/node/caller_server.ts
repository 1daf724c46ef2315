/** The HTTP server that callers connect to. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
import * as configuration from '../common/configuration';
import * as callerAnswer from './caller_answer';

/** Maximum size of headers that are parsed, in bytes. The configured limit is lower; a request over it gets a complete answer. */
const MAX_PARSED_HEADER_BYTES = 65_536;
/** Time added to the configured limits, so that a caller within them is not disconnected, in milliseconds. */
const LIMIT_MARGIN_MILLISECONDS = 1_000;
/** Time within which a whole request must arrive, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const CHECK_INTERVAL_MILLISECONDS = 500;
/** Idle timeout of connections before the first configuration, in milliseconds. */
const INITIAL_IDLE_MILLISECONDS = 60_000;
const BACKLOG = 1_024;

/** Listens for callers. */
export class CallerServer implements disposable.Disposable {
  private readonly server: http.Server;
  private openRequests = 0;

  constructor(
    handle: (
      request: http.IncomingMessage,
      response: http.ServerResponse,
    ) => Promise<void>,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.server = http.createServer({
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: INITIAL_IDLE_MILLISECONDS,
      noDelay: true,
    });
    this.server.on('request', (request, response) => {
      this.openRequests++;
      response.once('close', () => this.openRequests--);
      handle(request, response).catch(error => {
        this.log.write('handler-failed', {error: String(error?.stack)}, true);
        callerAnswer.abortAnswer(response);
      });
    });
    this.server.on('clientError', (error, socket) =>
      this.answerMalformed(error, socket as net.Socket),
    );
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
    this.server.headersTimeout =
      limits.headerTimeoutMilliseconds + LIMIT_MARGIN_MILLISECONDS;
    this.server.keepAliveTimeout =
      limits.idleTimeoutMilliseconds + LIMIT_MARGIN_MILLISECONDS;
  }

  dispose(): void {
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
    this.log.write('request-unreadable', {error: error.code});
    if (!socket.writable || isAnswerPending) {
      socket.destroy();
      return;
    }
    const status = statusOf(error.code);
    socket.end(
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

function statusOf(code: string | undefined): number {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return 431;
  }
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400;
}
