/** Injects external faults, which may overlap and are chosen by the seeded random numbers. */
import * as timers from 'node:timers/promises';
import * as storeStandin from '../standins/store_standin';
import * as tcpRelay from '../standins/tcp_relay';
import * as deployment from './deployment';
import * as faultModes from './fault_modes';
import * as faultTimes from './fault_times';
import * as replicas from './replica';
import * as gatewayChild from './gateway_child';
import * as largeConfigurations from './large_configurations';
import * as requestHistory from './request_history';
import * as probe from './probe';
import * as random from './random';

const {RelayMode} = tcpRelay;
const {StoreFault} = storeStandin;
const {ReplicaMode} = replicas;
const {FaultKind} = faultTimes;

const MIN_GAP_MILLISECONDS = 200;
const MAX_GAP_MILLISECONDS = 1_500;
const MIN_DURATION_MILLISECONDS = 300;
const MAX_DURATION_MILLISECONDS = 4_000;
/** Time for which a draining replica still serves, in milliseconds. */
const DRAIN_MILLISECONDS = 1_800;

/** Interval at which a replica that breaks connections does so, in milliseconds. */
const BREAK_INTERVAL_MILLISECONDS = 300;
/** Share of answers that are lost while all replicas lose answers. */
const LOSS_SHARE = 0.6;

/** Shortest time for which a replica names a limit, in milliseconds. */
const MIN_LIMIT_MILLISECONDS = 4_000;
/** Largest limit, in tenths of a request a second. */
const MAX_LIMIT_TENTHS = 80;

/** Drawn only if it is asked for: it is open whether replicas send refusals that name no request late. */
const LATE_REFUSALS = 'late-refusals';

type Fault = (milliseconds: number) => Promise<void>;

/** Injects faults until it is stopped. */
export class FaultInjector {
  private isStopping = false;
  private readonly active = new Set<Promise<void>>();
  private readonly faultySubjects = new Set<object>();
  private readonly injectors: Readonly<Record<string, Fault>> = {
    kill: time => this.restart('SIGKILL', FaultKind.Disturbance, time),
    stop: time => this.restart('SIGTERM', FaultKind.Stop, time),
    pause: time => this.pause(time),
    reload: () => this.reload(),
    'store-path': time =>
      this.relayFault(gateway => gateway.storeRelay, FaultKind.StorePath, time),
    'caller-path': time =>
      this.relayFault(
        gateway => gateway.callerRelay,
        FaultKind.CallerPath,
        time,
      ),
    store: time => this.storeFault(time),
    compact: () => this.compact(),
    replica: time =>
      this.replicaFault(this.random.pick(faultModes.REPLICA_MODES), time),
    [LATE_REFUSALS]: time => this.replicaFault(ReplicaMode.LateRefusals, time),
    'lose-answers': time => this.loseAnswers(time),
    break: time => this.breakConnections(time),
    full: time => this.fillMemory(time),
    'start-again': time => this.startAgain(time),
    limit: time => this.limit(time),
    evacuate: time => this.evacuate(time),
    cold: () => this.returnCold(),
    flood: time => this.flood(time),
    crash: () => this.replaceReplica(0),
    drain: () => this.replaceReplica(DRAIN_MILLISECONDS),
    key: () => this.replaceKey(),
    configure: () => this.configure(),
    large: time => this.writeLargeConfigurations(time),
  };

  constructor(
    private readonly target: deployment.Deployment,
    private readonly history: requestHistory.RequestHistory,
    private readonly random: random.Random,
    private readonly reportFault: (event: object) => void,
  ) {}

  /**
   * Starts random faults until it is stopped; resolves when all have ended.
   *
   * @param kinds Names of the faults to draw from; undefined for all but late refusals.
   */
  async run(kinds?: readonly string[]): Promise<void> {
    const names =
      kinds ??
      Object.keys(this.injectors).filter(name => name !== LATE_REFUSALS);
    const unknown = names.filter(name => !(name in this.injectors));
    if (unknown.length > 0) {
      const known = Object.keys(this.injectors).join(', ');
      throw new Error(`no fault "${unknown.join(', ')}"; there are ${known}`);
    }
    while (!this.isStopping) {
      const name = this.random.pick(names);
      const duration = this.random.integer(
        MIN_DURATION_MILLISECONDS,
        MAX_DURATION_MILLISECONDS,
      );
      const fault = this.injectors[name](duration);
      this.active.add(fault);
      void fault.then(() => this.active.delete(fault));
      await timers.setTimeout(
        this.random.integer(MIN_GAP_MILLISECONDS, MAX_GAP_MILLISECONDS),
      );
    }
    await Promise.all(this.active);
  }

