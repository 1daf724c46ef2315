/** Splits a stream of server-sent events at event boundaries, so that only complete events are delivered. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

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
  private remainder: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /** Adds bytes and returns the events they complete; undefined when there are none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    const ends = eventEnds(bytes);
    const end = ends[ends.length - 1] ?? 0;
    this.remainder = bytes.subarray(end);
    if (end === 0) {
      return undefined;
    }
    const starts = [0, ...ends.slice(0, -1)];
    const ids = starts.map((start, index) =>
      eventId(bytes.toString('latin1', start, ends[index])),
    );
    return {bytes: bytes.subarray(0, end), ids, ends};
  }
}

/** Returns the offset after each empty line. */
function eventEnds(bytes: Buffer): number[] {
  const ends: number[] = [];
  let lineStart = 0;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) {
      return ends;
    }
    const isEmpty =
      lineEnd === lineStart ||
      (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    lineStart = lineEnd + 1;
    if (isEmpty) {
      ends.push(lineStart);
    }
  }
}

function eventId(text: string): string {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(text)?.[1] ?? '';
}
