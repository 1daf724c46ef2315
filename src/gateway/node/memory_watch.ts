/** Shows how much of its heap and of its machine the process uses, so that an end for lack of memory is explained by what precedes it. */
import * as v8 from 'node:v8';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
import * as configurationSize from '../common/configuration_size';
import * as gatewayMetrics from './gateway_metrics';
import * as stateFollower from './state_follower';

const SAMPLE_INTERVAL_MILLISECONDS = 200;
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

/** Samples the memory of the process. */
export class MemoryWatch implements disposable.Disposable {
  private readonly disposables = new disposable.DisposableStore();
  private size = configurationSize.NO_CONFIGURATION;
  private reportedAt = -Infinity;

  /** @param machineBytes Memory of the machine; 0 if it is not known. */
  constructor(
    follower: stateFollower.StateFollower,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
    private readonly machineBytes: number,
    private readonly log: jsonLog.JsonLog,
  ) {
    const subscription = follower.onDidChangeConfiguration.subscribe(index =>
      this.showSize(configurationSize.measure(index.configuration)),
    );
    this.disposables.add(
      disposable.toDisposable(() => subscription.unsubscribe()),
    );
    this.disposables.add(
      disposable.every(SAMPLE_INTERVAL_MILLISECONDS, () => this.sample()),
    );
    this.report(this.sample());
  }

  dispose(): void {
    this.disposables.dispose();
  }

  private showSize(size: configurationSize.ConfigurationSize): void {
    this.size = size;
    const {configurationSize: gauge} = this.metrics;
    gauge.set({part: 'routes'}, size.routes);
    gauge.set({part: 'customers'}, size.customers);
    gauge.set({part: 'text-bytes'}, size.textLength);
    gauge.set({part: 'memory-bytes'}, size.memoryBytes);
  }

  private sample(): MemoryUse {
    const heap = v8.getHeapStatistics();
    const use = {
      heap: heap.used_heap_size,
      heapLimit: heap.heap_size_limit,
      external: heap.external_memory,
      resident: process.memoryUsage.rss(),
    };
    const {memoryBytes} = this.metrics;
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
    this.log.write(
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
