/** Parses a byte stream of newline-delimited JSON. */
import * as stringDecoder from 'node:string_decoder';

/** Buffers bytes and parses each complete line. */
export class JsonLineParser<T> {
  private readonly decoder = new stringDecoder.StringDecoder('utf8');
  private remainder = '';

  /** Returns the values of the lines that the chunk completes. Throws SyntaxError on a malformed line. */
  push(chunk: Buffer): T[] {
    const lines = (this.remainder + this.decoder.write(chunk)).split('\n');
    this.remainder = lines.pop()!;
    return lines
      .filter(line => line.length > 0)
      .map(line => JSON.parse(line) as T);
  }
}
