/** Forwards TCP connections, and closes, resets, delays or blocks them on demand. */
import * as net from 'node:net';

/** How a relay treats connections and their bytes. */
export enum RelayMode {
  Pass = 'pass',
  /** Existing connections stay open but forward nothing; new ones work. */
  SilenceOpen = 'silence-open',
  /** Existing and new connections stay open but forward nothing. */
  SilenceAll = 'silence-all',
  /** Bytes from the target are dropped, on existing and new connections. */
  SilenceAnswers = 'silence-answers',
  /** Bytes are forwarded after a delay. */
  Delay = 'delay',
  /** Existing and new connections are reset. */
  Reset = 'reset',
  /** Existing connections are closed, and new ones as soon as they open. */
  Cut = 'cut',
}

/** Delay of bytes in mode Delay, in milliseconds. */
const DELAY_MILLISECONDS = 300;

/** One direction of a connection. */
interface Direction {
  readonly to: net.Socket;
  readonly isFromTarget: boolean;
  /** Whether bytes were dropped; later bytes are dropped too, as on a real connection. */
  hasDroppedBytes: boolean;
  readonly delayed: Buffer[];
}

interface Connection {
  readonly client: net.Socket;
  readonly target: net.Socket;
  isSilent: boolean;
}

/** A relay in front of one address. */
export class TcpRelay {
  private readonly server: net.Server;
  private readonly connections = new Set<Connection>();
  private mode = RelayMode.Pass;
  private fromTargetBytes = 0;

  constructor(
    private readonly targetPort: number,
    private readonly targetIp = '127.0.0.1',
  ) {
    this.server = net.createServer(client => this.onConnection(client));
  }

  /** Listens on a free port of the loopback; returns IP and port. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Number of bytes that the target has sent. */
  get bytesFromTarget(): number {
    return this.fromTargetBytes;
  }

  /** Whether bytes are forwarded without interference. */
  get isPassing(): boolean {
    return this.mode === RelayMode.Pass;
  }

  setMode(mode: RelayMode): void {
    this.mode = mode;
    for (const connection of this.connections) {
      if (mode === RelayMode.Cut) {
        connection.client.destroy();
        connection.target.destroy();
      }
      if (mode === RelayMode.Reset) {
        connection.client.resetAndDestroy();
        connection.target.destroy();
      }
      connection.isSilent =
        mode === RelayMode.SilenceOpen || mode === RelayMode.SilenceAll;
    }
  }

  dispose(): void {
    this.setMode(RelayMode.Cut);
    this.server.close();
  }

  private onConnection(client: net.Socket): void {
    if (this.mode === RelayMode.Cut) {
      client.destroy();
      return;
    }
    if (this.mode === RelayMode.Reset) {
      client.resetAndDestroy();
      return;
    }
    const target = net.connect(this.targetPort, this.targetIp);
    const isSilent = this.mode === RelayMode.SilenceAll;
    const connection: Connection = {client, target, isSilent};
    this.connections.add(connection);
    this.forward(connection, client, createDirection(target, false));
    this.forward(connection, target, createDirection(client, true));
  }

  private forward(
    connection: Connection,
    from: net.Socket,
    direction: Direction,
  ): void {
    from.on('data', chunk => this.forwardChunk(connection, direction, chunk));
    from.on('error', () => undefined);
    from.on('close', () => {
      if (!connection.isSilent) {
        direction.to.destroy();
      }
      // The other end of a silent connection stays open until the relay is disposed of.
      if (direction.to.destroyed) {
        this.connections.delete(connection);
      }
    });
  }

  private forwardChunk(
    connection: Connection,
    direction: Direction,
    chunk: Buffer,
  ): void {
    this.fromTargetBytes += direction.isFromTarget ? chunk.length : 0;
    direction.hasDroppedBytes ||=
      connection.isSilent ||
      (direction.isFromTarget && this.mode === RelayMode.SilenceAnswers);
    if (direction.hasDroppedBytes) {
      return;
    }
    if (this.mode === RelayMode.Delay || direction.delayed.length > 0) {
      direction.delayed.push(chunk);
      setTimeout(() => sendNext(direction), DELAY_MILLISECONDS);
      return;
    }
    direction.to.write(chunk);
  }
}

/** Sends the oldest delayed chunk, which keeps the order of bytes. */
function sendNext(direction: Direction): void {
  const chunk = direction.delayed.shift();
  if (chunk !== undefined && !direction.to.destroyed) {
    direction.to.write(chunk);
  }
}

function createDirection(to: net.Socket, isFromTarget: boolean): Direction {
  return {to, isFromTarget, hasDroppedBytes: false, delayed: []};
}
