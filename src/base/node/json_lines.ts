/** Splits a byte stream into JSON values, one a line. */
import * as stringDecoder from 'node:string_decoder';

/** Collects bytes and yields each complete line. */
export class JsonLineParser<T> {
  private readonly decoder = new stringDecoder.StringDecoder('utf8');
  private rest = '';

  /** Returns the values completed by the chunk. Throws SyntaxError on a malformed line. */
  push(chunk: Buffer): T[] {
    const lines = (this.rest + this.decoder.write(chunk)).split('\n');
    this.rest = lines.pop()!;
    return lines
      .filter(line => line.length > 0)
      .map(line => JSON.parse(line) as T);
  }
}
