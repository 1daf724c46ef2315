/** Limits what is read of responses whose size the other side determines. */
import * as http from 'node:http';
import * as growingBuffer from '../common/growing_buffer';

/** Maximum number of interim responses (RFC 9110, section 15.2) before the final one. */
const MAX_INTERIM_RESPONSES = 8;

/** Closes the connection of a request that gets interim responses without end. */
export function limitInterimResponses(request: http.ClientRequest): void {
  let count = 0;
  request.on('information', () => {
    if (++count > MAX_INTERIM_RESPONSES) {
      request.destroy();
    }
  });
}

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
