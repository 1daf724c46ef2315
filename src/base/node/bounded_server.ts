/** HTTP server for addresses that are not for callers, within bounds for whoever connects there. */
import * as http from 'node:http';
import * as disposable from '../common/disposable';
import * as connectionGuard from './connection_guard';
import * as limitReporter from './limit_reporter';

const MAX_HEADER_BYTES = 8_192;
const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
const REQUEST_TIMEOUT_MILLISECONDS = 10_000;
const CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Bounds of a server, and where it reports that they act. */
export interface BoundedServerOptions {
  readonly bounds: connectionGuard.ConnectionBounds;
  readonly limits: limitReporter.LimitReporter;
}

/** Serves requests without bodies. */
export class BoundedServer
  implements disposable.Disposable, connectionGuard.ExchangeHandler
{
  private readonly server = http.createServer({
    ...connectionGuard.SERVER_OPTIONS,
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
    requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
  });
  private readonly guard: connectionGuard.ConnectionGuard;

  constructor(
    {bounds, limits}: BoundedServerOptions,
    private readonly handler: (
      request: http.IncomingMessage,
      response: http.ServerResponse,
    ) => void,
  ) {
    this.guard = new connectionGuard.ConnectionGuard(
      this.server,
      bounds,
      this,
      (limit, who, usage) => limits.record(limit, who, usage),
    );
  }

  /** Binds the address; a later error is passed to `onError` too. */
  listen(host: string, port: number, onError: (error: Error) => void): void {
    this.server.on('error', onError);
    this.server.listen(port, host);
  }

  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    // A body would otherwise be kept until the answer has ended.
    request.resume();
    this.handler(request, response);
  }

  refuse(_: http.IncomingMessage, response: http.ServerResponse): void {
    response.writeHead(503, {'Content-Length': 0, Connection: 'close'}).end();
  }

  dispose(): void {
    this.guard.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }
}
