/** Everything that the soak runs: a store, replicas and gateways. */
import * as dgram from 'node:dgram';
import * as storeStandin from '../standins/store_standin';
import * as replicas from './replica';
import * as gatewayChild from './gateway_child';
import * as ledger from './ledger';

export const HOST = 'soak.example';

const LIMITS = {
  maxHeaderBytes: 4_096,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const ENGINE = {
  slots: 24,
  kvCap: 34_000,
  kvBytes: 1,
  linkMbps: 1_000,
  moves: true,
  backups: false,
  stride: 1,
  handleTtlS: 5,
};

/** Sizes of a deployment. */
export interface DeploymentSize {
  readonly gateways: number;
  readonly engines: number;
  readonly services: number;
}

/** The programs under test and the stand-ins around them. */
export class Deployment {
  readonly store = new storeStandin.StoreStandin();
  readonly gateways: gatewayChild.GatewayChild[] = [];
  readonly replicas: replicas.Replica[] = [];
  /** Keys in force. */
  readonly keys = new Set(['key-0', 'key-1', 'key-2', 'key-3']);
  private readonly copies = new Map();
  private version = 0;
  private replicaCount = 0;
  private keyCount = 4;

  constructor(
    private readonly book: ledger.Ledger,
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
    const digestPort = await freeDatagramPort();
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
        detail => this.book.noteUnexpected('process', detail),
      );
      this.gateways.push(gateway);
      await gateway.open();
    }
  }

  async addReplica(service: string): Promise<replicas.Replica> {
    const replica = new replicas.Replica(
      `replica-${++this.replicaCount}`,
      service,
      this.book,
      this.copies,
    );
    await replica.start();
    this.replicas.push(replica);
    this.register(replica, 'ready');
    return replica;
  }

  /** Writes what the replica says of itself. */
  register(replica: replicas.Replica, state: string): void {
    this.store.put('servers', replica.id, {
      service: replica.service,
      address: replica.address,
      zone: 'a',
      slots: 24,
      state,
      warmLeftMs: 0,
      born: 1,
      seq: 1,
    });
  }

  /** Ends the replica and its registration. */
  removeReplica(replica: replicas.Replica): void {
    this.replicas.splice(this.replicas.indexOf(replica), 1);
    replica.crash();
    this.store.remove('servers', replica.id);
  }

  /** Writes the next version of the configuration. */
  configure(): void {
    this.store.put('config', 'main', {
      version: ++this.version,
      routes: [
        route('/read/', 'idempotent', 'ledger', 2),
        route('/file/', 'non_idempotent', 'ledger', 1),
        route('/draft/', 'streaming', 'writers', 1, {affinity: true}),
        route('/tag/', 'streaming', 'writers', 2, {
          affinity: true,
          resumable: true,
        }),
      ],
      services: [
        {name: 'ledger', healthPath: '/healthz', maxConns: 200},
        {
          name: 'writers',
          healthPath: '/healthz',
          maxConns: 200,
          runtime: ENGINE,
        },
      ],
      limits: LIMITS,
      tenants: [...this.keys].map(key => ({
        name: `customer of ${key}`,
        apiKeys: [key],
      })),
    });
  }

  /** Takes a key away and gives out a new one. */
  replaceKey(key: string): void {
    this.keys.delete(key);
    this.keys.add(`key-${this.keyCount++}`);
    this.configure();
    this.book.noteRevoked(key, performance.now());
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
  attempts: number,
  more: object = {},
): object {
  return {
    name: `route${pathPrefix}`,
    hostname: HOST,
    pathPrefix,
    type,
    service,
    timeoutMs: type === 'streaming' ? 20_000 : 2_000,
    sloMs: type === 'streaming' ? 1_500 : 150,
    priority: 1,
    attempts,
    public: false,
    ...more,
  };
}

/** All gateways use one port for digests, so it cannot be chosen when the first binds it. */
async function freeDatagramPort(): Promise<number> {
  const socket = dgram.createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(resolve));
  return port;
}
