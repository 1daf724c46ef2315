/** Samples what a process takes of its machine, with what the kernel holds for its connections. */
import * as fs from 'node:fs';

const SAMPLE_INTERVAL_MILLISECONDS = 50;
const BYTES_PER_KILOBYTE = 1_024;
/** State of a listening socket in the kernel's list. */
const LISTENING = '0A';

/** Ports by which the connections of the process are recognized. */
export interface ConnectionPorts {
  /** Ports that the process listens on. */
  readonly local: readonly number[];
  /** Ports that it connects to. */
  readonly remote: readonly number[];
}

/** Maxima of memory and descriptors since its creation. */
export class UsageSampler {
  /** Most bytes in use at a time: resident, received but not read, and written but not received by the peer. */
  mostBytes = 0;
  mostDescriptors = 0;
  private mostResident = 0;
  private mostQueued = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly pid: number,
    private readonly ports: ConnectionPorts,
  ) {
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MILLISECONDS);
    this.sample();
  }

  stop(): void {
    this.sample();
    clearInterval(this.timer);
  }

  describe(): string {
    const [most, resident, queued] = [
      this.mostBytes,
      this.mostResident,
      this.mostQueued,
    ].map(bytes => Math.round(bytes / 1_000_000));
    return `${most} MB at most (resident ${resident}, in the kernel ${queued}), ${this.mostDescriptors} descriptors`;
  }

  private sample(): void {
    try {
      const status = fs.readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const resident = kilobytes(status, 'VmRSS');
      const peak = kilobytes(status, 'VmHWM');
      const queued = queuedBytes(this.ports);
      const descriptors = fs.readdirSync(`/proc/${this.pid}/fd`).length;
      this.mostResident = Math.max(this.mostResident, peak);
      this.mostQueued = Math.max(this.mostQueued, queued);
      this.mostBytes = Math.max(this.mostBytes, resident + queued, peak);
      this.mostDescriptors = Math.max(this.mostDescriptors, descriptors);
    } catch {
      // The process has ended, which is checked by itself.
    }
  }
}

function kilobytes(status: string, field: string): number {
  const match = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status);
  return Number(match?.[1] ?? 0) * BYTES_PER_KILOBYTE;
}

/** Sum of the queues of all connections with these ports. */
function queuedBytes({local, remote}: ConnectionPorts): number {
  const lines = fs.readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1);
  let sum = 0;
  for (const line of lines) {
    const [, own, peer, state, queues] = line.trim().split(/\s+/);
    if (queues === undefined || state === LISTENING) {
      continue;
    }
    if (local.includes(portOf(own)) || remote.includes(portOf(peer))) {
      const [sent, received] = queues.split(':');
      sum += parseInt(sent, 16) + parseInt(received, 16);
    }
  }
  return sum;
}

function portOf(address: string): number {
  return parseInt(address.split(':')[1], 16);
}
