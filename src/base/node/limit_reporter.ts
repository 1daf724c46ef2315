/** Counts and logs how often limits for those who connect act, with few lines however often they do. */
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

/** Writes a line about a limit: how often it acted, and whom it met last. */
export type LimitLine = (
  limit: ClientLimit,
  count: number,
  who: string,
) => void;

interface Occurrences {
  count: number;
  who: string;
}

/** Reports the first time that a limit acts at once, and the rest in intervals. */
export class LimitReporter implements disposable.Disposable {
  private readonly pending = new Map<ClientLimit, Occurrences>();
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
  record(limit: ClientLimit, who: string): void {
    this.onDidAct(limit);
    if (!this.recent.has(limit)) {
      this.recent.add(limit);
      this.writeLine(limit, 1, who);
      return;
    }
    const occurrences = this.pending.get(limit) ?? {count: 0, who};
    occurrences.count++;
    occurrences.who = who;
    this.pending.set(limit, occurrences);
  }

  dispose(): void {
    this.timer.dispose();
  }

  private report(): void {
    this.recent.clear();
    for (const [limit, {count, who}] of this.pending) {
      this.recent.add(limit);
      this.writeLine(limit, count, who);
    }
    this.pending.clear();
  }
}
