/** Sends and receives the datagrams between gateways, and applies what they say. */
import * as dgram from 'node:dgram';
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as boundedServer from '../../../base/node/bounded_server';
import * as jsonLog from '../../../base/node/json_log';
import * as demandTable from '../../common/admission/demand_table';
import * as crashTable from '../../common/crash_table';
import * as engineReports from '../../common/engine_reports';
import * as directMessage from '../../common/fleet/direct_message';
import * as fleetMessage from '../../common/fleet/fleet_message';
import * as gossip from '../../common/fleet/gossip';
import * as loadBroadcast from '../../common/fleet/load_broadcast';
import * as memberTable from '../../common/fleet/member_table';
import * as peerDigest from '../../common/fleet/peer_digest';
import * as watcherElection from '../../common/fleet/watcher_election';
import * as instanceRegistry from '../../common/instance_registry';
import * as instanceLimits from '../../common/limits/instance_limits';
import * as warmUps from '../../common/limits/warm_ups';
import * as promptPartTable from '../../common/prompt_part_table';
import * as promptTrials from '../../common/prompt_trials';
import * as runTable from '../../common/run_table';
import * as evacuationFollower from '../evacuation_follower';
import * as instanceSpeeds from '../../common/speeds/instance_speeds';
import * as gatewayMetrics from '../gateway_metrics';
import * as stateFollower from '../state_follower';
import * as stateTransfer from './state_transfer';

/** Interval of checks what is to be sent, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 100;
/** Interval at which a gateway that cannot reach the source it watches says so, in milliseconds. */
const AWAY_INTERVAL_MILLISECONDS = 2_000;
/** Tokens to which memory is rounded when loads are compared, so that each event of a stream is not a change. */
const MEMORY_GRAIN_TOKENS = 256;

/** Addresses at which peers reach this gateway. */
export interface PeerSettings {
  /** IP and port at which state is served; empty to serve none. */
  readonly stateAddress: string;
  /** UDP port of all gateways. */
  readonly digestPort: number;
}

/** What the exchange reads and updates. */
export interface ExchangeTables {
  readonly members: memberTable.MemberTable;
  readonly runs: runTable.RunTable;
  readonly demand: demandTable.DemandTable;
  readonly crashes: crashTable.CrashTable;
  readonly promptParts: promptPartTable.PromptPartTable;
  readonly promptTrials: promptTrials.PromptTrials;
  readonly reports: engineReports.EngineReports;
  readonly limits: instanceLimits.InstanceLimits;
  readonly warmUps: warmUps.WarmUps;
  readonly speeds: instanceSpeeds.InstanceSpeeds;
}

/** A message that another gateway sent to this one alone. */
export interface ReceivedMessage {
  readonly ip: string;
  readonly message: directMessage.DirectMessage;
}

/** Exchanges state with the other gateways. */
export class FleetExchange implements disposable.Disposable {
  readonly onDidReceiveDirect = new rxjs.Subject<ReceivedMessage>();
  private readonly socket = dgram.createSocket('udp4');
  private readonly gossip: gossip.Gossip;
  private readonly transfer: stateTransfer.StateTransfer;
  private readonly loads = new loadBroadcast.LoadBroadcast();
  private readonly disposables = new disposable.DisposableStore();
  private readonly subscriptions: rxjs.Subscription[] = [];
  private pagedAt = -Infinity;
  private beaconAt = -Infinity;
  private wasSourceAway = false;
  /** Number of limits that peers were told of. */
  private toldLimits = 0;
  /** Number of statements on warm-ups that peers were told of. */
  private toldWarmUps = 0;
  /** Number of instances that say that they leave of which peers were told. */
  private toldLeaving = 0;
  /** Monotonic time at which this process ends, in milliseconds; undefined unless it is shutting down. */
  private endsAt: number | undefined;

  constructor(
    private readonly settings: PeerSettings,
    private readonly tables: ExchangeTables,
    private readonly follower: stateFollower.StateFollower,
    private readonly evacuations: evacuationFollower.EvacuationFollower,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
    serverOptions: boundedServer.BoundedServerOptions,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.gossip = new gossip.Gossip(
      tables.members,
      now => this.digest(now),
      process.pid + Math.floor(Math.random() * 2 ** 31),
    );
    this.transfer = new stateTransfer.StateTransfer(
      follower,
      evacuations,
      serverOptions,
      log,
    );
  }

  start(): void {
    this.socket.on('message', (bytes, sender) =>
      this.receive(bytes, sender.address),
    );
    this.socket.on('error', error =>
      this.log.write('peer-socket-failed', {error: error.message}, true),
    );
    this.socket.bind(this.settings.digestPort, this.tables.members.own.ip);
    this.transfer.listen(this.settings.stateAddress);
    this.subscriptions.push(
      this.follower.onDidReadChange.subscribe(change => this.relay(change)),
      this.follower.onDidChangeConfiguration.subscribe(() => this.relay()),
      this.evacuations.onDidReadChange.subscribe(() => this.spreadNow()),
    );
    this.disposables.add(
      disposable.every(CHECK_INTERVAL_MILLISECONDS, () => this.check()),
    );
  }

