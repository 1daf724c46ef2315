/** Buffers of one size that are used again. Freed buffers of varying sizes stay resident until a collection, or for good in fragments. */

import * as stream from 'node:stream';
import * as growingBuffer from '../common/growing_buffer';
import * as bufferCollector from './buffer_collector';

/** Size of a block, in bytes. */
export const BLOCK_BYTES = 65_536;

/** Blocks that nobody uses; the accounts of those who take them bound their number. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes blocks back. Nothing may read or write them any more. */
  give(blocks: readonly Buffer[]): void {
    this.free.push(...blocks);
  }
}

/** Bytes in blocks of a pool. */
export class BlockList {
  private blocks: Buffer[] = [];
  private used = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Number of bytes held. */
  get length(): number {
    return this.used;
  }

  /** Number of bytes that the blocks would take with `added` more bytes in them. */
  bytesWith(added: number): number {
    return Math.ceil((this.used + added) / BLOCK_BYTES) * BLOCK_BYTES;
  }

  /** Adds a copy of the bytes. */
  append(bytes: Buffer): void {
    let at = 0;
    while (at < bytes.length) {
      const offset = this.used % BLOCK_BYTES;
      if (offset === 0) {
        this.blocks.push(this.pool.take());
      }
      const copied = bytes.copy(this.blocks.at(-1)!, offset, at);
      at += copied;
      this.used += copied;
    }
  }

  /** Writes all bytes to a stream and ends it; each block returns to the pool when the stream has taken it. */
  endInto(stream: stream.Writable): void {
    const chunks = this.chunks();
    this.blocks.forEach((block, index) =>
      stream.write(chunks[index], () => this.giveBack(block)),
    );
    stream.end();
  }

  private giveBack(block: Buffer): void {
    const index = this.blocks.indexOf(block);
    if (index >= 0) {
      this.blocks.splice(index, 1);
      this.pool.give([block]);
    }
  }

  /** The bytes in order, without a copy; valid until `release`. */
  chunks(): Buffer[] {
    return this.blocks.map((block, index) =>
      block.subarray(0, Math.min(BLOCK_BYTES, this.used - index * BLOCK_BYTES)),
    );
  }

  /** Gives the blocks back to the pool. */
  release(): void {
    this.pool.give(this.blocks);
    this.blocks = [];
    this.used = 0;
  }
}

/** Size up to which bytes are kept in a buffer of their own, in bytes. */
export const SMALL_BYTES = 16_384;

/** Collects bytes: a few in a buffer of their own, more in blocks of a pool. */
export class PooledBuffer {
  private readonly small = new growingBuffer.GrowingBuffer();
  private readonly blocks: BlockList;
  private isReleased = false;

  constructor(pool: BlockPool) {
    this.blocks = new BlockList(pool);
  }

  /** Number of bytes held. */
  get length(): number {
    return this.small.length + this.blocks.length;
  }

  /** Memory that it takes with `added` more bytes in it, in bytes. */
  memoryWith(added: number): number {
    const length = this.length + added;
    return this.isSmallWith(added)
      ? length
      : this.blocks.bytesWith(this.small.length + added);
  }

  /** Adds a copy of the bytes; none after its release. */
  append(bytes: Buffer): void {
    if (this.isReleased) {
      return;
    }
    if (this.isSmallWith(bytes.length)) {
      return this.small.append(bytes);
    }
    if (this.small.length > 0) {
      this.blocks.append(this.small.take());
    }
    this.blocks.append(bytes);
    bufferCollector.recordInput(bytes.length);
  }

  /** The bytes in order; valid until `release`. No more may be added. */
  chunks(): Buffer[] {
    return this.small.length > 0 ? [this.small.take()] : this.blocks.chunks();
  }

  /** Writes all bytes to a stream and ends it. Until the stream is closed, only what it has taken is given back. */
  endInto(stream: stream.Writable): void {
    if (this.blocks.length === 0) {
      stream.end(this.small.take());
      return;
    }
    this.blocks.endInto(stream);
  }

  /** Gives the memory back; nothing may use the chunks any more. */
  release(): void {
    this.isReleased = true;
    this.small.clear();
    this.blocks.release();
  }

  private isSmallWith(added: number): boolean {
    return this.blocks.length === 0 && this.length + added <= SMALL_BYTES;
  }
}
