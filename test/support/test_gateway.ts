/** A gateway with stand-ins of store and replicas on the loopback. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as jsonLog from '../../src/base/node/json_log';
import * as metrics from '../../src/base/node/metrics';
import * as gatewayMetrics from '../../src/gateway/node/gateway_metrics';
import * as gatewayPolicies from '../../src/gateway/node/gateway_policies';
import * as gatewayProcess from '../../src/gateway/node/gateway_process';
import * as gatewaySettings from '../../src/gateway/node/gateway_settings';
import * as processHeap from '../../src/gateway/node/process_heap';
import * as platformAdapter from '../../src/platform/platform_adapter';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as storeStandin from '../../standins/store_standin';

const MEGABYTE = 1_000_000;

/** A heap as that of a gateway: the test's own has the test runner in it. */
export class SteadyHeap extends processHeap.Heap {
  collections = 0;

  constructor(public usedMegabytes = 25) {
    super();
  }

  read(): processHeap.HeapSizes {
    return {
      total_heap_size: 40 * MEGABYTE,
      used_heap_size: this.usedMegabytes * MEGABYTE,
      heap_size_limit: 86 * MEGABYTE,
      external_memory: 0,
    };
  }

  collect(): void {
    this.collections++;
  }
}

export const HOST = 'h.example';
export const KEY = 'key-one';

/** Stops what a test or a program has started. */
export type TestOwner = Pick<ava.ExecutionContext, 'teardown'>;

/** Settings that tests vary. */
export interface GatewayVariation {
  /** Time within which evacuations of data centres are in force, in milliseconds; 0 to follow none. */
  readonly evacuationBound?: number;
  readonly regions?: Readonly<Record<string, string>>;
  readonly isMeasuringSpeeds?: boolean;
  /** Sections of the settings that differ from those of an older release. */
  readonly settings?: Partial<gatewaySettings.GatewaySettings>;
  readonly heap?: processHeap.Heap;
}

/** A route of the tests' host. */
export function route(
  pathPrefix: string,
  type: string,
  service: string,
  overrides: object = {},
): object {
  return platformObjects.routeSpec(HOST, pathPrefix, type, service, overrides);
}

/** A configuration in the platform's format. */
export function configurationSpec(
  version: number,
  overrides: object = {},
): object {
  return {
    version,
    routes: [
      route('/read/', 'idempotent', 'ledger'),
      route('/file/', 'non_idempotent', 'ledger', {attempts: 1}),
      route('/draft/', 'streaming', 'writers', {affinity: true, attempts: 1}),
      route('/tag/', 'streaming', 'writers', {affinity: true, resumable: true}),
      route('/open/', 'idempotent', 'ledger', {public: true}),
    ],
    services: [
      platformObjects.serviceSpec('ledger'),
      platformObjects.serviceSpec(
        'writers',
        platformObjects.engineSpec({stride: 4}),
      ),
    ],
    limits: platformObjects.LIMITS,
    tenants: [{name: 'customer-one', apiKeys: [KEY]}],
    ...overrides,
  };
}

/** An answer as a caller received it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the body arrived completely. */
  readonly isComplete: boolean;
}

/** Optional parts of a caller's request. */
export interface CallerOptions {
  readonly method?: string;
  readonly body?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly agent?: http.Agent;
}

let attemptCount = 0;

/** A gateway under test, with its store and replicas; the test's teardown stops them. */
export class TestGateway {
  readonly store = new storeStandin.StoreStandin();
  readonly replicas = new Map<string, replicaStandin.ReplicaStandin>();
  private readonly addresses = new Map<string, string>();
  private readonly gateways = new Map<string, gatewayProcess.GatewayProcess>();

  private constructor(private readonly t: TestOwner) {}

