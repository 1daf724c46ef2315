/** Counts and logs how often limits for those who connect act, with few lines however often they do. */
import * as net from 'node:net';
import * as disposable from '../common/disposable';

/** Interval between two lines about the same limit, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 5_000;

/** Limits on what those who connect make a process hold. */
export enum ClientLimit {
  /** Memory of request bodies. */
  Bodies = 'bodies',
  /** Memory of connections, their incomplete heads and requests. */
  Connections = 'connections',
  /** Connections to instances. */
  InstanceConnections = 'instance-connections',
  /** Bytes that the kernel holds for connections. */
  Kernel = 'kernel',
}

/** What a limit did to whom it met. */
export enum LimitAct {
  Refused = 'refused',
  Closed = 'closed',
}

/** How much was held when a limit acted. */
export interface LimitUsage {
  readonly act: LimitAct;
  /** Held for whom the limit met. */
  readonly bytes: number;
  /** Held for all, without what was freed by closing. */
  readonly totalBytes: number;
  readonly maxBytes: number;
  /** Whether the limit cut a request that was being handled. */
  readonly isRequestCut: boolean;
}

/** Acts of a limit since its previous line. */
export interface LimitOccurrences {
  readonly count: number;
  /** How many of them cut a request that was being handled. */
  readonly cutRequests: number;
  /** Whom the limit met last. */
  readonly last: string;
  /** Of the last act; undefined for limits that do not tell. */
  readonly usage: LimitUsage | undefined;
}

/** Writes a line about a limit. */
export type LimitLine = (
  limit: ClientLimit,
  occurrences: LimitOccurrences,
) => void;

/** Fields of a line about a limit. */
export function describeOccurrences(
  limit: ClientLimit,
  {count, cutRequests, last, usage}: LimitOccurrences,
): Readonly<Record<string, string | number | undefined>> {
  return {
    limit,
    count,
    last,
    cut_requests: cutRequests,
    act: usage?.act,
    bytes: usage && Math.round(usage.bytes),
    total_bytes: usage && Math.round(usage.totalBytes),
    max_bytes: usage && Math.round(usage.maxBytes),
  };
}

const closedConnections = new WeakMap<net.Socket, ClientLimit>();

/** Records that a limit closes the connection. */
export function recordClose(socket: net.Socket, limit: ClientLimit): void {
  closedConnections.set(socket, limit);
}

/** The limit that closed the connection; undefined if none did. */
export function limitThatClosed(
  socket: net.Socket | undefined,
): ClientLimit | undefined {
  return socket && closedConnections.get(socket);
}

/** Reports the first time that a limit acts at once, and the rest in intervals. */
export class LimitReporter implements disposable.Disposable {
  private readonly pending = new Map<ClientLimit, LimitOccurrences>();
  private readonly recent = new Set<ClientLimit>();
  private readonly timer: disposable.Disposable;

  constructor(
    private readonly onDidAct: (limit: ClientLimit) => void,
    private readonly writeLine: LimitLine,
  ) {
    this.timer = disposable.every(REPORT_INTERVAL_MILLISECONDS, () =>
      this.report(),
    );
  }

  /** Records that a limit acted on an address or customer. */
  record(limit: ClientLimit, last: string, usage?: LimitUsage): void {
    this.onDidAct(limit);
    const {count = 0, cutRequests = 0} = this.pending.get(limit) ?? {};
    const occurrences: LimitOccurrences = {
      count: count + 1,
      cutRequests: cutRequests + (usage?.isRequestCut === true ? 1 : 0),
      last,
      usage,
    };
    if (this.recent.has(limit)) {
      this.pending.set(limit, occurrences);
    } else {
      this.recent.add(limit);
      this.writeLine(limit, occurrences);
    }
  }

  dispose(): void {
    this.timer.dispose();
  }

  private report(): void {
    this.recent.clear();
    for (const [limit, occurrences] of this.pending) {
      this.recent.add(limit);
      this.writeLine(limit, occurrences);
    }
    this.pending.clear();
  }
}
