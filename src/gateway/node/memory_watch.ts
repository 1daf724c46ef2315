/** Shows how much of its heap and of its machine the process uses, so that an end for lack of memory is explained by what precedes it. */
import * as perfHooks from 'node:perf_hooks';
import * as disposable from '../../base/common/disposable';
import * as bodyStore from '../../base/node/body_store';
import * as configurationSize from '../common/configuration_size';
import * as gatewayServices from './gateway_services';
import * as processHeap from './process_heap';

const SAMPLE_INTERVAL_MILLISECONDS = 200;
/** Interval of collections while requests are refused, which make no garbage that would cause one, in milliseconds. */
const COLLECTION_INTERVAL_MILLISECONDS = 1_000;
const WHOLE_COLLECTION = perfHooks.constants.NODE_PERFORMANCE_GC_MAJOR;
/** Shares of the heap's limit and of the machine from which on lines are written. */
const REPORTED_HEAP_SHARE = 0.6;
const REPORTED_MACHINE_SHARE = 0.85;
/** Shortest time between two lines, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 3_000;

/** Memory of the process, in bytes. */
interface MemoryUse {
  readonly heap: number;
  readonly heapLimit: number;
  readonly external: number;
  readonly resident: number;
}

/** Samples the memory of the process, and lets what callers make it hold give way to the heap. */
export class MemoryWatch implements disposable.Disposable {
  private readonly disposables = new disposable.DisposableStore();
  private size = configurationSize.NO_CONFIGURATION;
  private reportedAt = -Infinity;
  /** Heap in use after its last whole collection, in bytes. */
  private collectedBytes = 0;
  private collectedAt = -Infinity;

  /** @param machineBytes Memory of the machine; 0 if it is not known. */
  constructor(
    private readonly services: gatewayServices.GatewayServices,
    private readonly machineBytes: number,
    private readonly heap: processHeap.Heap,
  ) {
    const subscription = services.follower.onDidChangeConfiguration.subscribe(
      index => this.showSize(configurationSize.measure(index.configuration)),
    );
    this.disposables.add(
      disposable.toDisposable(() => subscription.unsubscribe()),
    );
    this.disposables.add(
      disposable.every(SAMPLE_INTERVAL_MILLISECONDS, () => this.sample()),
    );
    const collections = new perfHooks.PerformanceObserver(list =>
      this.recordCollections(list.getEntries()),
    );
    collections.observe({entryTypes: ['gc']});
    this.disposables.add(
      disposable.toDisposable(() => collections.disconnect()),
    );
    this.report(this.sample());
  }

  dispose(): void {
    this.disposables.dispose();
  }

  private showSize(size: configurationSize.ConfigurationSize): void {
    this.size = size;
    const {configurationSize: gauge} = this.services.metrics;
    gauge.set({part: 'routes'}, size.routes);
    gauge.set({part: 'customers'}, size.customers);
    gauge.set({part: 'text-bytes'}, size.textLength);
    gauge.set({part: 'memory-bytes'}, size.memoryBytes);
  }

  private recordCollections(
    entries: readonly perfHooks.PerformanceEntry[],
  ): void {
    const isWhole = (entry: perfHooks.PerformanceEntry) =>
      (entry as {detail?: {kind?: number}}).detail?.kind === WHOLE_COLLECTION;
    if (entries.some(isWhole)) {
      this.recordCollection();
    }
  }

  private recordCollection(): void {
    this.collectedBytes = this.heap.read().used_heap_size;
    this.collectedAt = performance.now();
  }

  private collectIfFull(): void {
    const age = performance.now() - this.collectedAt;
    if (this.services.room.isFull && age >= COLLECTION_INTERVAL_MILLISECONDS) {
      this.heap.collect();
      this.recordCollection();
    }
  }

  private updateRoom(heap: processHeap.HeapSizes): void {
    const {room, buffers, bodies, log} = this.services;
    const wasFull = room.isFull;
    const {answerBytes, bodyBytes} = room.update(
      {
        totalBytes: heap.total_heap_size,
        liveBytes: Math.min(heap.used_heap_size, this.collectedBytes),
        limitBytes: heap.heap_size_limit,
      },
      performance.now(),
    );
    if (buffers !== undefined) {
      buffers.maxTotalBytes = answerBytes;
    }
    bodies.account.bounds = bodyStore.boundsFor(bodyBytes);
    if (room.isFull !== wasFull) {
      log.write('memory-full', {refusing: room.isFull}, true);
    }
  }

  private sample(): MemoryUse {
    this.collectIfFull();
    const heap = this.heap.read();
    this.updateRoom(heap);
    const use = {
      heap: heap.used_heap_size,
      heapLimit: heap.heap_size_limit,
      external: heap.external_memory,
      resident: process.memoryUsage.rss(),
    };
    const {memoryBytes} = this.services.metrics;
    memoryBytes.set({part: 'heap'}, use.heap);
    memoryBytes.set({part: 'heap-limit'}, use.heapLimit);
    memoryBytes.set({part: 'external'}, use.external);
    memoryBytes.set({part: 'resident'}, use.resident);
    memoryBytes.set({part: 'machine'}, this.machineBytes);
    const isHigh =
      use.heap > use.heapLimit * REPORTED_HEAP_SHARE ||
      (this.machineBytes > 0 &&
        use.resident > this.machineBytes * REPORTED_MACHINE_SHARE);
    const now = performance.now();
    if (isHigh && now - this.reportedAt >= REPORT_INTERVAL_MILLISECONDS) {
      this.report(use);
    }
    return use;
  }

  private report(use: MemoryUse): void {
    this.reportedAt = performance.now();
    this.services.log.write(
      'memory',
      {
        heap_bytes: use.heap,
        heap_limit_bytes: use.heapLimit,
        external_bytes: use.external,
        resident_bytes: use.resident,
        machine_bytes: this.machineBytes || undefined,
        routes: this.size.routes,
        customers: this.size.customers,
        configuration_bytes: this.size.memoryBytes,
      },
      true,
    );
  }
}
