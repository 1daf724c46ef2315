/** Crowds of connections that send in one way, and do not read unless they say so. */
import * as net from 'node:net';
import * as countingReplica from './counting_replica';
import * as testGateway from './test_gateway';

const {HOST, KEY} = testGateway;

/** Time after which a closed connection is opened again, in milliseconds. */
const RETURN_MILLISECONDS = 50;
/** Time for which a crowd stays after it has begun, in milliseconds. */
const STAY_MILLISECONDS = 4_000;
const ORDINARY_INTERVAL_MILLISECONDS = 500;
const ANSWER_HEAD = /HTTP\/1\.1 (\d{3})[^]*?\r\n\r\n/g;
/** Statuses that promise that a request did not run and never will. */
const PROMISES = ['408', '421', '429', '503'];

/** What one connection sends. */
export interface Sending {
  /** Bytes in the order in which they are sent; each is written when the one before was taken by the kernel. */
  readonly parts: Iterable<Buffer>;
  /** Ids of the requests in the order of their answers; empty if they do not matter. */
  readonly attemptIds?: readonly string[];
}

/** How a crowd behaves. */
export interface CrowdOptions {
  readonly port: number;
  readonly connections: number;
  readonly send: () => Sending;
  /** Whether closed connections are opened again. */
  readonly returns?: boolean;
  /** Whether answers are read. */
  readonly reads?: boolean;
}

/** Many connections that do the same. */
export class Crowd {
  /** Requests that were refused with a promise that they did not run. */
  readonly refusedIds: string[] = [];
  private readonly sockets = new Set<net.Socket>();
  private isOver = false;

  constructor(private readonly options: CrowdOptions) {}

  /** Opens the connections, keeps them for some seconds beside ordinary calls, and closes them. Returns the number of ordinary calls that were answered while it lasted, and of all. */
  async run(
    call: () => Promise<countingReplica.Answer | undefined>,
  ): Promise<string> {
    for (let index = 0; index < this.options.connections; index++) {
      this.open();
    }
    let sent = 0;
    let answered = 0;
    const calls = setInterval(() => {
      sent++;
      void call().then(
        answer => (answered += !this.isOver && answer?.status === 200 ? 1 : 0),
      );
    }, ORDINARY_INTERVAL_MILLISECONDS);
    await new Promise(resolve => setTimeout(resolve, STAY_MILLISECONDS));
    clearInterval(calls);
    this.isOver = true;
    this.sockets.forEach(socket => socket.destroy());
    return `${answered} of ${sent} ordinary calls answered meanwhile`;
  }

  private open(): void {
    const {port, send, returns = false, reads = false} = this.options;
    const socket = net.connect({port, host: '127.0.0.1', noDelay: true});
    this.sockets.add(socket);
    const {parts, attemptIds = []} = send();
    let received = '';
    if (reads) {
      socket.on('data', chunk => (received += chunk.toString('latin1')));
    } else {
      socket.pause();
    }
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.recordRefusals(received, attemptIds);
      if (returns && !this.isOver) {
        setTimeout(() => this.isOver || this.open(), RETURN_MILLISECONDS);
      }
    });
    writeAll(socket, parts[Symbol.iterator]());
  }

  private recordRefusals(received: string, attemptIds: readonly string[]) {
    const statuses = [...received.matchAll(ANSWER_HEAD)].map(head => head[1]);
    const finals = statuses.filter(status => status !== '100');
    finals.forEach((status, index) => {
      if (PROMISES.includes(status) && attemptIds[index] !== undefined) {
        this.refusedIds.push(attemptIds[index]);
      }
    });
  }
}

function writeAll(socket: net.Socket, parts: Iterator<Buffer>): void {
  const next = () => {
    const {value, done} = parts.next();
    if (done !== true && !socket.destroyed) {
      socket.write(value, () => setImmediate(next));
    }
  };
  next();
}

/** Repeats the part for as long as it is taken. */
export function* endlessly(part: Buffer): Iterable<Buffer> {
  for (;;) {
    yield part;
  }
}

/** Splits bytes into parts of a size. */
export function* pieces(bytes: Buffer, size: number): Iterable<Buffer> {
  for (let at = 0; at < bytes.length; at += size) {
    yield bytes.subarray(at, at + size);
  }
}

/** Head of a request with a key and a route, and further header lines. */
export function head(
  attemptId: string,
  lines: readonly string[],
  target = '/file/crowd',
): string {
  return [
    `POST ${target} HTTP/1.1`,
    `Host: ${HOST}`,
    `Authorization: Bearer ${KEY}`,
    `X-Rhubarbvane-Attempt-Id: ${attemptId}`,
    'X-Rhubarbvane-Deadline-Ms: 30000',
    ...lines,
    '\r\n',
  ].join('\r\n');
}

/** One request whose body stops short of its end. */
export function unfinished(
  lines: readonly string[],
  body: () => Iterable<Buffer>,
  target?: string,
): Sending {
  const id = countingReplica.nextAttemptId();
  const parts = function* () {
    yield Buffer.from(head(id, lines, target));
    yield* body();
  };
  return {parts: parts(), attemptIds: [id]};
}
