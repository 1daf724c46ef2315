/** Passes TCP connections on, and cuts or silences them on demand. */
import * as net from 'node:net';

/** What a relay does to bytes. */
export enum RelayMode {
  Pass = 'pass',
  /** Connections stay open and carry nothing; new ones pass. */
  SilenceOpen = 'silence-open',
  /** Connections stay open and carry nothing, new ones too. */
  SilenceAll = 'silence-all',
  /** Connections are closed, and new ones refused. */
  Cut = 'cut',
}

interface Pair {
  readonly inner: net.Socket;
  readonly outer: net.Socket;
  isSilent: boolean;
}

/** A relay in front of one address. */
export class TcpRelay {
  private readonly server: net.Server;
  private readonly pairs = new Set<Pair>();
  private mode = RelayMode.Pass;

  constructor(private readonly targetPort: number) {
    this.server = net.createServer(inner => this.onConnection(inner));
  }

  /** Address of the relay. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  set(mode: RelayMode): void {
    this.mode = mode;
    for (const pair of this.pairs) {
      if (mode === RelayMode.Cut) {
        pair.inner.destroy();
        pair.outer.destroy();
      }
      pair.isSilent =
        mode === RelayMode.SilenceOpen || mode === RelayMode.SilenceAll;
    }
  }

  dispose(): void {
    this.set(RelayMode.Cut);
    this.server.close();
  }

  private onConnection(inner: net.Socket): void {
    if (this.mode === RelayMode.Cut) {
      inner.destroy();
      return;
    }
    const outer = net.connect(this.targetPort, '127.0.0.1');
    const isSilent = this.mode === RelayMode.SilenceAll;
    const pair: Pair = {inner, outer, isSilent};
    this.pairs.add(pair);
    this.join(pair, inner, outer);
    this.join(pair, outer, inner);
  }

  private join(pair: Pair, from: net.Socket, to: net.Socket): void {
    from.on('data', chunk => {
      if (!pair.isSilent) {
        to.write(chunk);
      }
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.pairs.delete(pair);
      if (!pair.isSilent) {
        to.destroy();
      }
    });
  }
}