  stop(): void {
    this.isStopping = true;
  }

  /** Runs the steps as one fault; does nothing while the subject has another fault. `faultyName` is undefined for faults that affect all gateways. */
  private async inject(
    subject: object,
    faultyName: string | undefined,
    event: object,
    steps: () => Promise<void>,
    kind = FaultKind.Disturbance,
  ): Promise<void> {
    if (this.faultySubjects.has(subject)) {
      return;
    }
    this.faultySubjects.add(subject);
    const at = performance.now();
    const end = this.history.beginFault(faultyName, at, kind);
    this.reportFault({...event, at_ms: Math.round(at)});
    await steps();
    end(performance.now());
    this.faultySubjects.delete(subject);
  }

  private pickGateway(): gatewayChild.GatewayChild {
    return this.random.pick(this.target.gateways);
  }

  private restart(
    signal: NodeJS.Signals,
    kind: faultTimes.FaultKind,
    downTime: number,
  ): Promise<void> {
    const gateway = this.pickGateway();
    const event = {fault: signal, gateway: gateway.name};
    const steps = async () => {
      const ended = gateway.whenExited();
      gateway.signal(signal);
      await ended;
      await timers.setTimeout(downTime / 4);
      gateway.start();
    };
    return this.inject(gateway, gateway.name, event, steps, kind);
  }

  private pause(time: number): Promise<void> {
    const gateway = this.pickGateway();
    const event = {fault: 'pause', gateway: gateway.name, time};
    return this.inject(gateway, gateway.name, event, async () => {
      gateway.signal('SIGSTOP');
      await timers.setTimeout(time);
      gateway.signal('SIGCONT');
    });
  }

  private reload(): Promise<void> {
    const gateway = this.pickGateway();
    const event = {fault: 'SIGHUP', gateway: gateway.name};
    // SIGHUP would end a process that has not installed its handler yet.
    const steps = async () => {
      const [key] = this.target.keys;
      if ((await probe.probe(gateway, key, this.history)) > 0) {
        gateway.signal('SIGHUP');
      }
    };
    return this.inject(gateway, gateway.name, event, steps, FaultKind.Reload);
  }

  private relayFault(
    relayOf: (gateway: gatewayChild.GatewayChild) => tcpRelay.TcpRelay,
    path: faultTimes.FaultKind,
    time: number,
  ): Promise<void> {
    const gateway = this.pickGateway();
    const mode = this.random.pick(faultModes.RELAY_MODES);
    const relay = relayOf(gateway);
    const event = {fault: mode, path, gateway: gateway.name, time};
    const steps = async () => {
      relay.setMode(mode);
      await timers.setTimeout(time);
      relay.setMode(RelayMode.Pass);
    };
    return this.inject(relay, gateway.name, event, steps, path);
  }

  private storeFault(time: number): Promise<void> {
    const {store} = this.target;
    const fault = this.random.pick(faultModes.STORE_FAULTS);
    return this.inject(
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
    return this.inject(
      this.compact,
      undefined,
      {fault: 'compact'},
      async () => this.target.store.compact(),
      FaultKind.Compaction,
    );
  }

  private replicaFault(
    mode: replicas.ReplicaMode,
    time: number,
  ): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const event = {fault: `replica ${mode}`, replica: replica.id, time};
    return this.inject(replica, replica.id, event, async () => {
      replica.mode = mode;
      await timers.setTimeout(time);
      replica.engine.breakUnframedStreams();
      replica.mode = ReplicaMode.Normal;
    });
  }

  /** Lets all replicas run requests and reset some of the connections in place of the answers. */
  private loseAnswers(time: number): Promise<void> {
    const event = {fault: 'lose-answers', time};
    const losing = [...this.target.replicas];
    const setShare = (share: number) =>
      losing.forEach(replica => (replica.lossShare = share));
    const subject = faultTimes.ALL_REPLICAS;
    return this.inject(this.loseAnswers, subject, event, async () => {
      setShare(LOSS_SHARE);
      await timers.setTimeout(time);
      setShare(0);
    });
  }

