/** Several gateways of one deployment on loopback addresses, with one store. */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as ava from 'ava';
import * as jsonLog from '../../src/base/node/json_log';
import * as metrics from '../../src/base/node/metrics';
import * as gatewayMetrics from '../../src/gateway/node/gateway_metrics';
import * as gatewayPolicies from '../../src/gateway/node/gateway_policies';
import * as gatewayProcess from '../../src/gateway/node/gateway_process';
import * as platformAdapter from '../../src/platform/platform_adapter';
import * as freePorts from '../../standins/free_ports';
import * as platformObjects from '../../standins/platform_objects';
import * as storeStandin from '../../standins/store_standin';
import * as tcpRelay from '../../standins/tcp_relay';
import * as testGateway from './test_gateway';

/** Settings of one gateway that tests vary. */
export interface FleetVariation extends testGateway.GatewayVariation {
  /** Width of its link, in Mbit/s. */
  readonly linkMegabits?: number;
  /** Whether customers share engines fairly. */
  readonly hasFairShares?: boolean;
}

/** Time without an assertion after which a test fails, in milliseconds; below the runner's own, which ends without the logs. */
const TEST_TIMEOUT_MILLISECONDS = 110_000;
/** Log lines that are printed of a test that failed. */
const PRINTED_LINES = 200;

/** Interval at which conditions are polled, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 10;

/** One gateway, with the relay between it and the store. */
export interface FleetGateway {
  readonly process: gatewayProcess.GatewayProcess;
  readonly relay: tcpRelay.TcpRelay;
  readonly ip: string;
}

/** Gateways that are peers of each other. */
export class GatewayFleet {
  readonly store = new storeStandin.StoreStandin();
  readonly gateways: FleetGateway[] = [];
  private startOne!: (
    index: number,
    isFirstStart: boolean,
    relayMode?: tcpRelay.RelayMode,
  ) => Promise<FleetGateway>;

  static async start(
    t: ava.ExecutionContext,
    count: number,
    variationOf: (index: number) => FleetVariation = () => ({}),
  ): Promise<GatewayFleet> {
    const fleet = new GatewayFleet();
    t.timeout(TEST_TIMEOUT_MILLISECONDS, 'a condition did not come about');
    const logFile = createLogFile(t);
    const store = await fleet.store.listen();
    t.teardown(() => fleet.store.close());
    fleet.store.put('config', 'main', testGateway.configurationSpec(1));
    fleet.register('i-1');
    // All gateways use the same port, so it must be known before the first binds it.
    const digestPort = await freePorts.freeDatagramPort();
    fleet.startOne = async (index, isFirstStart, relayMode) => {
      const gateway = await startGateway(
        index,
        isFirstStart,
        store,
        digestPort,
        logFile,
        variationOf(index),
        relayMode,
      );
      t.teardown(() => gateway.relay.dispose());
      t.teardown(() => gateway.process.dispose());
      return gateway;
    };
    for (let index = 1; index <= count; index++) {
      fleet.gateways.push(await fleet.startOne(index, true));
    }
    await fleet.until(() => fleet.gateways.every(each => each.process.isReady));
    return fleet;
  }

  /** Ends a gateway and starts it again at its IP, by default with the store in reach; it knows nothing of before. */
  async restart(
    gateway: FleetGateway,
    relayMode?: tcpRelay.RelayMode,
  ): Promise<FleetGateway> {
    gateway.process.dispose();
    const position = this.gateways.indexOf(gateway);
    const restarted = await this.startOne(position + 1, false, relayMode);
    this.gateways[position] = restarted;
    await this.until(() => restarted.process.isReady);
    return restarted;
  }

  /** Ends all gateways at the same time, and starts them again at their IPs; `whileDown` runs between. */
  async restartAll(whileDown: () => void = () => undefined): Promise<void> {
    this.gateways.forEach(each => each.process.dispose());
    whileDown();
    const count = this.gateways.length;
    for (let index = 1; index <= count; index++) {
      this.gateways[index - 1] = await this.startOne(index, false);
    }
    await this.until(() => this.gateways.every(each => each.process.isReady));
  }

  /** Writes the registration of a replica; by default of one that no test sends requests to. */
  register(
    id: string,
    state = 'ready',
    service = 'ledger',
    address = '127.0.0.1:9',
    version = 'v1',
    zone = 'a',
  ): void {
    this.store.put(
      'servers',
      id,
      platformObjects.registrationSpec(service, address, state, version, zone),
    );
  }