  /** Starts the store and a gateway, without a configuration. */
  static async create(
    t: TestOwner,
    {
      evacuationBound = 0,
      regions = {},
      isMeasuringSpeeds = false,
      settings = {},
      heap = new SteadyHeap(),
    }: GatewayVariation = {},
  ): Promise<TestGateway> {
    const test = new TestGateway(t);
    const store = await test.store.listen();
    t.teardown(() => test.store.close());
    const registry = new metrics.MetricsRegistry({});
    const meters = new gatewayMetrics.GatewayMetrics(registry);
    const log = new jsonLog.JsonLog({}, '/dev/null');
    const gateway = new gatewayProcess.GatewayProcess({
      settings: {
        instance: {
          name: 'gateway-1',
          data_centre: 'a',
          ip: '127.0.0.1',
          bootstrap: true,
          link_megabits: 0,
          regions,
        },
        listen: {
          callers: '127.0.0.1:0',
          readiness: '127.0.0.1:0',
          peers: '',
          metrics_port: 0,
        },
        peers: {seeds: '', digest_port: 0},
        platform: {store},
        shutdown: {grace_seconds: 8},
        evacuation: {bound_milliseconds: evacuationBound},
        placement: {measured_speeds: isMeasuringSpeeds},
        retries: {window_seconds: 10, ratio: 0.2, allowance: 50},
        ...settings,
      },
      registry,
      metrics: meters,
      log,
      limits: gatewayPolicies.createLimitReporter(meters, log),
      source: platformAdapter.createStateSource(store, () => undefined),
      versionStore: platformAdapter.createVersionStore(store, () => undefined),
      client: platformAdapter.createInstanceClient(() => undefined),
      decoder: platformAdapter.createCallerDecoder(),
      heap,
    });
    await gateway.start();
    t.teardown(() => gateway.dispose());
    test.gateways.set('', gateway);
    return test;
  }

  /** Starts a gateway with a configuration and these replicas; resolves when the gateway is ready. */
  static async start(
    t: TestOwner,
    replicas: Readonly<
      Record<string, [string, replicaStandin.ReplicaHandler, string?, string?]>
    >,
    configuration = configurationSpec(1),
    variation: GatewayVariation = {},
  ): Promise<TestGateway> {
    const test = await TestGateway.create(t, variation);
    for (const [id, replica] of Object.entries(replicas)) {
      const [service, behaviour, version, zone] = replica;
      await test.addReplica(id, service, behaviour, version, zone);
    }
    test.store.put('config', 'main', configuration);
    await test.until(() => test.process.isReady);
    return test;
  }

  get process(): gatewayProcess.GatewayProcess {
    return this.gateways.get('')!;
  }

  async addReplica(
    id: string,
    service: string,
    behaviour: replicaStandin.ReplicaHandler,
    version = 'v1',
    zone = 'a',
  ): Promise<void> {
    const replica = new replicaStandin.ReplicaStandin(id, behaviour);
    this.addresses.set(id, await replica.listen());
    this.t.teardown(() => replica.close());
    this.replicas.set(id, replica);
    this.register(id, service, 'ready', version, zone);
  }

  /** Writes the registration of a replica. */
  register(
    id: string,
    service: string,
    state: string,
    version = 'v1',
    zone = 'a',
  ): void {
    const address = this.addresses.get(id)!;
    this.store.put(
      'servers',
      id,
      platformObjects.registrationSpec(service, address, state, version, zone),
    );
  }

  /** Address of a replica. */
  addressOf(id: string): string | undefined {
    return this.addresses.get(id);
  }

  /** Waits until the condition holds; only the test's timeout limits the wait. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }

  /** Generations that wait at the gateway for an instance. */
  get waitingCount(): number {
    return this.process.waitingCount;
  }

  /** Number of requests that all replicas received. */
  get requestCount(): number {
    return [...this.replicas.values()].reduce(
      (sum, replica) => sum + replica.requests.length,
      0,
    );
  }

  /** Sends a request as a caller; returns the open request, so that a test can abort it. */
  send(path: string, options: CallerOptions = {}): http.ClientRequest {
    const request = http.request({
      host: '127.0.0.1',
      port: this.process.port,
      path,
      method: options.method ?? 'GET',
      agent: options.agent ?? false,
      headers: {
        Host: HOST,
        Authorization: `Bearer ${KEY}`,
        'X-Rhubarbvane-Attempt-Id': String(++attemptCount).padStart(16, '0'),
        'X-Rhubarbvane-Deadline-Ms': '4000',
        'X-Rhubarbvane-Token-Count': '100,400',
        ...options.headers,
      },
    });
    request.on('error', () => undefined);
    request.end(options.body);
    return request;
  }

  /** Sends a request and waits for its answer. */
  async call(path: string, options: CallerOptions = {}): Promise<CallerAnswer> {
    const request = this.send(path, options);
    return new Promise((resolve, reject) => {
      request.once('error', reject);
      request.once('response', response => resolve(readAnswer(response)));
    });
  }
}

/** Reads the whole answer to a caller's request. */
export function readAnswer(
  response: http.IncomingMessage,
): Promise<CallerAnswer> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', () => undefined);
    response.once('close', () =>
      resolve({
        status: response.statusCode ?? 0,
        headers: response.headers,
        body: Buffer.concat(chunks).toString(),
        isComplete: response.complete,
      }),
    );
  });
}
