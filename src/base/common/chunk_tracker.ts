/** Follows the framing of a body in chunks (RFC 9112, section 7.1). */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Knows how much content follows without another chunk. Does not check the framing. */
export class ChunkTracker {
  private missing = 0;
  private content = 0;
  private size = 0;
  private hasSize = false;
  private isExtension = false;

  /** Bytes of the current chunk that have not arrived. */
  get missingBytes(): number {
    return this.missing;
  }

  /** Bytes of content so far. */
  get contentBytes(): number {
    return this.content;
  }

  /** Follows the next bytes of the body. */
  push(bytes: Buffer): void {
    let at = 0;
    while (at < bytes.length) {
      if (this.missing > 0) {
        const arrived = Math.min(this.missing, bytes.length - at);
        this.missing -= arrived;
        this.content += arrived;
        at += arrived;
      } else {
        this.pushFraming(bytes[at++]);
      }
    }
  }

  private pushFraming(byte: number): void {
    const digit = this.isExtension ? undefined : hexadecimalDigit(byte);
    if (digit !== undefined) {
      this.size = this.size * 16 + digit;
      this.hasSize = true;
    } else if (byte === LINE_FEED) {
      this.missing = this.hasSize ? this.size : 0;
      this.size = 0;
      this.hasSize = false;
      this.isExtension = false;
    } else if (byte !== CARRIAGE_RETURN) {
      this.isExtension = true;
    }
  }
}

function hexadecimalDigit(byte: number): number | undefined {
  if (byte >= 0x30 && byte <= 0x39) {
    return byte - 0x30;
  }
  const letter = byte | 0x20;
  return letter >= 0x61 && letter <= 0x66 ? letter - 0x57 : undefined;
}
