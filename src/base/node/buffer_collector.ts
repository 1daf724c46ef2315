/**
 * Collects the buffers of network input early. The engine collects memory
 * outside its heap after 64 MB of it only, which is much of a small machine.
 */
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

/** Bytes of input after which the buffers that held them are collected. */
const COLLECTED_BYTES = 4_000_000;

type Collector = (options: {type: 'minor' | 'major'}) => void;

let collector: Collector | undefined;
let uncollectedBytes = 0;

/** Records input whose buffers are not used any more. */
export function recordInput(bytes: number): void {
  uncollectedBytes += bytes;
  if (uncollectedBytes >= COLLECTED_BYTES) {
    uncollectedBytes = 0;
    collect('minor');
  }
}

/** Collects the whole heap, for which the process stands still. */
export function collectHeap(): void {
  collect('major');
}

function collect(type: 'minor' | 'major'): void {
  collector ??= exposeCollector();
  collector({type});
}

function exposeCollector(): Collector {
  v8.setFlagsFromString('--expose-gc');
  return vm.runInNewContext('gc') as Collector;
}
