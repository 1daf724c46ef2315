/** The deployment of a soak test: a store, replicas and gateways. */
import * as freePorts from '../standins/free_ports';
import * as platformObjects from '../standins/platform_objects';
import * as storeStandin from '../standins/store_standin';
import * as copies from './copies';
import * as engine from './engine';
import * as replicas from './replica';
import * as gatewayChild from './gateway_child';
import * as largeConfigurations from './large_configurations';
import * as requestHistory from './request_history';

export const HOST = 'soak.example';

/** Versions of the replicas' software, in turn. */
const VERSIONS = ['v1', 'v1.2'];

/** Data centres of the replicas, in turn; the gateways are in the first one. */
export const DATA_CENTRES = ['a', 'b'];
/** Speeds of the engines relative to the common one, in turn. */
const SPEEDS = [1, 0.6, 1.6];
/** One of so many replicas works on when the connection of a run has broken. */
const WORKS_ON_EVERY = 3;
/** Intervals at which replicas send the parts of backups, in turn, in milliseconds. */
const BACKUP_MILLISECONDS = [100, 200, 300];
/** Generations that an engine runs at once by its registration, few enough that callers compete for them. */
const SLOTS = 4;
/** Requests a second that a cold replica takes. */
export const RAMP_PER_SECOND = 5;
/** Time for which a replica may be cold, in milliseconds. */
export const WARM_UP_MILLISECONDS = 4_000;

/** Number of gateways and replicas of a deployment. */
export interface DeploymentSize {
  readonly gateways: number;
  readonly engines: number;
  readonly services: number;
}

/** The gateways under test, with stand-ins for the store and the replicas. */
export class Deployment implements largeConfigurations.ConfigurationWriter {
  readonly store = new storeStandin.StoreStandin();
  readonly gateways: gatewayChild.GatewayChild[] = [];
  readonly replicas: replicas.Replica[] = [];
  /** API keys in force. */
  readonly keys = new Set(['key-0', 'key-1', 'key-2', 'key-3']);
  /** Key of a customer whose callers send most of the requests; undefined for equal customers. */
  floodingKey: string | undefined;
  /** Routes that versions added, oldest first; at most those of the last batch are in force. */
  readonly batches: largeConfigurations.RouteBatch[] = [];
  private batch: largeConfigurations.RouteBatch | undefined;
  private version = 0;
  private replicaCount = 0;
  private keyCount = 4;

  constructor(
    private readonly history: requestHistory.RequestHistory,
    private readonly logFile: string,
  ) {}

  async start(size: DeploymentSize): Promise<void> {
    const storePort = Number((await this.store.listen()).split(':')[1]);
    for (let index = 0; index < size.engines; index++) {
      await this.addReplica('writers');
    }
    for (let index = 0; index < size.services; index++) {
      await this.addReplica('ledger');
    }
    this.configure();
    const digestPort = await freePorts.freeDatagramPort();
    const seeds = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'];
    for (let index = 1; index <= size.gateways; index++) {
      const gateway = new gatewayChild.GatewayChild(
        {
          name: `gateway-${index}`,
          ip: `127.0.0.${index}`,
          seeds,
          digestPort,
          storePort,
          logFile: this.logFile,
        },
        detail => this.history.recordViolation('process', detail),
      );
      this.gateways.push(gateway);
      this.history.calls.recordGateway(gateway.name);
      await gateway.open();
    }
  }

  /** Adds a replica that is warm, or cold for the usual time. */
  async addReplica(service: string, isCold = false): Promise<replicas.Replica> {
    const count = ++this.replicaCount;
    const replica = new replicas.Replica(
      {
        id: `replica-${count}`,
        service,
        version: VERSIONS[count % VERSIONS.length],
        dataCentre:
          DATA_CENTRES[
            Math.floor(count / VERSIONS.length) % DATA_CENTRES.length
          ],
        speed: SPEEDS[count % SPEEDS.length],
        worksOn: count % WORKS_ON_EVERY === 0,
        backupMilliseconds:
          BACKUP_MILLISECONDS[count % BACKUP_MILLISECONDS.length],
      },
      this.history,
      address =>
        this.replicas.find(each => each.address === address)?.reachableCopies,
    );
    await replica.start();
    this.replicas.push(replica);
    this.history.places.recordReplica(replica.id, replica.dataCentre);
    const warmLeft = isCold ? WARM_UP_MILLISECONDS : 0;
    if (isCold) {
      this.history.places.recordCold(
        replica.id,
        RAMP_PER_SECOND,
        performance.now(),
        warmLeft,
      );
    }
    this.register(replica, 'ready', warmLeft);
    return replica;
  }

