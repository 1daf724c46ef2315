/** Faults from outside, in overlapping series drawn from the seed. */
import * as timers from 'node:timers/promises';
import * as storeStandin from '../standins/store_standin';
import * as tcpRelay from '../standins/tcp_relay';
import * as deployment from './deployment';
import * as replicas from './replica';
import * as gatewayChild from './gateway_child';
import * as ledger from './ledger';
import * as probe from './probe';
import * as random from './random';

const {RelayMode} = tcpRelay;
const {StoreFault} = storeStandin;
const {ReplicaMode} = replicas;

const MIN_GAP_MILLISECONDS = 200;
const MAX_GAP_MILLISECONDS = 1_500;
const MIN_DURATION_MILLISECONDS = 300;
const MAX_DURATION_MILLISECONDS = 4_000;
/** Time for which a draining replica still serves, in milliseconds. */
const NOTICE_MILLISECONDS = 1_800;

const RELAY_MODES = [
  RelayMode.SilenceOpen,
  RelayMode.SilenceAll,
  RelayMode.SilenceAnswers,
  RelayMode.Delay,
  RelayMode.Cut,
  RelayMode.Reset,
];

type Fault = (milliseconds: number) => Promise<void>;

/** Injects faults until it is told to stop. */
export class Faults {
  private isStopping = false;
  private readonly open = new Set<Promise<void>>();
  private readonly busy = new Set<object>();
  private readonly kinds: Readonly<Record<string, Fault>> = {
    kill: time => this.restart('SIGKILL', time),
    stop: time => this.restart('SIGTERM', time),
    pause: time => this.pause(time),
    reload: () => this.reload(),
    'store-path': time =>
      this.relayFault(gateway => gateway.storeRelay, 'store', time),
    'caller-path': time =>
      this.relayFault(gateway => gateway.callerRelay, 'callers', time),
    store: time => this.storeFault(time),
    compact: () => this.compact(),
    replica: time => this.replicaFault(time),
    crash: () => this.replaceReplica(0),
    drain: () => this.replaceReplica(NOTICE_MILLISECONDS),
    key: () => this.replaceKey(),
    configure: () => this.configure(),
  };

  constructor(
    private readonly target: deployment.Deployment,
    private readonly book: ledger.Ledger,
    private readonly draws: random.Random,
    private readonly report: (event: object) => void,
  ) {}

  /** Starts faults at random until stopped; resolves when all have ended. */
  async run(): Promise<void> {
    const names = Object.keys(this.kinds);
    while (!this.isStopping) {
      const name = this.draws.pick(names);
      const duration = this.draws.integer(
        MIN_DURATION_MILLISECONDS,
        MAX_DURATION_MILLISECONDS,
      );
      const fault = this.kinds[name](duration);
      this.open.add(fault);
      void fault.then(() => this.open.delete(fault));
      await timers.setTimeout(
        this.draws.integer(MIN_GAP_MILLISECONDS, MAX_GAP_MILLISECONDS),
      );
    }
    await Promise.all(this.open);
  }

  stop(): void {
    this.isStopping = true;
  }

  /** Runs the steps as one fault; one thing has one fault at a time. */
  private async during(
    what: object,
    gateway: string | undefined,
    event: object,
    steps: () => Promise<void>,
  ): Promise<void> {
    if (this.busy.has(what)) {
      return;
    }
    this.busy.add(what);
    const at = performance.now();
    const end = this.book.beginFault(gateway, at);
    this.report({...event, at_ms: Math.round(at)});
    await steps();
    end(performance.now());
    this.busy.delete(what);
  }

  private gateway(): gatewayChild.GatewayChild {
    return this.draws.pick(this.target.gateways);
  }

  private restart(signal: NodeJS.Signals, downTime: number): Promise<void> {
    const gateway = this.gateway();
    const event = {fault: signal, gateway: gateway.name};
    return this.during(gateway, gateway.name, event, async () => {
      const ended = gateway.whenEnded();
      gateway.signal(signal);
      await ended;
      await timers.setTimeout(downTime / 4);
      gateway.start();
    });
  }

  private pause(time: number): Promise<void> {
    const gateway = this.gateway();
    const event = {fault: 'pause', gateway: gateway.name, time};
    return this.during(gateway, gateway.name, event, async () => {
      gateway.signal('SIGSTOP');
      await timers.setTimeout(time);
      gateway.signal('SIGCONT');
    });
  }

  private reload(): Promise<void> {
    const gateway = this.gateway();
    const event = {fault: 'SIGHUP', gateway: gateway.name};
    // A process that has not installed its handler yet would end.
    return this.during(gateway, gateway.name, event, async () => {
      const [key] = this.target.keys;
      if ((await probe.probe(gateway, key, this.book)) > 0) {
        gateway.signal('SIGHUP');
      }
    });
  }

  private relayFault(
    relayOf: (gateway: gatewayChild.GatewayChild) => tcpRelay.TcpRelay,
    path: string,
    time: number,
  ): Promise<void> {
    const gateway = this.gateway();
    const mode = this.draws.pick(RELAY_MODES);
    const relay = relayOf(gateway);
    const event = {fault: mode, path, gateway: gateway.name, time};
    return this.during(relay, gateway.name, event, async () => {
      relay.set(mode);
      await timers.setTimeout(time);
      relay.set(RelayMode.Pass);
    });
  }

  private storeFault(time: number): Promise<void> {
    const {store} = this.target;
    const fault = this.draws.pick([
      StoreFault.Busy,
      StoreFault.Silent,
      StoreFault.Reset,
      StoreFault.Garbled,
    ]);
    return this.during(
      store,
      undefined,
      {fault: `store ${fault}`, time},
      async () => {
        store.fault = fault;
        await timers.setTimeout(time);
        store.fault = StoreFault.None;
      },
    );
  }

  private compact(): Promise<void> {
    return this.during(
      this.compact,
      undefined,
      {fault: 'compact'},
      async () => {
        this.target.store.compact();
      },
    );
  }

  private replicaFault(time: number): Promise<void> {
    const replica = this.draws.pick(this.target.replicas);
    const mode = this.draws.pick([
      ReplicaMode.Silent,
      ReplicaMode.Resetting,
      ReplicaMode.Forgetful,
      ReplicaMode.Shedding,
      ReplicaMode.Doubling,
    ]);
    const event = {fault: `replica ${mode}`, replica: replica.id, time};
    return this.during(replica, replica.id, event, async () => {
      replica.mode = mode;
      await timers.setTimeout(time);
      replica.mode = ReplicaMode.Sound;
    });
  }

  /** Starts a replica in the place of one that drains for the time, or crashes. */
  private replaceReplica(notice: number): Promise<void> {
    const replica = this.draws.pick(this.target.replicas);
    const event = {fault: notice > 0 ? 'drain' : 'crash', replica: replica.id};
    return this.during(replica, replica.id, event, async () => {
      await this.target.addReplica(replica.service);
      if (notice > 0) {
        this.target.register(replica, 'draining');
        this.book.noteDrained(replica.id, performance.now());
        await timers.setTimeout(notice);
      }
      this.target.removeReplica(replica);
    });
  }

  private replaceKey(): Promise<void> {
    const key = this.draws.pick([...this.target.keys]);
    return this.during(this.replaceKey, key, {fault: 'key', key}, async () =>
      this.target.replaceKey(key),
    );
  }

  private configure(): Promise<void> {
    return this.during(this.configure, '', {fault: 'configure'}, async () =>
      this.target.configure(),
    );
  }
}