  dispose(): void {
    this.subscriptions.forEach(each => each.unsubscribe());
    this.disposables.dispose();
    this.socket.close();
    this.transfer.dispose();
  }

  /** Immediately announces to the peers when this process will end. */
  announceShutdown(endsAt: number): void {
    this.endsAt = endsAt;
    this.send(this.gossip.spread(performance.now(), true), 'rumor');
  }

  /** Sends a message to one other gateway; it may be lost. */
  sendDirect(ip: string, message: directMessage.DirectMessage): void {
    const bytes = directMessage.encode(message);
    this.countSent('direct', 1, bytes);
    this.socket.send(bytes, this.settings.digestPort, ip, () => undefined);
  }

  /** Relays what was read from the source, if this gateway watches it. */
  private relay(change?: instanceRegistry.RegistryChange): void {
    if (this.follower.isWatching) {
      this.spreadNow(change);
    }
  }

  /** Sends the digest, and a change, to all peers by way of a few. */
  private spreadNow(change?: instanceRegistry.RegistryChange): void {
    this.beaconAt = performance.now();
    this.send(this.gossip.spread(this.beaconAt, true, change), 'rumor');
  }

  private check(): void {
    const now = performance.now();
    const {members, runs, crashes, promptParts, limits} = this.tables;
    const liveCount = members.live().length;
    this.metrics.fleetMembers.set(liveCount);
    runs.removeReportsBefore(now - loadBroadcast.loadLifetime(liveCount));
    if (now - this.pagedAt >= gossip.GOSSIP_INTERVAL_MILLISECONDS) {
      this.pagedAt = now;
      this.send(this.gossip.step(now), 'page');
    }
    const hasNews =
      crashes.hasUntold ||
      promptParts.hasUntold ||
      this.tables.promptTrials.isDue(now) ||
      limits.ownChangeCount > this.toldLimits ||
      this.tables.warmUps.ownChangeCount > this.toldWarmUps ||
      this.follower.instances.leaving.ownChangeCount > this.toldLeaving;
    if (this.isBeaconDue(now) || hasNews) {
      this.beaconAt = now;
      this.tables.promptTrials.markTold(now);
      this.toldLimits = limits.ownChangeCount;
      this.toldWarmUps = this.tables.warmUps.ownChangeCount;
      this.toldLeaving = this.follower.instances.leaving.ownChangeCount;
      const omitted = this.send(this.gossip.spread(now, hasNews), 'rumor');
      if (!omitted.has('crashes')) {
        crashes.markTold();
      }
      if (!omitted.has('promptParts')) {
        promptParts.markTold();
      }
    }
    if (this.loads.isDue(this.loadSignature(), liveCount, now)) {
      this.send(this.gossip.broadcast(now), 'loads');
    }
  }

  /** Whether peers are to be told that this gateway watches the source, or that it cannot reach it. */
  private isBeaconDue(now: number): boolean {
    const {isWatching, isSourceUnavailable} = this.follower;
    const hasChanged = isSourceUnavailable !== this.wasSourceAway;
    this.wasSourceAway = isSourceUnavailable;
    const interval = isSourceUnavailable
      ? AWAY_INTERVAL_MILLISECONDS
      : watcherElection.BEACON_INTERVAL_MILLISECONDS;
    return isWatching && (hasChanged || now - this.beaconAt >= interval);
  }

  /** Identifies what waits at this gateway and the loads of its runs, up to small differences. */
  private loadSignature(): string {
    const waiting = this.tables.demand.waitingSignature();
    return Object.entries(this.tables.runs.ownLoads())
      .map(([id, load]) => {
        const memory = Math.round(load.memoryTokens / MEMORY_GRAIN_TOKENS);
        return `${id}/${load.runs}/${memory}/${load.prefillTokens}`;
      })
      .concat(waiting === '' ? [] : waiting)
      .join();
  }

  /** Sends messages; returns the parts that were left out of them. */
  private send(
    outgoing: readonly gossip.Outgoing[],
    kind: string,
  ): ReadonlySet<string> {
    const allOmitted = new Set<string>();
    for (const {message, ips} of outgoing) {
      if (ips.length === 0) {
        continue;
      }
      const {bytes, omitted} = fleetMessage.encode(message);
      if (omitted.length > 0) {
        this.log.write('fleet-message-reduced', {kind, omitted});
        omitted.forEach(part => allOmitted.add(part));
      }
      this.countSent(kind, ips.length, bytes);
      for (const ip of ips) {
        // Later messages make up for a lost one.
        this.socket.send(bytes, this.settings.digestPort, ip, () => undefined);
      }
    }
    return allOmitted;
  }

  private countSent(kind: string, count: number, bytes: Buffer): void {
    const {fleetMessages, fleetBytes} = this.metrics;
    fleetMessages.inc({direction: 'sent', kind}, count);
    fleetBytes.inc({direction: 'sent', kind}, count * bytes.length);
  }

