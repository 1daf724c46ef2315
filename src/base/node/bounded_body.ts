/** Limits what is read of responses whose size the other side determines. */
import * as http from 'node:http';
import * as growingBuffer from '../common/growing_buffer';

/** Resolves with the whole body; with undefined if it ends early or exceeds the maximum, upon which its connection is closed. */
export function collect(
  response: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const body = new growingBuffer.GrowingBuffer();
    response.on('data', (chunk: Buffer) => {
      if (body.length + chunk.length > maxBytes) {
        body.clear();
        resolve(undefined);
        response.destroy();
        return;
      }
      body.append(chunk);
    });
    response.once('end', () =>
      resolve(response.complete ? body.take() : undefined),
    );
    response.once('error', () => resolve(undefined));
    response.once('close', () => resolve(undefined));
  });
}
