/**
 * Reads large JSON text in parts, so that neither the whole text nor all of
 * its values are in the heap at a time. Parts that are not read are only
 * checked for their nesting.
 */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPEN_ARRAY = 0x5b;
const CLOSE_ARRAY = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

/** Depth of nesting up to which text is read. */
const MAX_DEPTH = 1_000;
/** Size from which on the end of an object or array is kept, so that it need not be found again, in bytes. */
const INDEXED_BYTES = 4_096;
/** Size of the text that is parsed at a time, in bytes. */
const BATCH_BYTES = 16_384;

/** A text, and where its large objects and arrays end by where they begin. */
interface Source {
  readonly bytes: Buffer;
  readonly ends: ReadonlyMap<number, number>;
}

/** The text of one JSON value. All methods throw a SyntaxError if the text is malformed where they read it. */
export class JsonSlice {
  private constructor(
    private readonly source: Source,
    private readonly start: number,
    private readonly end: number,
  ) {}

  /** The whole text. */
  static of(bytes: Buffer): JsonSlice {
    const source = {bytes, ends: findEnds(bytes)};
    const start = skipSpace(bytes, 0);
    const end = skipValue(source, start);
    if (skipSpace(bytes, end) < bytes.length) {
      throw malformed(end);
    }
    return new JsonSlice(source, start, end);
  }

  get isObject(): boolean {
    return this.source.bytes[this.start] === OPEN_OBJECT;
  }

  get isArray(): boolean {
    return this.source.bytes[this.start] === OPEN_ARRAY;
  }

  /** The value, with all that it holds. */
  parse(): unknown {
    return JSON.parse(this.textUntil(this));
  }

  /** Members of an object by name; of several with one name the last. */
  members(): Map<string, JsonSlice> {
    const {bytes} = this.source;
    const members = new Map<string, JsonSlice>();
    let at = skipSpace(bytes, this.start + 1);
    while (bytes[at] !== CLOSE_OBJECT) {
      if (bytes[at] !== QUOTE) {
        throw malformed(at);
      }
      const name = new JsonSlice(this.source, at, skipString(bytes, at));
      const colon = skipSpace(bytes, name.end);
      if (bytes[colon] !== COLON) {
        throw malformed(colon);
      }
      const value = this.sliceAt(skipSpace(bytes, colon + 1));
      members.set(String(name.parse()), value);
      at = this.next(value, CLOSE_OBJECT);
    }
    return members;
  }

  /** Elements of an array, one after the other. */
  *elements(): Generator<JsonSlice> {
    const {bytes} = this.source;
    let at = skipSpace(bytes, this.start + 1);
    while (bytes[at] !== CLOSE_ARRAY) {
      const value = this.sliceAt(at);
      yield value;
      at = this.next(value, CLOSE_ARRAY);
    }
  }

  /** Values of the elements of an array, parsed in small groups. */
  *values(): Generator<unknown> {
    let first: JsonSlice | undefined;
    let last: JsonSlice | undefined;
    for (const element of this.elements()) {
      if (first !== undefined && element.end - first.start > BATCH_BYTES) {
        yield* first.parseUntil(last!);
        first = undefined;
      }
      first ??= element;
      last = element;
    }
    if (first !== undefined) {
      yield* first.parseUntil(last!);
    }
  }

  private parseUntil(last: JsonSlice): unknown[] {
    return JSON.parse(`[${this.textUntil(last)}]`) as unknown[];
  }

  private textUntil(last: JsonSlice): string {
    return this.source.bytes.toString('utf8', this.start, last.end);
  }

  private sliceAt(at: number): JsonSlice {
    return new JsonSlice(this.source, at, skipValue(this.source, at));
  }

  /** Where the value after this one begins, or the closing bracket is. */
  private next({end}: JsonSlice, closing: number): number {
    const {bytes} = this.source;
    const at = skipSpace(bytes, end);
    if (bytes[at] === closing) {
      return at;
    }
    const next = skipSpace(bytes, at + 1);
    if (bytes[at] !== COMMA || bytes[next] === closing) {
      throw malformed(at);
    }
    return next;
  }
}

