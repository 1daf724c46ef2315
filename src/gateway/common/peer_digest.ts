/** What gateways tell each other several times a second, and how they judge it. */
import * as configuration from './configuration';
import * as crashTable from './crash_table';
import * as instanceTable from './instance_table';
import * as runTable from './run_table';

/** A short report of one gateway. */
export interface PeerDigest {
  readonly name: string;
  /** Address at which its state is served; empty when it serves none. */
  readonly stateAddress: string;
  readonly configurationVersion: number;
  readonly instancesRevision: number;
  readonly loads: runTable.LoadsByInstance;
  readonly crashes: readonly crashTable.Crash[];
  /** IPs of the gateways that it knows. */
  readonly peers: readonly string[];
  /** Whether it is about to end. */
  readonly isLeaving: boolean;
}

/** The whole state of a gateway, for peers that lack it. */
export interface PeerState {
  readonly configurationRevision: number;
  readonly configuration: configuration.Configuration | undefined;
  readonly instancesRevision: number;
  readonly instances: readonly instanceTable.InstanceRecord[];
}

/** Time without a digest after which a peer counts as gone, in milliseconds. */
export const PEER_LIFETIME_MILLISECONDS = 3_000;

interface Peer {
  digest: PeerDigest;
  heardAt: number;
}

/** Peers by IP. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  private readonly known: Set<string>;
  private largest = 1;

  constructor(
    private readonly ownIp: string,
    seeds: readonly string[],
  ) {
    this.known = new Set(seeds.filter(ip => ip !== ownIp));
  }

  /** IPs to send digests to. */
  addresses(): string[] {
    return [...this.known];
  }

  /** Takes a digest and learns of the peers that it names. */
  note(ip: string, digest: PeerDigest, now: number): void {
    this.peers.set(ip, {digest, heardAt: now});
    [ip, ...digest.peers]
      .filter(each => each !== this.ownIp)
      .forEach(each => this.known.add(each));
    this.largest = Math.max(this.largest, this.live(now).length + 1);
  }

  /** Digests of the peers heard lately. */
  live(now: number): PeerDigest[] {
    return [...this.peers.values()]
      .filter(peer => now - peer.heardAt <= PEER_LIFETIME_MILLISECONDS)
      .map(peer => peer.digest);
  }

  /** Number of gateways that shared budgets are divided by: unseen ones may still spend theirs. */
  gatewayCount(): number {
    return Math.max(this.largest, this.known.size + 1);
  }
}
