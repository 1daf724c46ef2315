/** Reads files whose size is not trusted. */
import * as fs from 'node:fs';
import * as neverthrow from 'neverthrow';

/** Maximum size of a file, in bytes. */
export const MAX_FILE_BYTES = 16 * 1024 * 1024;
/** Size of one read, in bytes. */
const CHUNK_BYTES = 1024 * 1024;

/** Reads a text file. Reads at most one byte over the bound, since a pipe or device has no size. Errors: the reason. */
export function readBoundedFile(
  path: string,
): neverthrow.Result<string, string> {
  let file: number | undefined;
  try {
    file = fs.openSync(path, 'r');
    const bytes = readUpTo(file, MAX_FILE_BYTES + 1);
    return bytes.length > MAX_FILE_BYTES
      ? neverthrow.err(`over ${MAX_FILE_BYTES} bytes`)
      : neverthrow.ok(bytes.toString('utf8'));
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    return neverthrow.err(`cannot be read (${reason})`);
  } finally {
    if (file !== undefined) {
      fs.closeSync(file);
    }
  }
}

function readUpTo(file: number, limit: number): Buffer {
  const chunks: Buffer[] = [];
  let length = 0;
  while (length < limit) {
    const chunk = Buffer.allocUnsafe(Math.min(CHUNK_BYTES, limit - length));
    const count = fs.readSync(file, chunk);
    if (count === 0) {
      break;
    }
    chunks.push(chunk.subarray(0, count));
    length += count;
  }
  return Buffer.concat(chunks, length);
}
