/** Bytes that the kernel holds for connections, from its list of them (proc(5), /proc/net/tcp). */
import * as fs from 'node:fs';

const LIST = '/proc/self/net/tcp';
const LISTENING = '0A';

/** Bytes that the kernel holds for a connection. */
export interface KernelQueue {
  /** Written and not acknowledged by the peer. */
  readonly sentBytes: number;
  /** Received and not read. */
  readonly receivedBytes: number;
}

/**
 * Reads the queues of the connections to a local port, by address and port of
 * the peer. Connections over IPv6 are not listed. Rejects where there is no
 * such list.
 */
export async function readQueues(
  port: number,
): Promise<ReadonlyMap<string, KernelQueue>> {
  const text = await fs.promises.readFile(LIST, 'latin1');
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
  const queues = new Map<string, KernelQueue>();
  for (const line of text.split('\n').slice(1)) {
    const [, own, peer, state, sizes] = line.trim().split(/\s+/, 5);
    if (own?.endsWith(suffix) && state !== LISTENING) {
      const [sentBytes, receivedBytes] = sizes
        .split(':')
        .map(size => parseInt(size, 16));
      queues.set(decodeAddress(peer), {sentBytes, receivedBytes});
    }
  }
  return queues;
}

/** The list has addresses as one number in the byte order of the machine, which is little-endian here. */
function decodeAddress(text: string): string {
  const [ip, port] = text.split(':');
  const bytes = Buffer.from(ip, 'hex').reverse();
  return `${bytes.join('.')}:${parseInt(port, 16)}`;
}
