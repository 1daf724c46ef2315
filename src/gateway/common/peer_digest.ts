/** What gateways tell each other several times a second, and how they judge it. */
import * as configuration from './configuration';
import * as crashTable from './crash_table';
import * as engineReports from './engine_reports';
import * as instanceTable from './instance_table';
import * as shutdownPolicy from './shutdown_policy';
import * as runTable from './run_table';

/** A short report of one gateway. */
export interface PeerDigest {
  readonly name: string;
  /** Address at which its state is served; empty when it serves none. */
  readonly stateAddress: string;
  readonly configurationVersion: number;
  /** Position of its registry of instances. */
  readonly instancesPosition: number;
  /** Whether its last call to the source of state failed. */
  readonly isSourceAway: boolean;
  /** Age of what the source told it last, in milliseconds; undefined unless it watches the source. */
  readonly sourceAgeMilliseconds?: number;
  readonly loads: runTable.LoadsByInstance;
  readonly crashes: readonly crashTable.Crash[];
  /** Reports of engines that it read; absent when there are none. */
  readonly reports?: readonly engineReports.RelayedReport[];
  /** IPs of the gateways that it heard lately. */
  readonly peers: readonly string[];
  /** Time until it ends, in milliseconds; undefined unless it is about to end. */
  readonly endsInMilliseconds?: number;
}

/** The whole state of a gateway, for peers that lack it. */
export interface PeerState {
  readonly configurationRevision: number;
  readonly configuration: configuration.Configuration | undefined;
  readonly instancesPosition: number;
  readonly instances: readonly instanceTable.InstanceRecord[];
}

/** Time without a digest after which a peer counts as gone, in milliseconds. */
export const PEER_LIFETIME_MILLISECONDS = 3_000;

/** Time without a digest after which a peer is not relied on, in milliseconds; digests come several times a second. */
const FRESH_MILLISECONDS = 1_000;

/** Time without a digest after which a peer is forgotten, in milliseconds; longer than budgets are counted. */
const FORGET_MILLISECONDS = 60_000;

/** A peer with its last digest. */
export interface PeerEntry {
  readonly digest: PeerDigest;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** Peers by IP. */
export class PeerTable {
  private readonly peers = new Map<string, PeerEntry>();
  /** Time at which each peer was last heard or first named, by IP. */
  private readonly knownIps = new Map<string, number>();

  constructor(
    private readonly ownIp: string,
    private readonly seeds: readonly string[],
  ) {
    seeds.forEach(ip => this.addIp(ip));
  }

  /** Learns of a peer. */
  addIp(ip: string, now = performance.now()): void {
    if (ip !== this.ownIp && !this.knownIps.has(ip)) {
      this.knownIps.set(ip, now);
    }
  }

  /** IPs to send digests to. */
  addresses(): string[] {
    return [...this.knownIps.keys()];
  }

  /** IPs of the peers heard lately; only those are passed on, so that a dead one is forgotten everywhere. */
  recentIps(now: number): string[] {
    return [...this.peers]
      .filter(([, peer]) => now - peer.receivedAt <= PEER_LIFETIME_MILLISECONDS)
      .map(([ip]) => ip);
  }

  /** Takes a digest and learns of the peers that it names. */
  addDigest(ip: string, digest: PeerDigest, now: number): void {
    this.peers.set(ip, {digest, receivedAt: now});
    this.knownIps.set(ip, now);
    digest.peers.forEach(each => this.addIp(each, now));
    this.forget(now);
  }

  /** Digests of the peers heard lately. */
  recentDigests(now: number): PeerDigest[] {
    return [...this.peers.values()]
      .filter(peer => now - peer.receivedAt <= PEER_LIFETIME_MILLISECONDS)
      .map(peer => peer.digest);
  }

  /** Peers that are surely alive. */
  freshPeers(now: number): PeerEntry[] {
    return [...this.peers.values()].filter(
      peer => now - peer.receivedAt <= FRESH_MILLISECONDS,
    );
  }

  /** Which peers take new callers, and when the first of the others ends. */
  availability(now: number): shutdownPolicy.PeerAvailability {
    let stayingCount = 0;
    let firstEndMilliseconds = Infinity;
    for (const {digest, receivedAt: heardAt} of this.peers.values()) {
      const age = now - heardAt;
      if (age > PEER_LIFETIME_MILLISECONDS) {
        continue;
      }
      if (digest.endsInMilliseconds === undefined) {
        stayingCount++;
      } else {
        const endsIn = Math.max(0, digest.endsInMilliseconds - age);
        firstEndMilliseconds = Math.min(firstEndMilliseconds, endsIn);
      }
    }
    return {stayingCount, firstEndMilliseconds};
  }

  /** Number of gateways that shared budgets are divided by: unseen ones may still spend theirs. */
  gatewayCount(): number {
    return this.knownIps.size + 1;
  }

  /** Forgets peers that were not heard for long; seeds are kept. */
  private forget(now: number): void {
    for (const [ip, heardAt] of this.knownIps) {
      const isOld = now - heardAt > FORGET_MILLISECONDS;
      if (isOld && !this.seeds.includes(ip)) {
        this.knownIps.delete(ip);
        this.peers.delete(ip);
      }
    }
  }
}
