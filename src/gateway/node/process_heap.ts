/** The heap of the process. */
import * as v8 from 'node:v8';
import * as bufferCollector from '../../base/node/buffer_collector';

/** Sizes of a heap, in bytes. */
export type HeapSizes = Pick<
  v8.HeapInfo,
  'total_heap_size' | 'used_heap_size' | 'heap_size_limit' | 'external_memory'
>;

/** A heap whose size is watched. */
export abstract class Heap {
  abstract read(): HeapSizes;
  /** Collects all of it. */
  abstract collect(): void;
}

/** The heap of this process. */
export class ProcessHeap extends Heap {
  read(): HeapSizes {
    return v8.getHeapStatistics();
  }

  collect(): void {
    bufferCollector.collectHeap();
  }
}
