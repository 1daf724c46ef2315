/** Passes TCP connections on, and cuts, delays or silences them on demand. */
import * as net from 'node:net';

/** What a relay does to bytes. */
export enum RelayMode {
  Pass = 'pass',
  /** Connections stay open and carry nothing; new ones pass. */
  SilenceOpen = 'silence-open',
  /** Connections stay open and carry nothing, new ones too. */
  SilenceAll = 'silence-all',
  /** What comes from the target is lost, on open connections and on new ones. */
  SilenceAnswers = 'silence-answers',
  /** Bytes arrive late. */
  Delay = 'delay',
  /** Connections are reset, and new ones too. */
  Reset = 'reset',
  /** Connections are closed, and new ones refused. */
  Cut = 'cut',
}

/** How late bytes arrive, in milliseconds. */
const DELAY_MILLISECONDS = 300;

/** One direction of a connection. */
interface Direction {
  readonly to: net.Socket;
  readonly isFromTarget: boolean;
  /** Whether bytes were lost; nothing follows them, as on a real connection. */
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

  constructor(
    private readonly targetPort: number,
    private readonly targetIp = '127.0.0.1',
  ) {
    this.server = net.createServer(client => this.onConnection(client));
  }

  /** Address of the relay. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
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
    const connection: Connection = {client: client, target: target, isSilent};
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
      this.connections.delete(connection);
      if (!connection.isSilent) {
        direction.to.destroy();
      }
    });
  }

  private forwardChunk(
    connection: Connection,
    direction: Direction,
    chunk: Buffer,
  ): void {
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

/** Sends the oldest of the delayed bytes; none overtake others. */
function sendNext(direction: Direction): void {
  const chunk = direction.delayed.shift();
  if (chunk !== undefined && !direction.to.destroyed) {
    direction.to.write(chunk);
  }
}

function createDirection(to: net.Socket, isFromTarget: boolean): Direction {
  return {to, isFromTarget: isFromTarget, hasDroppedBytes: false, delayed: []};
}