  /** Breaks the connections of the runs of a replica again and again; the runs may go on. */
  private breakConnections(time: number): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const event = {fault: 'break', replica: replica.id, time};
    return this.inject(replica, replica.id, event, async () => {
      const endsAt = performance.now() + time;
      while (performance.now() < endsAt) {
        replica.engine.breakConnections();
        await timers.setTimeout(BREAK_INTERVAL_MILLISECONDS);
      }
    });
  }

  /** Leaves a replica no memory for copies. */
  private fillMemory(time: number): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const event = {fault: 'full', replica: replica.id, time};
    return this.inject(replica, replica.id, event, async () => {
      replica.engine.copies.isFull = true;
      await timers.setTimeout(time);
      replica.engine.copies.isFull = false;
    });
  }

  /** Crashes a replica, and starts it again under its id; gateways learn of it later. */
  private startAgain(time: number): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const event = {fault: 'start-again', replica: replica.id};
    return this.inject(replica, replica.id, event, async () => {
      replica.crash();
      await timers.setTimeout(time / 8);
      await replica.start();
      await timers.setTimeout(time / 8);
      this.target.register(replica, 'ready');
    });
  }

  /** Lets a replica name a limit. */
  private limit(time: number): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const limit = this.random.integer(0, MAX_LIMIT_TENTHS) / 10;
    const event = {fault: 'limit', replica: replica.id, limit};
    return this.inject(replica, replica.id, event, async () => {
      const end = this.history.beginLimit(replica.id, limit, performance.now());
      replica.limit = limit;
      await timers.setTimeout(time + MIN_LIMIT_MILLISECONDS);
      end(performance.now());
      replica.limit = undefined;
    });
  }

  /** Replaces a replica that drains for the given time, or crashes at once when it is 0. */
  private replaceReplica(drainTime: number): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const event = {
      fault: drainTime > 0 ? 'drain' : 'crash',
      replica: replica.id,
    };
    return this.inject(replica, replica.id, event, async () => {
      await this.target.addReplica(replica.service);
      if (drainTime > 0) {
        this.target.register(replica, 'draining');
        this.history.recordDraining(replica.id, performance.now());
        await timers.setTimeout(drainTime);
      }
      this.target.removeReplica(replica);
    });
  }

  /** Evacuates a data centre for longer than the bound, and withdraws the order. */
  private evacuate(time: number): Promise<void> {
    const {store} = this.target;
    const dataCentre = this.random.pick(deployment.DATA_CENTRES);
    const event = {fault: 'evacuate', data_centre: dataCentre, time};
    return this.inject(this.evacuate, '', event, async () => {
      store.put('evacuations', dataCentre, {});
      const end = this.history.places.beginEvacuation(
        dataCentre,
        performance.now(),
      );
      await timers.setTimeout(
        requestHistory.EVACUATION_LIMIT_MILLISECONDS + time,
      );
      end(performance.now());
      store.remove('evacuations', dataCentre);
    });
  }

  /** Crashes a replica and starts one that is cold in its place. */
  private returnCold(): Promise<void> {
    const replica = this.random.pick(this.target.replicas);
    const event = {fault: 'cold', replica: replica.id};
    return this.inject(replica, replica.id, event, async () => {
      this.target.removeReplica(replica);
      await this.target.addReplica(replica.service, true);
    });
  }

  /** Lets the callers of one customer send most of the requests. */
  private flood(time: number): Promise<void> {
    const key = this.random.pick([...this.target.keys]);
    return this.inject(
      this.flood,
      '',
      {fault: 'flood', key, time},
      async () => {
        this.target.floodingKey = key;
        await timers.setTimeout(time);
        this.target.floodingKey = undefined;
      },
    );
  }

  private replaceKey(): Promise<void> {
    const key = this.random.pick([...this.target.keys]);
    return this.inject(this.replaceKey, key, {fault: 'key', key}, async () =>
      this.target.replaceKey(key),
    );
  }

  private configure(): Promise<void> {
    return this.inject(this.configure, '', {fault: 'configure'}, async () =>
      this.target.configure(),
    );
  }

  private writeLargeConfigurations(time: number): Promise<void> {
    const {target, random: numbers} = this;
    const subject = this.writeLargeConfigurations;
    return this.inject(subject, '', {fault: 'large', time}, () =>
      largeConfigurations.writeLargeConfigurations(target, numbers, time),
    );
  }
}
