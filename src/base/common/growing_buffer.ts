/** Joins chunks of bytes. Many small chunks that are kept in a list take several times the memory of their content. */

/** Share of a buffer that may be unused when its bytes are taken; with more, they are copied to a smaller one. */
const MAX_UNUSED_SHARE = 0.25;

/** Collects bytes in one buffer, which grows by doubling, so that each byte is copied a bounded number of times on average. */
export class GrowingBuffer {
  private buffer: Buffer = Buffer.alloc(0);
  private used = 0;

  /** Number of bytes held. */
  get length(): number {
    return this.used;
  }

  /** Adds a copy of the bytes. */
  append(bytes: Buffer): void {
    const length = this.used + bytes.length;
    if (length > this.buffer.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(length, 2 * this.buffer.length),
      );
      this.buffer.copy(grown, 0, 0, this.used);
      this.buffer = grown;
    }
    bytes.copy(this.buffer, this.used);
    this.used = length;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.used);
    const unused = this.buffer.length - this.used;
    const isCopied = unused > this.buffer.length * MAX_UNUSED_SHARE;
    this.clear();
    return isCopied ? Buffer.from(bytes) : bytes;
  }

  clear(): void {
    this.buffer = Buffer.alloc(0);
    this.used = 0;
  }
}
