/**
 * Collects the buffers of network input early. The engine collects memory
 * outside its heap after 64 MB of it only, which is much of a small machine.
 */

/** Bytes of input after which the buffers that held them are collected. */
const COLLECTED_BYTES = 8_000_000;

interface Collector {
  gc?: (options: {type: 'minor'}) => void;
}

let uncollectedBytes = 0;

/** Records input that was copied from its buffers. Does nothing unless the process runs with `--expose-gc`. */
export function recordInput(bytes: number): void {
  uncollectedBytes += bytes;
  if (uncollectedBytes >= COLLECTED_BYTES) {
    uncollectedBytes = 0;
    (globalThis as Collector).gc?.({type: 'minor'});
  }
}
