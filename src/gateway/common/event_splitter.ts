/** Splits a stream of server-sent events at event boundaries, so that only complete events are delivered. */
import * as growingBuffer from '../../base/common/growing_buffer';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Maximum size of one event, in bytes; an event holds a few tokens. */
export const MAX_EVENT_BYTES = 262_144;

/** Complete events as received. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Ids of the events in order; an empty string for an event without an id. */
  readonly ids: readonly string[];
  /** Offset in `bytes` at which each event ends. */
  readonly ends: readonly number[];
}

/** Buffers bytes and returns the events that are complete. */
export class EventSplitter {
  private readonly pending = new growingBuffer.GrowingBuffer();
  private readonly scanner = new EventEndScanner();
  private hasOversizedEvent = false;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Whether an event exceeded the maximum size; no further events are returned then. */
  get isOversized(): boolean {
    return this.hasOversizedEvent;
  }

  /** Adds bytes and returns the events they complete; undefined when there are none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    if (this.isOversized) {
      return undefined;
    }
    const ends = this.scanner.scan(chunk);
    const firstEnd = ends[0] ?? chunk.length;
    const lastEnd = ends[ends.length - 1] ?? 0;
    const isTooLarge =
      this.pending.length + firstEnd > MAX_EVENT_BYTES ||
      chunk.length - lastEnd > MAX_EVENT_BYTES;
    if (isTooLarge) {
      this.hasOversizedEvent = true;
      this.pending.clear();
      return undefined;
    }
    if (lastEnd === 0) {
      this.pending.append(chunk);
      return undefined;
    }
    const offset = this.pending.length;
    const completed = chunk.subarray(0, lastEnd);
    const bytes =
      offset === 0
        ? completed
        : Buffer.concat([this.pending.take(), completed]);
    this.pending.append(chunk.subarray(lastEnd));
    const shifted = ends.map(end => end + offset);
    const starts = [0, ...shifted.slice(0, -1)];
    const ids = starts.map((start, index) =>
      eventId(bytes.toString('latin1', start, shifted[index])),
    );
    return {bytes, ids, ends: shifted};
  }
}

/** Finds the ends of events, each byte of the stream being examined once. */
class EventEndScanner {
  /** Number of bytes of the current line in earlier chunks. */
  private carriedLength = 0;
  private isCarriedReturn = false;

  /** Returns the offset after each empty line in the next chunk of the stream. */
  scan(chunk: Buffer): number[] {
    const ends: number[] = [];
    let lineStart = 0;
    for (;;) {
      const lineEnd = chunk.indexOf(LINE_FEED, lineStart);
      if (lineEnd < 0) {
        this.carry(chunk, lineStart);
        return ends;
      }
      if (this.isEmptyLine(chunk, lineStart, lineEnd)) {
        ends.push(lineEnd + 1);
      }
      this.carriedLength = 0;
      lineStart = lineEnd + 1;
    }
  }

  private isEmptyLine(chunk: Buffer, start: number, end: number): boolean {
    const length = this.carriedLength + end - start;
    const isReturn =
      this.carriedLength === 0
        ? chunk[start] === CARRIAGE_RETURN
        : this.isCarriedReturn;
    return length === 0 || (length === 1 && isReturn);
  }

  private carry(chunk: Buffer, lineStart: number): void {
    if (this.carriedLength === 0) {
      this.isCarriedReturn = chunk[lineStart] === CARRIAGE_RETURN;
    }
    this.carriedLength += chunk.length - lineStart;
  }
}

function eventId(text: string): string {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(text)?.[1] ?? '';
}
