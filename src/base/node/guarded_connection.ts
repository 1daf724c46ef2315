/** One connection of a server, whose bytes reach the HTTP parser only as fast as its requests are handled. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as memoryAccount from '../common/memory_account';
import * as bufferCollector from './buffer_collector';
import * as feedScheduler from './feed_scheduler';
import * as limitReporter from './limit_reporter';

/**
 * Bytes that the parser gets at a time while heads or chunks may begin in them.
 * Bounds the number of requests that one call of the parser can yield.
 */
const SLICE_BYTES = 512;
/** Size up to which a body is read without waiting for a turn, in bytes. */
const LIGHT_BODY_BYTES = 16_384;
/** Memory of a connection without a request, in bytes. */
const CONNECTION_BYTES = 4_096;
/** Memory of a request that waits for the answer to an earlier one, in bytes. */
const WAITING_REQUEST_BYTES = 4_096;
/** Memory of a request that is handled, besides its body, in bytes. */
const ACTIVE_REQUEST_BYTES = 16_384;

/** Which connections give way first. */
enum EvictionRank {
  /** Holds a part of a head, or input that is not read yet. */
  Holding = 0,
  /** Has never carried a request. */
  Unused = 1,
  /** Is kept open after a request. */
  Idle = 2,
}

/** A request with its response. */
export interface ServerExchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Whether the client waits for an interim answer before it sends the body. */
  readonly isContinueExpected: boolean;
}

/** What a connection needs of its server. */
export interface ConnectionOwner {
  readonly account: memoryAccount.MemoryAccount;
  readonly scheduler: feedScheduler.FeedScheduler;
  handle(exchange: ServerExchange): void;
  /** Answers a request for which there is no room. */
  refuse(exchange: ServerExchange): void;
  onDidEvict(connection: GuardedConnection): void;
  onDidWrite(connection: GuardedConnection): void;
  /** Called when the connection is not read on, so that the kernel keeps what arrives. */
  onDidBlock(connection: GuardedConnection): void;
}

type DataListener = (this: net.Socket, chunk: Buffer) => void;

/**
 * Handles the requests of a connection one after the other, as their answers
 * have to be sent, and does not read on while one is waiting.
 */
export class GuardedConnection extends memoryAccount.MemoryHolder {
  readonly group: string;
  private readonly parse: DataListener;
  private readonly waiting: ServerExchange[] = [];
  private active: ServerExchange | undefined;
  /** Whether there is no room for the active request, which gets a refusal. */
  private isActiveRefused = false;
  private held: Buffer[] = [];
  private heldBytes = 0;
  /** Bytes since the end of the last head that are no known part of a body. */
  private headBytes = 0;
  /** Lower bound of the bytes that are still missing from the current body; the parser may get so many at once. */
  private bodyBytesLeft = 0;
  private hasCarriedRequest = false;
  private confirmedBytes = 0;
  private isBlocked = false;
  private isFeeding = false;
  /** Whether the current request is read in turn with others, since its body is large or comes in chunks. */
  private takesTurns = false;
  private isItsTurn = false;
  private readonly takeTurn = () => this.continueInTurn();

  constructor(
    private readonly socket: net.Socket,
    private readonly owner: ConnectionOwner,
  ) {
    super();
    this.group = socket.remoteAddress ?? '';
    // The server's own listener, which hands what it gets to the parser.
    const [listener] = socket.listeners('data') as DataListener[];
    this.parse = listener;
    socket.removeListener('data', listener);
    socket.on('data', chunk => this.receive(chunk));
    // Node.js resumes the socket whenever a request wants more of its body.
    socket.on('resume', () => this.onDidResume());
    socket.once('close', () => this.forget());
  }

  get evictionRank(): number | undefined {
    if (this.heldBytes + this.headBytes + this.waiting.length > 0) {
      return EvictionRank.Holding;
    }
    if (this.active !== undefined) {
      return undefined;
    }
    return this.hasCarriedRequest ? EvictionRank.Idle : EvictionRank.Unused;
  }

  /** Registers the connection; false if there is no room for it. */
  open(): boolean {
    return this.charge();
  }

  evict(): void {
    this.owner.onDidEvict(this);
    this.reset(limitReporter.ClientLimit.Connections);
  }

  /** Closes the connection for a limit, and drops what the kernel holds for it. */
  reset(limit: limitReporter.ClientLimit): void {
    limitReporter.recordClose(this.socket, limit);
    this.socket.resetAndDestroy();
  }

  get hasActiveRequest(): boolean {
    return this.active !== undefined;
  }

  get hasWaitingRequests(): boolean {
    return this.waiting.length > 0;
  }

  /** Address and port of the peer. */
  get peer(): string {
    return `${this.group}:${this.socket.remotePort}`;
  }

  /** Whether the connection is not read on for now. */
  get isWaiting(): boolean {
    return this.isBlocked;
  }

  /** Bytes written of which it is not known that the peer has received them. */
  get unconfirmedBytes(): number {
    return this.socket.bytesWritten - this.confirmedBytes;
  }

  /** Records how many of the bytes written so far the kernel holds. */
  confirm(queuedBytes: number): void {
    this.confirmedBytes = this.socket.bytesWritten - queuedBytes;
  }

