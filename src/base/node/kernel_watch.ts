/** Closes connections for which the kernel holds too much, as of peers that leave their answers unread. */
import * as disposable from '../common/disposable';
import * as guardedConnection from './guarded_connection';
import * as kernelQueues from './kernel_queues';
import * as limitReporter from './limit_reporter';

/** Interval of checks of all connections while requests are handled, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;
/** Shortest time between two readings of the kernel's list, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 50;
/**
 * Multiple of the bound from which connections are closed by what was written
 * to them, without waiting for the kernel's list: more than links transfer
 * while it is read.
 */
const UNREAD_LIST_FACTOR = 2;

/** Bytes that the kernel may receive for a connection before it is read on; more if the connection was read quickly before. */
const RECEIVE_BYTES = 131_072;

const EMPTY: kernelQueues.KernelQueue = {sentBytes: 0, receivedBytes: 0};

/** A connection and the bytes that the kernel holds for it. */
type ConnectionSize = readonly [guardedConnection.GuardedConnection, number];

/** Bytes that the kernel holds, or may hold, when a connection is closed. */
export type KernelUsage = Pick<
  limitReporter.LimitUsage,
  'bytes' | 'totalBytes' | 'maxBytes'
>;

/** What the watch needs of a server. */
export interface WatchedConnections {
  readonly port: number;
  all(): Iterable<guardedConnection.GuardedConnection>;
  onDidClose(
    connection: guardedConnection.GuardedConnection,
    usage: KernelUsage,
  ): void;
}

/**
 * What the kernel has taken of an answer is not known to a program. The bytes
 * written bound it; only when these exceed the bound, the kernel is asked.
 */
export class KernelWatch implements disposable.Disposable {
  /** Undefined while no check is due. */
  private timer: NodeJS.Timeout | undefined;
  /** Bytes that the kernel may have taken since the last check. */
  private recentBytes = 0;
  private isReading = false;
  private readAt = -Infinity;

  constructor(
    private readonly connections: WatchedConnections,
    private readonly maxBytes: number,
  ) {}

  /** Checks the connections for as long as requests are handled. */
  start(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.check();
    }, CHECK_INTERVAL_MILLISECONDS).unref();
  }

  /** Records that an answer was handed to the kernel. */
  recordWrite(connection: guardedConnection.GuardedConnection): void {
    this.recordBytes(connection.unconfirmedBytes);
  }

  /** Records that a connection is not read on. */
  recordBlock(): void {
    this.recordBytes(RECEIVE_BYTES);
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  private recordBytes(bytes: number): void {
    this.recentBytes += bytes;
    if (this.recentBytes > this.maxBytes) {
      this.check();
    }
  }

  private check(): void {
    this.recentBytes = 0;
    const sizes: ConnectionSize[] = [];
    let receivedBytes = 0;
    let isActive = false;
    for (const each of this.connections.all()) {
      isActive ||= each.hasActiveRequest;
      sizes.push([each, each.unconfirmedBytes]);
      receivedBytes += each.isWaiting ? RECEIVE_BYTES : 0;
    }
    const sentBytes = sumOf(sizes);
    if (sentBytes > this.maxBytes * UNREAD_LIST_FACTOR) {
      this.closeLargest(sizes, this.maxBytes * UNREAD_LIST_FACTOR);
    }
    const isDue = performance.now() - this.readAt >= READ_INTERVAL_MILLISECONDS;
    if (isActive) {
      this.start();
    }
    const mayExceed = sentBytes + receivedBytes > this.maxBytes;
    if (mayExceed && isDue && !this.isReading) {
      void this.readList();
    }
  }

  private async readList(): Promise<void> {
    this.isReading = true;
    try {
      const queues = await kernelQueues.readQueues(this.connections.port);
      const sizes: ConnectionSize[] = [];
      for (const each of this.connections.all()) {
        const {sentBytes, receivedBytes} = queues.get(each.peer) ?? EMPTY;
        each.confirm(sentBytes);
        sizes.push([each, sentBytes + receivedBytes]);
      }
      this.closeLargest(sizes, this.maxBytes);
    } catch {
      // Without the list, the peers are assumed to read; the bound by bytes written remains.
      for (const each of this.connections.all()) {
        each.confirm(0);
      }
    } finally {
      this.isReading = false;
      this.readAt = performance.now();
    }
  }

  private closeLargest(sizes: ConnectionSize[], maxBytes: number): void {
    let rest = sumOf(sizes);
    const descending = sizes.sort((left, right) => right[1] - left[1]);
    for (const [connection, bytes] of descending) {
      if (rest <= maxBytes) {
        return;
      }
      const usage = {bytes, totalBytes: rest, maxBytes};
      rest -= bytes;
      this.connections.onDidClose(connection, usage);
      connection.reset(limitReporter.ClientLimit.Kernel);
    }
  }
}

function sumOf(sizes: readonly ConnectionSize[]): number {
  return sizes.reduce((sum, [, bytes]) => sum + bytes, 0);
}
