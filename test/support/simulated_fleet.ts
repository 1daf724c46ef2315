/** Many gateways that exchange fleet messages over a lossy network on a simulated clock. */
import * as pureRand from 'pure-rand';
import * as directMessage from '../../src/gateway/common/fleet/direct_message';
import * as fleetMessage from '../../src/gateway/common/fleet/fleet_message';
import * as gossip from '../../src/gateway/common/fleet/gossip';
import * as instanceLimits from '../../src/gateway/common/limits/instance_limits';
import * as warmUps from '../../src/gateway/common/limits/warm_ups';
import * as memberTable from '../../src/gateway/common/fleet/member_table';
import * as watcherElection from '../../src/gateway/common/fleet/watcher_election';
import * as peerDigest from '../../src/gateway/common/fleet/peer_digest';

/** Time that a datagram is on its way, in milliseconds. */
const LATENCY_MILLISECONDS = 4;
/** Step of the simulated clock, in milliseconds. */
const STEP_MILLISECONDS = 4;
/** Steps between two checks of what a test waits for. */
const STEPS_PER_CHECK = 25;
/** Number of gateways that spread beacons, as elected watchers do. */
const BEACON_SENDERS = 3;
/** UDP and IP headers of a datagram, in bytes. */
const HEADER_BYTES = 28;

/** One simulated gateway. */
export class SimulatedGateway {
  table: memberTable.MemberTable;
  gossip: gossip.Gossip;
  /** Newest version of the configuration that this gateway knows. */
  version = 1;
  isUp = true;
  /** Whether it neither sends nor receives, but goes on afterwards. */
  isFrozen = false;
  /** Whether what it sends is lost. */
  isMute = false;
  sentBytes = 0;
  receivedBytes = 0;
  sentMessages = 0;
  /** Direct messages sent, and their bytes with headers. */
  directMessages = 0;
  directBytes = 0;
  /** Limits that this gateway knows; undefined unless a test simulates them. */
  limits: instanceLimits.InstanceLimits | undefined;
  /** Cold instances that this gateway knows; undefined unless a test simulates them. */
  warmUps: warmUps.WarmUps | undefined;
  private process = 1;

  constructor(
    readonly index: number,
    readonly ip: string,
    private readonly seeds: readonly string[],
    private readonly random: () => number,
  ) {
    this.table = this.createTable();
    this.gossip = this.createGossip();
  }

  /** Starts again and knows nothing. */
  restart(): void {
    this.process++;
    this.version = 1;
    this.table = this.createTable();
    this.gossip = this.createGossip();
    this.isUp = true;
  }

  /** The digest of this gateway. */
  digest(now: number): peerDigest.PeerDigest {
    return {
      name: `gateway-${this.index}`,
      stateAddress: `${this.ip}:8748`,
      configurationVersion: this.version,
      instancesPosition: 1_000,
      isSourceAway: false,
      sourceAgeMilliseconds: this.index < BEACON_SENDERS ? 500 : undefined,
      loads: {},
      crashes: [],
      peers: [],
      isWide: this.index % 5 === 0,
      messageVersion: peerDigest.MESSAGE_VERSION,
      limits: this.limits?.toRelay(now),
      warmUps: this.warmUps?.toRelay(now),
    };
  }

  private createTable(): memberTable.MemberTable {
    const own = {
      ip: this.ip,
      name: `gateway-${this.index}`,
      isWide: this.index % 5 === 0,
    };
    return new memberTable.MemberTable(own, this.seeds, this.random);
  }

  private createGossip(): gossip.Gossip {
    return new gossip.Gossip(this.table, now => this.digest(now), this.process);
  }
}

interface Delivery {
  readonly from: SimulatedGateway;
  readonly to: SimulatedGateway;
  readonly bytes: number;
  /** Lets the receiver handle the message. */
  readonly receive: () => void;
}

/** The fleet, its network and its clock. */
export class SimulatedFleet {
  readonly gateways: SimulatedGateway[];
  now = 0;
  /** Share of datagrams that are lost. */
  loss = 0.01;
  /** Returns whether datagrams from one gateway to the other are lost. */
  isCut: (from: SimulatedGateway, to: SimulatedGateway) => boolean = () =>
    false;
  /** Runs at the end of each step of the clock. */
  onStep: () => void = () => undefined;
  private readonly byIp = new Map<string, SimulatedGateway>();
  private readonly inFlight = new Map<number, Delivery[]>();
  private isCounting = false;
  private readonly sizes = new WeakMap<fleetMessage.FleetMessage, number>();
  private readonly generator: pureRand.RandomGenerator;

  constructor(count: number, seed: number) {
    this.generator = pureRand.xoroshiro128plus(seed);
    const ipOf = (index: number) => `10.${index >> 8}.${index & 255}.7`;
    const seeds = [0, 1, 2].map(ipOf);
    this.gateways = Array.from(
      {length: count},
      (_, index) =>
        new SimulatedGateway(index, ipOf(index), seeds, () => this.random()),
    );
    this.gateways.forEach(each => this.byIp.set(each.ip, each));
  }

  get running(): SimulatedGateway[] {
    return this.gateways.filter(each => each.isUp && !each.isFrozen);
  }

