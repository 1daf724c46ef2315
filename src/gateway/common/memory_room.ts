/**
 * Divides the memory that the heap leaves of a machine among answers and
 * bodies of callers. Meant for heaps that grow with the configuration and with
 * other tables: what callers make a gateway hold gives way before the machine
 * is full, and new requests are refused before the heap is.
 */
import * as deliveryBuffers from './delivery_buffers';
import * as machineShares from './machine_shares';

/** Code and runtime, resident without the heap, in bytes. */
const CODE_BYTES = 53_200_000;
/** Heap for which the smallest machine has room beside all shares, in bytes. */
const BASE_HEAP_BYTES = 46_000_000;
/** Least shares of the memory for answers and for bodies. */
const LEAST_ANSWER_SHARE = 0.05;
const LEAST_BODY_SHARE = 0.0125;
/** Shares of the heap's limit that live objects take when new requests begin to be refused, and when they are taken again. */
const FULL_SHARE = 0.85;
const REOPENED_SHARE = 0.75;
/** Time for which the size of a heap counts that has shrunk since, in milliseconds. */
const HELD_MILLISECONDS = 5_000;

/** What the heap of the process takes, in bytes. */
export interface HeapUse {
  /** Memory of the heap, with room that is not in use. */
  readonly totalBytes: number;
  /** Memory of live objects, as far as it is known. */
  readonly liveBytes: number;
  readonly limitBytes: number;
}

/** Memory for what callers make a gateway hold, in bytes. */
export interface CallerRoom {
  readonly answerBytes: number;
  readonly bodyBytes: number;
}

/** What the heap leaves to callers. */
export class MemoryRoom {
  private readonly shares: machineShares.MachineShares;
  private isOverfull = false;
  private largest = 0;
  private largestBefore = 0;
  private windowStartedAt = -Infinity;

  constructor(private readonly machine: machineShares.Machine) {
    this.shares = machineShares.divide(machine);
  }

  /** Whether new requests have to be refused. */
  get isFull(): boolean {
    return this.isOverfull;
  }

  /** Takes the size of the heap into account; returns what it leaves to callers. */
  update(heap: HeapUse, now: number): CallerRoom {
    const share = heap.liveBytes / heap.limitBytes;
    this.isOverfull = share > (this.isOverfull ? REOPENED_SHARE : FULL_SHARE);
    if (now - this.windowStartedAt >= HELD_MILLISECONDS) {
      this.largestBefore = this.largest;
      this.largest = 0;
      this.windowStartedAt = now;
    }
    this.largest = Math.max(this.largest, heap.totalBytes);
    return this.divide(Math.max(this.largest, this.largestBefore));
  }

  /** Answers give way first, since whole bodies cannot. */
  private divide(heapBytes: number): CallerRoom {
    const {shares} = this;
    const machineBytes = machineShares.bytesOf(this.machine);
    const mostAnswerBytes = machineBytes * deliveryBuffers.TOTAL_SHARE;
    const servers = [
      shares.callerServer,
      shares.peerServer,
      shares.observabilityServer,
      shares.observabilityServer,
    ];
    const spareBytes = servers.reduce(
      (bytes, each) => bytes - each.maxBytes - each.maxKernelBytes,
      machineBytes -
        CODE_BYTES -
        BASE_HEAP_BYTES -
        mostAnswerBytes -
        2 * shares.bodyBytes,
    );
    const excessBytes = heapBytes - BASE_HEAP_BYTES - Math.max(0, spareBytes);
    const answerBytes = within(
      machineBytes * LEAST_ANSWER_SHARE,
      mostAnswerBytes - excessBytes,
      mostAnswerBytes,
    );
    const restBytes = excessBytes - (mostAnswerBytes - answerBytes);
    const bodyBytes = within(
      machineBytes * LEAST_BODY_SHARE,
      shares.bodyBytes - restBytes / 2,
      shares.bodyBytes,
    );
    return {answerBytes, bodyBytes};
  }
}

function within(least: number, value: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
