/** Bounds what a response may cost besides its content, however the other side frames it. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chunkTracker from '../common/chunk_tracker';
import * as feedScheduler from './feed_scheduler';

/**
 * Bytes that the parser gets at a time while chunks may begin in them. Each
 * chunk takes an object of its own until the response is read.
 */
const SLICE_BYTES = 1_024;
/** Maximum number of interim responses (RFC 9110, section 15.2) before the final one. */
const MAX_INTERIM_RESPONSES = 8;
/** Bytes of heads, framing and trailers that a response without content may have. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Further such bytes for each byte of content. */
const MAX_OVERHEAD_PER_CONTENT_BYTE = 2;

const feedTime = new feedScheduler.SharedFeedTime();

const HEAD_END = Buffer.from('\r\n\r\n');

type DataListener = (this: net.Socket, chunk: Buffer) => void;

/**
 * Hands the response to the parser in parts, and only while the response is
 * read. Closes the connection if the response has too many interim responses
 * or too much framing, or if anything follows it.
 */
export function guard(request: http.ClientRequest): void {
  let interimCount = 0;
  request.on('information', () => {
    if (++interimCount > MAX_INTERIM_RESPONSES) {
      request.destroy();
    }
  });
  request.once('socket', socket => new ResponseGuard(request, socket));
}

class ResponseGuard {
  private readonly parse: DataListener;
  private response: http.IncomingMessage | undefined;
  /** Length of the content if it is known and the content is not in chunks; infinite if it ends with the connection. */
  private contentLength = 0;
  /** Undefined if the content is not in chunks, or is not where it is expected. */
  private chunks: chunkTracker.ChunkTracker | undefined;
  private parsedBytes = 0;
  private readBytes = 0;
  private isWaiting = false;
  private readonly onData = (chunk: Buffer) => this.receive(chunk);
  private readonly takeTurn = () => this.continueInTurn();

  constructor(
    private readonly request: http.ClientRequest,
    private readonly socket: net.Socket,
  ) {
    // The request's own listener, which hands what it gets to the parser.
    const [listener] = socket.listeners('data') as DataListener[];
    this.parse = listener;
    socket.off('data', listener);
    socket.on('data', this.onData);
    request.prependOnceListener('response', response => this.begin(response));
    request.once('close', () => this.detach());
  }

  private begin(response: http.IncomingMessage): void {
    this.response = response;
    const {headers} = response;
    if (headers['transfer-encoding'] !== undefined) {
      this.chunks = new chunkTracker.ChunkTracker();
    } else {
      this.contentLength = Number(headers['content-length'] ?? Infinity) || 0;
    }
    // Unlike `on`, this does not start to read the response.
    response.prependListener(
      'data',
      (chunk: Buffer) => (this.readBytes += chunk.length),
    );
    response.on('resume', () => this.onDidResume());
  }

  private receive(chunk: Buffer): void {
    this.isWaiting = false;
    if (chunk.length <= SLICE_BYTES) {
      this.feed(chunk);
      return;
    }
    let at = 0;
    while (at < chunk.length && !this.socket.destroyed) {
      if (feedTime.isSpent) {
        feedTime.enqueue(this.takeTurn);
        return this.putBack(chunk.subarray(at));
      }
      const startedAt = performance.now();
      const slice = chunk.subarray(at, at + this.sliceBytes);
      if (!this.feed(slice, chunk.subarray(at))) {
        return;
      }
      at += slice.length;
      feedTime.spend(performance.now() - startedAt);
    }
  }

  /** Hands a slice to the parser; returns false if the slice and the rest have to wait, or the connection is closed. */
  private feed(slice: Buffer, rest = slice): boolean {
    const {response, socket} = this;
    if (response?.complete) {
      // Answers no request.
      socket.destroy();
      return false;
    }
    if (this.isBlocked || socket.isPaused()) {
      this.putBack(rest);
      return false;
    }
    this.parsedBytes += slice.length;
    this.parse.call(socket, slice);
    this.followChunks(response === undefined ? withoutHead(slice) : slice);
    this.checkOverhead();
    return !socket.destroyed;
  }

  /** Whether the response holds content that nobody takes yet. One that is pulled pauses the socket by itself. */
  private get isBlocked(): boolean {
    const {response} = this;
    return (
      response !== undefined &&
      response.readableFlowing !== true &&
      response.readableLength > 0 &&
      response.listenerCount('readable') === 0
    );
  }

  private get contentBytes(): number {
    return this.readBytes + (this.response?.readableLength ?? 0);
  }

  private get sliceBytes(): number {
    const known =
      this.chunks?.missingBytes ?? this.contentLength - this.contentBytes;
    return Math.max(SLICE_BYTES, known);
  }

  private followChunks(bytes: Buffer): void {
    this.chunks?.push(bytes);
    if (this.chunks?.contentBytes !== this.contentBytes) {
      this.chunks = undefined;
    }
  }

  private checkOverhead(): void {
    const content = this.contentBytes;
    const overhead = this.parsedBytes - content;
    const most = MAX_OVERHEAD_BYTES + content * MAX_OVERHEAD_PER_CONTENT_BYTE;
    if (overhead > most) {
      this.request.destroy(
        new Error(
          `response: ${overhead} bytes besides ${content} bytes of content`,
        ),
      );
    }
  }

  /** Leaves the bytes with the socket, which does not read on. */
  private putBack(bytes: Buffer): void {
    this.isWaiting = true;
    this.socket.pause();
    this.socket.unshift(bytes);
  }

  private continueInTurn(): void {
    if (this.isWaiting && !this.socket.destroyed) {
      this.isWaiting = false;
      this.socket.resume();
      // Emits what was put back.
      this.socket.read();
    }
  }

  private onDidResume(): void {
    if (this.isWaiting) {
      feedTime.enqueue(this.takeTurn);
    }
  }

  private detach(): void {
    feedTime.remove(this.takeTurn);
    this.socket.off('data', this.onData);
    if (this.isWaiting) {
      // Answers no request.
      this.socket.destroy();
    }
    this.isWaiting = false;
  }
}

/** The bytes after the end of a head. */
function withoutHead(bytes: Buffer): Buffer {
  const end = bytes.indexOf(HEAD_END);
  return end < 0 ? bytes : bytes.subarray(end + HEAD_END.length);
}
