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
interface Way {
  readonly to: net.Socket;
  readonly isAnswer: boolean;
  /** Whether bytes were lost; nothing follows them, as on a real connection. */
  hasLost: boolean;
  readonly delayed: Buffer[];
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

  constructor(
    private readonly targetPort: number,
    private readonly targetIp = '127.0.0.1',
  ) {
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
      if (mode === RelayMode.Reset) {
        pair.inner.resetAndDestroy();
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
    if (this.mode === RelayMode.Reset) {
      inner.resetAndDestroy();
      return;
    }
    const outer = net.connect(this.targetPort, this.targetIp);
    const isSilent = this.mode === RelayMode.SilenceAll;
    const pair: Pair = {inner, outer, isSilent};
    this.pairs.add(pair);
    this.join(pair, inner, createWay(outer, false));
    this.join(pair, outer, createWay(inner, true));
  }

  private join(pair: Pair, from: net.Socket, way: Way): void {
    from.on('data', chunk => this.pass(pair, way, chunk));
    from.on('error', () => undefined);
    from.on('close', () => {
      this.pairs.delete(pair);
      if (!pair.isSilent) {
        way.to.destroy();
      }
    });
  }

  private pass(pair: Pair, way: Way, chunk: Buffer): void {
    way.hasLost ||=
      pair.isSilent || (way.isAnswer && this.mode === RelayMode.SilenceAnswers);
    if (way.hasLost) {
      return;
    }
    if (this.mode === RelayMode.Delay || way.delayed.length > 0) {
      way.delayed.push(chunk);
      setTimeout(() => sendNext(way), DELAY_MILLISECONDS);
      return;
    }
    way.to.write(chunk);
  }
}

/** Sends the oldest of the delayed bytes; none overtake others. */
function sendNext(way: Way): void {
  const chunk = way.delayed.shift();
  if (chunk !== undefined && !way.to.destroyed) {
    way.to.write(chunk);
  }
}

function createWay(to: net.Socket, isAnswer: boolean): Way {
  return {to, isAnswer, hasLost: false, delayed: []};
}
