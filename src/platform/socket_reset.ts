/** Distinguishes a reset connection from one that was closed normally. */
import * as fs from 'node:fs';
import * as net from 'node:net';

interface HandleWithDescriptor {
  readonly fd?: number;
}

/**
 * Whether the peer reset the connection whose end was just reported. libuv
 * reports a reset that arrives together with data as a normal end (its handling
 * of POLLHUP after a partial read); the next read still fails.
 */
export function wasReset(socket: net.Socket): boolean {
  const handle = (socket as unknown as {_handle?: HandleWithDescriptor})
    ._handle;
  if (handle?.fd === undefined || handle.fd < 0) {
    return false;
  }
  try {
    fs.readSync(handle.fd, Buffer.alloc(1), 0, 1, null);
    return false;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'ECONNRESET';
  }
}