  /** Writes the registration of the replica. */
  register(replica: replicas.Replica, state: string, warmLeftMs = 0): void {
    const {service, address, version, dataCentre} = replica;
    replica.state = state;
    this.store.put('servers', replica.id, {
      ...platformObjects.registrationSpec(
        service,
        address,
        state,
        version,
        dataCentre,
      ),
      slots: SLOTS,
      warmLeftMs,
      born: replica.engine.born,
    });
  }

  /** Crashes the replica and removes its registration. */
  removeReplica(replica: replicas.Replica): void {
    this.replicas.splice(this.replicas.indexOf(replica), 1);
    replica.crash();
    this.store.remove('servers', replica.id);
  }

  /** Writes the next version of the configuration. */
  configure(): void {
    this.version++;
    this.batch?.change(this.version);
    this.store.put('config', 'main', {
      version: this.version,
      routes: [
        route('/read/', 'idempotent', 'ledger', {}),
        route('/file/', 'non_idempotent', 'ledger', {attempts: 1}),
        route('/draft/', 'streaming', 'writers', {affinity: true, attempts: 1}),
        route('/tag/', 'streaming', 'writers', {
          affinity: true,
          resumable: true,
        }),
        ...(this.batch?.specs ?? []),
      ],
      services: [
        platformObjects.serviceSpec('ledger'),
        platformObjects.serviceSpec(
          'writers',
          platformObjects.engineSpec({
            kvCap: engine.MEMORY_TOKENS,
            kvBytes: copies.KV_BYTES,
            linkMbps: copies.LINK_MEGABITS,
            backups: true,
            handleTtlS: copies.COPY_LIFETIME_MILLISECONDS / 1000,
          }),
        ),
      ].map(each => ({
        ...each,
        rampPerS: RAMP_PER_SECOND,
        warmupS: WARM_UP_MILLISECONDS / 1000,
      })),
      limits: platformObjects.LIMITS,
      tenants: [...this.keys].map(key => ({
        name: `customer of ${key}`,
        apiKeys: [key],
      })),
    });
  }

  addRoutes(count: number): void {
    const name = `batch-${this.batches.length + 1}`;
    const before = this.batch;
    this.batch = new largeConfigurations.RouteBatch(name, HOST, count);
    this.batches.push(this.batch);
    this.configure();
    this.recordBatch(before);
  }

  removeRoutes(): void {
    const before = this.batch;
    this.batch = undefined;
    this.configure();
    this.recordBatch(before);
  }

  /** Revokes a key and adds a new one. */
  replaceKey(key: string): void {
    const added = `key-${this.keyCount++}`;
    this.keys.delete(key);
    this.keys.add(added);
    this.configure();
    const now = performance.now();
    this.history.recordRevoked(key, now);
    this.history.calls.configuration.recordAdded(added, now);
  }

  /** Records that the batch before is no longer in force, and that the current one is. */
  private recordBatch(before: largeConfigurations.RouteBatch | undefined) {
    const {configuration} = this.history.calls;
    const now = performance.now();
    if (before !== undefined) {
      configuration.recordRemoved(before.name, now);
    }
    if (this.batch !== undefined) {
      configuration.recordAdded(this.batch.name, now);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.close()));
    this.replicas.forEach(replica => replica.crash());
    this.store.close();
  }
}

function route(
  pathPrefix: string,
  type: string,
  service: string,
  overrides: object,
): object {
  return platformObjects.routeSpec(HOST, pathPrefix, type, service, {
    timeoutMs: type === 'streaming' ? 20_000 : 2_000,
    sloMs: type === 'streaming' ? 1_500 : 150,
    ...overrides,
  });
}
