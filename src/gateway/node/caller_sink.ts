/** Writes an answer to its caller, who may read it more slowly than the instance sends it. */
import * as http from 'node:http';
import * as growingBuffer from '../../base/common/growing_buffer';
import * as deliveryBuffers from '../common/delivery_buffers';
import * as instanceClient from '../common/instance_client';
import * as callContext from './call_context';

/** Size to which held chunks are joined, in bytes. */
const BLOCK_BYTES = 65_536;

/** Receives the body of an answer. */
export abstract class CallerSink {
  /** Whether reading of the instance's answer is paused for the caller. */
  abstract readonly isPaused: boolean;
  /** Writes bytes that come from the body. Returns false if the body was paused. */
  abstract write(body: instanceClient.ResponseBody, bytes: Buffer): boolean;
  /** Accounts for bytes that are received but cannot be written yet, since their event is incomplete. */
  abstract updatePending(): void;
  /** Ends the answer after all bytes. */
  abstract end(): void;
}

/** Creates the sink that the settings of the gateway call for. `pendingBytes` returns the number of bytes of an incomplete event. */
export function createSink(
  context: callContext.CallContext,
  pendingBytes: () => number,
): CallerSink {
  const {buffers} = context.services;
  return buffers === undefined
    ? new PausingSink(context.response)
    : new BufferingSink(context, buffers, pendingBytes);
}

/** Pauses the instance's answer as soon as the caller's socket is full. */
class PausingSink extends CallerSink {
  readonly isPaused = false;

  constructor(private readonly response: http.ServerResponse) {
    super();
  }

  write(body: instanceClient.ResponseBody, bytes: Buffer): boolean {
    const canWriteMore = this.response.write(bytes);
    if (!canWriteMore) {
      body.pause();
      this.response.once('drain', () => body.resume());
    }
    return canWriteMore;
  }

  updatePending(): void {
    // Without an account, only the maximum size of an event bounds them.
  }

  end(): void {
    this.response.end();
  }
}

/** Holds what the caller's socket does not take, and pauses the instance's answer only at the bound for one answer. */
class BufferingSink extends CallerSink {
  private readonly held: HeldBytes;
  private readonly blocks: Buffer[] = [];
  /** Chunks that do not fill a block yet. */
  private readonly chunks = new growingBuffer.GrowingBuffer();
  private blockBytes = 0;
  /** Whether a callback of the socket is awaited. */
  private isBlocked = false;
  private paused: instanceClient.ResponseBody | undefined;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly buffers: deliveryBuffers.DeliveryBuffers,
    pendingBytes: () => number,
  ) {
    super();
    this.held = new HeldBytes(
      context,
      () => this.queuedBytes + context.response.writableLength + pendingBytes(),
    );
  }

  get isPaused(): boolean {
    return this.paused !== undefined;
  }

  write(body: instanceClient.ResponseBody, bytes: Buffer): boolean {
    const {response} = this.context;
    if (this.isBlocked) {
      this.enqueue(bytes);
    } else if (response.writableLength === 0) {
      if (response.write(bytes)) {
        return true;
      }
      this.isBlocked = true;
      response.once('drain', () => this.flush());
    } else {
      // The socket has not taken earlier bytes; it emits no "drain" below its own limit.
      this.writeBlock(bytes);
    }
    this.holdFor(body);
    return !this.isPaused;
  }

  updatePending(): void {
    holdUntilEnd(this.buffers, this.held, this.context.response);
  }

  end(): void {
    const {response} = this.context;
    this.joinChunks();
    this.blocks.splice(0).forEach(block => response.write(block));
    this.blockBytes = 0;
    response.end();
    holdUntilEnd(this.buffers, this.held, response);
  }

  private get queuedBytes(): number {
    return this.blockBytes + this.chunks.length;
  }

  private holdFor(body: instanceClient.ResponseBody): void {
    holdUntilEnd(this.buffers, this.held, this.context.response);
    if (this.held.measure() > this.buffers.maxAnswerBytes) {
      body.pause();
      this.paused = body;
    }
  }

  private enqueue(bytes: Buffer): void {
    this.chunks.append(bytes);
    if (this.chunks.length >= BLOCK_BYTES) {
      this.joinChunks();
    }
  }

  private joinChunks(): void {
    const {length} = this.chunks;
    if (length > 0) {
      this.blocks.push(this.chunks.take());
      this.blockBytes += length;
    }
  }

  private writeBlock(bytes: Buffer): void {
    this.isBlocked = true;
    this.context.response.write(bytes, () => this.flush());
  }

  /** Writes the next block when the socket has taken the previous one. */
  private flush(): void {
    const {response} = this.context;
    if (response.writableEnded || response.destroyed) {
      return;
    }
    this.isBlocked = false;
    if (this.blocks.length === 0) {
      this.joinChunks();
    }
    const block = this.blocks.shift();
    if (block !== undefined) {
      this.blockBytes -= block.length;
      this.writeBlock(block);
    }
    this.buffers.update(this.held);
    if (this.held.measure() <= this.buffers.maxAnswerBytes / 2) {
      this.paused?.resume();
      this.paused = undefined;
    }
  }
}

/** Bytes held for one call. */
export class HeldBytes extends deliveryBuffers.HeldAnswer {
  /** Whether the account is told when the answer ends. */
  isWatched = false;

  constructor(
    private readonly context: callContext.CallContext,
    readonly measure: () => number,
    /** Releases what is held; to be given if nothing of it is being written. */
    private readonly onDidCutOff: () => void = () => undefined,
  ) {
    super();
  }

  cutOff(): void {
    this.context.cutOff(this.measure());
    this.onDidCutOff();
  }
}

/** Counts the bytes that are held for the answer, until it has ended. */
export function holdUntilEnd(
  buffers: deliveryBuffers.DeliveryBuffers,
  held: HeldBytes,
  response: http.ServerResponse,
): void {
  if (!held.isWatched) {
    held.isWatched = true;
    response.once('close', () => buffers.remove(held));
  }
  if (!response.destroyed) {
    buffers.update(held);
  }
}