  /** Takes a request that the parser has found. */
  accept(exchange: ServerExchange): void {
    const {request} = exchange;
    this.hasCarriedRequest = true;
    this.headBytes = 0;
    const length = Number(request.headers['content-length'] ?? 0);
    this.bodyBytesLeft = Math.max(0, length - SLICE_BYTES);
    this.takesTurns =
      length > LIGHT_BODY_BYTES ||
      request.headers['transfer-encoding'] !== undefined;
    if (this.active === undefined) {
      this.start(exchange);
    } else {
      this.waiting.push(exchange);
    }
  }

  private start(exchange: ServerExchange): void {
    this.active = exchange;
    const {response} = exchange;
    response.once('close', () => this.startNext());
    response.once('prefinish', () => this.owner.onDidWrite(this));
    if (!this.charge()) {
      this.isActiveRefused = true;
      return this.owner.refuse(exchange);
    }
    if (exchange.isContinueExpected) {
      response.writeContinue();
    }
    this.owner.handle(exchange);
  }

  private startNext(): void {
    this.active = undefined;
    this.isActiveRefused = false;
    this.takesTurns = false;
    if (this.socket.destroyed) {
      return;
    }
    this.charge();
    if (this.waiting.length > 0 || this.isBlocked) {
      this.owner.scheduler.enqueue(this.takeTurn);
    }
  }

  /** Goes on after other connections had their turns: with the next request, and with input if no further one waits. */
  private continueInTurn(): void {
    if (this.socket.destroyed) {
      return;
    }
    if (this.active === undefined) {
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.start(next);
      }
    }
    if (this.waiting.length === 0) {
      this.isItsTurn = true;
      this.resume();
    }
  }

  private onDidResume(): void {
    if (this.isBlocked && !this.isRefused) {
      this.socket.pause();
    } else {
      this.feed();
    }
  }

  /** Whether the last answer was written, so that further input is dropped. */
  private get isRefused(): boolean {
    return this.socket.writableEnded;
  }

  private receive(chunk: Buffer): void {
    bufferCollector.recordInput(chunk.length);
    if (this.isRefused) {
      return;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    this.feed();
  }

  /** Hands held bytes to the parser until a request waits, the socket is paused, or others should have a turn. */
  private feed(): void {
    if (this.isFeeding || this.isBlocked || this.heldBytes === 0) {
      return;
    }
    this.isFeeding = true;
    try {
      this.feedParser();
    } finally {
      this.isFeeding = false;
      this.isItsTurn = false;
    }
    if (!this.socket.destroyed && !this.charge()) {
      this.owner.account.release(this);
      this.evict();
    }
  }

  private feedParser(): void {
    const endsAt = performance.now() + feedScheduler.FEED_MILLISECONDS;
    while (this.heldBytes > 0 && !this.socket.destroyed) {
      if (this.isRefused) {
        this.dropInput();
        break;
      }
      if (this.waiting.length > 0) {
        this.block();
        break;
      }
      if (this.socket.isPaused() || this.isPausedByServer) {
        break;
      }
      const mustWait = this.takesTurns && !this.isItsTurn;
      if (mustWait || performance.now() >= endsAt) {
        this.block();
        this.owner.scheduler.enqueue(this.takeTurn);
        break;
      }
      this.parse.call(this.socket, this.nextSlice());
    }
  }

  private nextSlice(): Buffer {
    const [chunk] = this.held;
    const isBody = this.bodyBytesLeft > SLICE_BYTES;
    const limit = isBody ? this.bodyBytesLeft : SLICE_BYTES;
    const slice = chunk.subarray(0, limit);
    if (slice.length === chunk.length) {
      this.held.shift();
    } else {
      this.held[0] = chunk.subarray(slice.length);
    }
    this.heldBytes -= slice.length;
    if (isBody) {
      this.bodyBytesLeft -= slice.length;
    } else if (this.isBetweenRequests) {
      this.headBytes += slice.length;
    }
    return slice;
  }

  private get isBetweenRequests(): boolean {
    const last = this.waiting.at(-1) ?? this.active;
    return last === undefined || last.request.complete;
  }

  private block(): void {
    this.isBlocked = true;
    this.socket.pause();
    this.owner.onDidBlock(this);
  }

  private resume(): void {
    if (this.isBlocked && !this.socket.destroyed) {
      this.isBlocked = false;
      this.socket.resume();
    }
  }

  private charge(): boolean {
    return this.owner.account.charge(this, this.bytes);
  }

  /** Memory that the connection takes, in bytes. */
  get bytes(): number {
    const isHandled = this.active !== undefined && !this.isActiveRefused;
    return (
      CONNECTION_BYTES +
      this.heldBytes +
      this.headBytes +
      this.waiting.length * WAITING_REQUEST_BYTES +
      (isHandled ? ACTIVE_REQUEST_BYTES : 0)
    );
  }

  /** Whether Node.js takes no input until an answer is read; its parser must not be called then. */
  private get isPausedByServer(): boolean {
    return (this.socket as {_paused?: boolean})._paused === true;
  }

  private dropInput(): void {
    this.held = [];
    this.heldBytes = 0;
  }

  private forget(): void {
    this.dropInput();
    this.waiting.length = 0;
    this.owner.scheduler.remove(this.takeTurn);
    this.owner.account.release(this);
  }
}