  /** Gateways that are watching the store. */
  get watchers(): FleetGateway[] {
    return this.gateways.filter(each => each.process.state.isWatching);
  }

  /** Waits until the condition holds; only the test's timeout limits the wait. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise(resolve =>
        setTimeout(resolve, POLL_INTERVAL_MILLISECONDS),
      );
    }
  }

  /** Waits until the registration of the replica has reached all of the gateways. */
  untilRegistered(id: string, gateways = this.gateways): Promise<void> {
    return this.until(() =>
      gateways.every(
        each => each.process.state.instances.get(id) !== undefined,
      ),
    );
  }

  /** Sends a request with the key to the gateway and returns its status. */
  async requestStatus(
    gateway: FleetGateway,
    key: string,
    path = '/read/a',
    headers: http.OutgoingHttpHeaders = {},
  ): Promise<number> {
    return (await this.call(gateway, key, path, {headers})).status;
  }

  /** Sends a request with the key to the gateway and returns the answer. */
  call(
    gateway: FleetGateway,
    key: string,
    path: string,
    options: testGateway.CallerOptions,
  ): Promise<testGateway.CallerAnswer> {
    return new Promise((resolve, reject) => {
      const request = http.request(
        {
          host: gateway.ip,
          port: gateway.process.port,
          path,
          method: options.method ?? 'GET',
          agent: false,
          headers: {
            Host: testGateway.HOST,
            Authorization: `Bearer ${key}`,
            'X-Rhubarbvane-Attempt-Id': '00000000000000aa',
            'X-Rhubarbvane-Deadline-Ms': '3000',
            ...options.headers,
          },
        },
        response => resolve(testGateway.readAnswer(response)),
      );
      request.once('error', reject);
      request.end(options.body);
    });
  }
}

/** Creates a file for the lines of all gateways, which are printed if the test fails. */
function createLogFile(t: ava.ExecutionContext): string {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'fleet-'));
  const file = path.join(directory, 'gateways.log');
  fs.writeFileSync(file, '');
  t.teardown(() => {
    if (!t.passed) {
      const lines = fs.readFileSync(file, 'utf8').split('\n');
      const tail = lines.slice(-PRINTED_LINES).join('\n');
      process.stderr.write(`log of "${t.title}":\n${tail}\n`);
    }
    fs.rmSync(directory, {recursive: true});
  });
  return file;
}

async function startGateway(
  index: number,
  isFirstStart: boolean,
  store: string,
  digestPort: number,
  logFile: string,
  {
    evacuationBound = 0,
    regions = {},
    linkMegabits = 0,
    hasFairShares = false,
  }: FleetVariation,
  relayMode = tcpRelay.RelayMode.Pass,
): Promise<FleetGateway> {
  const ip = `127.0.0.${index}`;
  const relay = new tcpRelay.TcpRelay(Number(store.split(':')[1]));
  relay.setMode(relayMode);
  const registry = new metrics.MetricsRegistry({});
  const storeAddress = await relay.listen();
  const statePort = await freePorts.freeStreamPort(ip);
  const meters = new gatewayMetrics.GatewayMetrics(registry);
  const log = new jsonLog.JsonLog({gateway: `gateway-${index}`}, logFile);
  const process = new gatewayProcess.GatewayProcess({
    settings: {
      instance: {
        name: `gateway-${index}`,
        data_centre: 'a',
        ip,
        bootstrap: isFirstStart,
        link_megabits: linkMegabits,
        regions,
      },
      listen: {
        callers: `${ip}:0`,
        readiness: `${ip}:0`,
        peers: `${ip}:${statePort}`,
        metrics_port: 0,
      },
      peers: {seeds: '127.0.0.1:1,127.0.0.2:1', digest_port: digestPort},
      platform: {store},
      shutdown: {grace_seconds: 8},
      evacuation: {bound_milliseconds: evacuationBound},
      placement: {measured_speeds: false},
      admission: {fair_shares: hasFairShares},
      retries: {window_seconds: 10, ratio: 0.2, allowance: 50},
    },
    registry,
    metrics: meters,
    log,
    limits: gatewayPolicies.createLimitReporter(meters, log),
    source: platformAdapter.createStateSource(storeAddress, () => undefined),
    versionStore: platformAdapter.createVersionStore(
      storeAddress,
      () => undefined,
    ),
    client: platformAdapter.createInstanceClient(() => undefined),
    decoder: platformAdapter.createCallerDecoder(),
  });
  await process.start();
  return {process, relay, ip};
}