  private digest(now: number): peerDigest.PeerDigest {
    const {follower, tables} = this;
    const {own} = tables.members;
    const sourceAge = follower.sourceAge(now);
    const reports = tables.reports.toRelay(now);
    const promptParts = tables.promptParts.toRelay(now);
    const promptTrials = tables.promptTrials.toRelay();
    const limits = tables.limits.toRelay(now);
    const cold = tables.warmUps.toRelay(now);
    const leaving = follower.instances.leaving.toRelay(now);
    const speeds = tables.speeds.toRelay(now);
    const demand = tables.demand.toRelay(now);
    return {
      name: own.name,
      stateAddress: this.settings.stateAddress,
      configurationVersion: follower.configurationVersion,
      instancesPosition: follower.instancesPosition,
      storeEra: follower.era.current,
      isSourceAway: follower.isSourceUnavailable,
      sourceAgeMilliseconds:
        sourceAge === undefined ? undefined : Math.round(sourceAge),
      loads: tables.runs.ownLoads(),
      crashes: tables.crashes.recent(now),
      promptParts: promptParts.length > 0 ? promptParts : undefined,
      promptTrials: promptTrials.length > 0 ? promptTrials : undefined,
      limits: limits.length > 0 ? limits : undefined,
      evacuated: this.evacuations.toRelay(),
      warmUps: cold.length > 0 ? cold : undefined,
      leaving: leaving.length > 0 ? leaving : undefined,
      demand: demand.length > 0 ? demand : undefined,
      reports: reports.length > 0 ? reports : undefined,
      speeds: speeds.length > 0 ? speeds : undefined,
      messageVersion: peerDigest.MESSAGE_VERSION,
      peers: [],
      endsInMilliseconds:
        this.endsAt === undefined ? undefined : Math.round(this.endsAt - now),
      isWide: own.isWide,
    };
  }

  private receive(bytes: Buffer, ip: string): void {
    const now = performance.now();
    if (directMessage.isDirect(bytes)) {
      return this.receiveDirect(bytes, ip);
    }
    const message = fleetMessage.parse(bytes);
    const kind = message === undefined ? 'unreadable' : kindOf(message);
    this.metrics.fleetMessages.inc({direction: 'received', kind});
    this.metrics.fleetBytes.inc({direction: 'received', kind}, bytes.length);
    if (message === undefined) {
      return this.logUnreadable(bytes, ip);
    }
    const received = this.gossip.receive(message, ip, now);
    this.send(received.outgoing, kind);
    if (received.isNew) {
      this.apply(message, now);
    }
  }

  private receiveDirect(bytes: Buffer, ip: string): void {
    const message = directMessage.parse(bytes);
    const kind = message === undefined ? 'unreadable' : 'direct';
    this.metrics.fleetMessages.inc({direction: 'received', kind});
    this.metrics.fleetBytes.inc({direction: 'received', kind}, bytes.length);
    if (message === undefined) {
      return this.logUnreadable(bytes, ip);
    }
    this.onDidReceiveDirect.next({ip, message});
  }

  private logUnreadable(bytes: Buffer, ip: string): void {
    this.log.write('peer-digest-unreadable', {ip, bytes: bytes.length});
  }

  private apply(message: fleetMessage.FleetMessage, now: number): void {
    const {digest, change} = message;
    const {runs, demand, reports, crashes, promptParts, limits, speeds} =
      this.tables;
    this.follower.era.observe(digest.storeEra, digest.name);
    const isComparable = this.follower.era.isCurrent(digest.storeEra);
    if (isComparable) {
      this.evacuations.applyDigest(digest, now);
    }
    runs.setPeerLoads(digest.name, digest.loads, now);
    demand.setPeerDemand(digest.name, digest.demand ?? [], now);
    reports.addRelayed(digest.reports ?? [], now);
    digest.crashes.forEach(crash => crashes.add(crash, now));
    promptParts.merge(digest.promptParts ?? [], now);
    this.tables.promptTrials.setPeerClaims(
      digest.name,
      digest.promptTrials ?? [],
      now,
    );
    limits.merge(digest.limits ?? [], now);
    this.tables.warmUps.merge(digest.warmUps ?? [], now);
    this.follower.instances
      .mergeLeaving(digest.leaving ?? [], now)
      .forEach(each => this.follower.markLeaving(each, digest.name));
    speeds.merge(digest.speeds ?? [], now);
    const isChangeDue = isComparable && !this.follower.isWatching;
    if (change !== undefined && isChangeDue) {
      this.follower.applyRelayedChange(change, digest.name);
    }
    if (digest.sourceAgeMilliseconds !== undefined) {
      this.follower.confirmConfiguration(
        digest.configurationVersion,
        now - digest.sourceAgeMilliseconds,
      );
    }
    this.transfer.fetchNewerState(digest, now);
  }
}

/** Name of a received message in metrics. */
function kindOf({fleet}: fleetMessage.FleetMessage): string {
  if (fleet === undefined) {
    return 'legacy';
  }
  if (fleet.rumor !== undefined) {
    return 'rumor';
  }
  return fleet.members === undefined ? 'loads' : 'page';
}