/** Thrown when an array has more elements than are read. */
export class TooManyElements extends Error {}

/** The values of an array, parsed when they are read. */
export class JsonList implements Iterable<unknown> {
  constructor(
    private readonly slice: JsonSlice,
    private readonly maxLength = Infinity,
  ) {}

  /** Throws `TooManyElements` at the first value beyond the maximum. */
  *[Symbol.iterator](): Generator<unknown> {
    let count = 0;
    for (const value of this.slice.values()) {
      if (++count > this.maxLength) {
        throw new TooManyElements(`JSON text: over ${this.maxLength} elements`);
      }
      yield value;
    }
  }
}

function malformed(at: number): SyntaxError {
  return new SyntaxError(`JSON text: malformed at byte ${at}`);
}

function skipSpace(bytes: Buffer, from: number): number {
  let at = from;
  while (at < bytes.length && isSpace(bytes[at])) {
    at++;
  }
  return at;
}

function isSpace(byte: number): boolean {
  return byte === 0x20 || byte === 0x0a || byte === 0x0d || byte === 0x09;
}

function skipString(bytes: Buffer, from: number): number {
  for (let at = from + 1; at < bytes.length; at++) {
    if (bytes[at] === BACKSLASH) {
      at++;
    } else if (bytes[at] === QUOTE) {
      return at + 1;
    }
  }
  throw malformed(from);
}

/** Finds where large objects and arrays end, which also checks the nesting of all. */
function findEnds(bytes: Buffer): Map<number, number> {
  const ends = new Map<number, number>();
  const starts: number[] = [];
  for (let at = 0; at < bytes.length; at++) {
    const byte = bytes[at];
    if (byte === QUOTE) {
      at = skipString(bytes, at) - 1;
    } else if (byte === OPEN_ARRAY || byte === OPEN_OBJECT) {
      if (starts.push(at) > MAX_DEPTH) {
        throw malformed(at);
      }
    } else if (byte === CLOSE_ARRAY || byte === CLOSE_OBJECT) {
      const start = starts.pop();
      if (start === undefined) {
        throw malformed(at);
      }
      if (at - start >= INDEXED_BYTES) {
        ends.set(start, at + 1);
      }
    }
  }
  if (starts.length > 0) {
    throw malformed(bytes.length);
  }
  return ends;
}

/** Returns where the value ends that begins at a place. */
function skipValue({bytes, ends}: Source, from: number): number {
  const first = bytes[from];
  if (first === QUOTE) {
    return skipString(bytes, from);
  }
  if (first !== OPEN_ARRAY && first !== OPEN_OBJECT) {
    return skipScalar(bytes, from);
  }
  return ends.get(from) ?? skipNested(bytes, from);
}

function skipNested(bytes: Buffer, from: number): number {
  let depth = 0;
  for (let at = from; at < bytes.length; at++) {
    const byte = bytes[at];
    if (byte === QUOTE) {
      at = skipString(bytes, at) - 1;
    } else if (byte === OPEN_ARRAY || byte === OPEN_OBJECT) {
      depth++;
    } else if (byte === CLOSE_ARRAY || byte === CLOSE_OBJECT) {
      depth--;
      if (depth === 0) {
        return at + 1;
      }
    }
  }
  throw malformed(from);
}

/** Returns where a number or a literal ends; whether it is one shows when it is parsed. */
function skipScalar(bytes: Buffer, from: number): number {
  let at = from;
  while (at < bytes.length && !isSpace(bytes[at]) && !isEnd(bytes[at])) {
    at++;
  }
  if (at === from) {
    throw malformed(from);
  }
  return at;
}

function isEnd(byte: number): boolean {
  return byte === COMMA || byte === CLOSE_ARRAY || byte === CLOSE_OBJECT;
}
