/** Bounds what the connections of an HTTP server make its process hold and do. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as disposable from '../common/disposable';
import * as memoryAccount from '../common/memory_account';
import * as feedScheduler from './feed_scheduler';
import * as guardedConnection from './guarded_connection';
import * as kernelWatch from './kernel_watch';
import * as limitReporter from './limit_reporter';

const {ClientLimit, LimitAct} = limitReporter;

/** Bounds for the connections of a server. */
export interface ConnectionBounds {
  readonly maxConnections: number;
  /** Memory of all connections, in bytes, with incomplete heads and requests. */
  readonly maxBytes: number;
  /** Bytes that the kernel may hold for all connections. */
  readonly maxKernelBytes: number;
}

/** Handles the requests of a server. */
export interface ExchangeHandler {
  /** Handles one request; the next one of its connection follows when the response has ended. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void;
  /** Answers a request for which there is no room. */
  refuse(request: http.IncomingMessage, response: http.ServerResponse): void;
}

/** Called when a limit has acted on the peer. */
export type LimitListener = (
  limit: limitReporter.ClientLimit,
  who: string,
  usage: limitReporter.LimitUsage,
) => void;

/** Options that the server of a guard has to be created with; otherwise Node.js answers some requests itself, which are not counted. */
export const SERVER_OPTIONS = {requireHostHeader: false} as const;

/** Tracks the connections of a server, and hands on its requests. */
export class ConnectionGuard
  implements
    guardedConnection.ConnectionOwner,
    kernelWatch.WatchedConnections,
    disposable.Disposable
{
  readonly account: memoryAccount.MemoryAccount;
  readonly scheduler = new feedScheduler.FeedScheduler();
  private readonly connections = new Map<
    net.Socket,
    guardedConnection.GuardedConnection
  >();
  private readonly watch: kernelWatch.KernelWatch;

  /** @param server A server with the options above and without other listeners for requests. */
  constructor(
    private readonly server: http.Server,
    bounds: ConnectionBounds,
    private readonly handler: ExchangeHandler,
    private readonly onDidAct: LimitListener,
  ) {
    this.account = new memoryAccount.MemoryAccount({
      maxBytes: bounds.maxBytes,
      maxHolders: bounds.maxConnections,
      smallBytes: Infinity,
      smallReserveBytes: 0,
    });
    this.watch = new kernelWatch.KernelWatch(this, bounds.maxKernelBytes);
    server.on('connection', socket => this.add(socket));
    const accept = (
      request: http.IncomingMessage,
      response: http.ServerResponse,
    ) => this.accept({request, response, isContinueExpected: false});
    server.on('request', accept);
    // An expectation other than 100-continue may be ignored (RFC 9110, section 10.1.1).
    server.on('checkExpectation', accept);
    server.on('checkContinue', (request, response) =>
      this.accept({request, response, isContinueExpected: true}),
    );
  }

  get port(): number {
    return (this.server.address() as net.AddressInfo | null)?.port ?? 0;
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  all(): Iterable<guardedConnection.GuardedConnection> {
    return this.connections.values();
  }

  /** Whether requests of the connection wait for the answer to an earlier one. */
  hasWaitingRequests(socket: net.Socket): boolean {
    return this.connections.get(socket)?.hasWaitingRequests === true;
  }

  handle({request, response}: guardedConnection.ServerExchange): void {
    this.watch.start();
    this.handler.handle(request, response);
  }

  refuse({request, response}: guardedConnection.ServerExchange): void {
    const connection = this.connections.get(request.socket);
    if (connection !== undefined) {
      this.report(connection, LimitAct.Refused);
    }
    this.handler.refuse(request, response);
  }

  onDidEvict(connection: guardedConnection.GuardedConnection): void {
    this.report(connection, LimitAct.Closed);
  }

  private report(
    connection: guardedConnection.GuardedConnection,
    act: limitReporter.LimitAct,
  ): void {
    this.onDidAct(ClientLimit.Connections, connection.group, {
      act,
      bytes: connection.bytes,
      totalBytes: this.account.totalBytes,
      maxBytes: this.account.bounds.maxBytes,
      isRequestCut: act === LimitAct.Closed && connection.hasActiveRequest,
    });
  }

  onDidWrite(connection: guardedConnection.GuardedConnection): void {
    this.watch.recordWrite(connection);
  }

  onDidBlock(): void {
    this.watch.recordBlock();
  }

  onDidClose(
    connection: guardedConnection.GuardedConnection,
    usage: kernelWatch.KernelUsage,
  ): void {
    this.onDidAct(ClientLimit.Kernel, connection.group, {
      act: LimitAct.Closed,
      isRequestCut: connection.hasActiveRequest,
      ...usage,
    });
  }

  dispose(): void {
    this.watch.dispose();
  }

  private add(socket: net.Socket): void {
    const connection = new guardedConnection.GuardedConnection(socket, this);
    if (!connection.open()) {
      connection.evict();
      return;
    }
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
  }

  private accept(exchange: guardedConnection.ServerExchange): void {
    this.connections.get(exchange.request.socket)?.accept(exchange);
  }
}