  /** Runs the fleet until the condition holds or the time is over; returns the milliseconds that passed. */
  runUntil(condition: () => boolean, maxMilliseconds: number): number {
    const start = this.now;
    while (!condition() && this.now - start < maxMilliseconds) {
      for (let steps = 0; steps < STEPS_PER_CHECK; steps++) {
        this.step();
      }
    }
    return this.now - start;
  }

  run(milliseconds: number): void {
    this.runUntil(() => false, milliseconds);
  }

  /** Whether every running gateway regards exactly the other running ones as live. */
  isComplete(): boolean {
    const {running} = this;
    return running.every(
      each => each.table.live().length === running.length - 1,
    );
  }

  /** Publishes a new version through one gateway. */
  publish(from: SimulatedGateway, version: number): void {
    from.version = version;
    this.send(from, from.gossip.spread(this.now, true));
  }

  /** Lets all gateways know each other, as some time after their start. */
  introduceAll(): void {
    for (const each of this.gateways) {
      for (const other of this.gateways) {
        each.table.addDigest(other.ip, other.digest(this.now), 0, this.now);
      }
    }
    this.gateways.forEach(each => each.table.forgetNews());
  }

  /** Smallest share of the other running gateways that any of them regards as live. */
  leastKnownShare(): number {
    const {running} = this;
    const counts = running.map(each => each.table.live().length);
    return Math.min(...counts) / (running.length - 1);
  }

  /** Counts bytes and messages from now on. */
  startCounting(): void {
    this.isCounting = true;
    for (const each of this.gateways) {
      each.sentBytes = each.receivedBytes = each.sentMessages = 0;
      each.directMessages = each.directBytes = 0;
    }
  }

  /** Sends a message to one gateway; `receive` runs there unless the message is lost. */
  sendDirect(
    from: SimulatedGateway,
    ip: string,
    message: directMessage.DirectMessage,
    receive: (
      to: SimulatedGateway,
      message: directMessage.DirectMessage,
    ) => void,
  ): void {
    const bytes = directMessage.encode(message);
    const size = bytes.length + HEADER_BYTES;
    from.directMessages++;
    from.directBytes += size;
    const to = this.byIp.get(ip)!;
    this.post(from, to, size, () => receive(to, directMessage.parse(bytes)!));
  }

  /** A random number from 0 to 1. */
  random(): number {
    return (
      pureRand.unsafeUniformIntDistribution(0, 0x7fffffff, this.generator) /
      0x80000000
    );
  }

  private step(): void {
    this.now += STEP_MILLISECONDS;
    const due = this.inFlight.get(this.now) ?? [];
    this.inFlight.delete(this.now);
    due.forEach(each => this.deliver(each));
    for (const each of this.gateways) {
      if (each.isUp && !each.isFrozen) {
        this.tick(each);
      }
    }
    this.onStep();
  }

  /** Gateways have different phases, as after starts at different times. */
  private tick(gateway: SimulatedGateway): void {
    const phase = this.now + gateway.index * STEP_MILLISECONDS;
    if (phase % gossip.GOSSIP_INTERVAL_MILLISECONDS < STEP_MILLISECONDS) {
      this.send(gateway, gateway.gossip.step(this.now));
    }
    const isWatching = gateway.index < BEACON_SENDERS;
    const interval = watcherElection.BEACON_INTERVAL_MILLISECONDS;
    if (isWatching && phase % interval < STEP_MILLISECONDS) {
      this.send(gateway, gateway.gossip.spread(this.now, false));
    }
  }

  private send(
    from: SimulatedGateway,
    outgoing: readonly gossip.Outgoing[],
  ): void {
    for (const {message, ips} of outgoing) {
      const bytes = this.isCounting ? this.sizeOf(message) : 0;
      from.sentMessages += ips.length;
      from.sentBytes += bytes * ips.length;
      for (const ip of ips) {
        const to = this.byIp.get(ip);
        if (to !== undefined) {
          this.post(from, to, bytes, () => this.receive(from, to, message));
        }
      }
    }
  }

  /** Rumors are sent on as they came, so each is encoded once. */
  private sizeOf(message: fleetMessage.FleetMessage): number {
    const known = this.sizes.get(message);
    const size =
      known ?? fleetMessage.encode(message).bytes.length + HEADER_BYTES;
    this.sizes.set(message, size);
    return size;
  }

  private post(
    from: SimulatedGateway,
    to: SimulatedGateway,
    bytes: number,
    receive: () => void,
  ): void {
    const isLost =
      from.isMute || this.random() < this.loss || this.isCut(from, to);
    if (isLost) {
      return;
    }
    const at = this.now + LATENCY_MILLISECONDS;
    const due = this.inFlight.get(at) ?? [];
    due.push({from, to, bytes, receive});
    this.inFlight.set(at, due);
  }

  private deliver({to, bytes, receive}: Delivery): void {
    if (to.isUp && !to.isFrozen) {
      to.receivedBytes += bytes;
      receive();
    }
  }

  private receive(
    from: SimulatedGateway,
    to: SimulatedGateway,
    message: fleetMessage.FleetMessage,
  ): void {
    const received = to.gossip.receive(message, from.ip, this.now);
    this.send(to, received.outgoing);
    if (received.isNew) {
      // Stands for reading the version from the store or the peer.
      to.version = Math.max(to.version, message.digest.configurationVersion);
      to.limits?.merge(message.digest.limits ?? [], this.now);
      to.warmUps?.merge(message.digest.warmUps ?? [], this.now);
    }
  }
}
