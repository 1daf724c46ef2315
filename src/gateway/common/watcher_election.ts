/**
 * Decides which gateways watch the source of configuration and instances.
 * Answers fleets of many gateways: each watch is a counted call, and every
 * change would wake all of them. A few watch and pass on what they see; the
 * others watch again as soon as nobody does that for them.
 */
import * as hash from '../../base/common/hash';
import * as peerDigest from './peer_digest';

/** Gateways up to which each watches by itself: relaying would save little. */
const MAX_INDEPENDENT_WATCHERS = 6;
/** Gateways that watch for all others; two may end at the same moment. */
const ELECTED_WATCHERS = 3;
/**
 * Age up to which the last answer of the source to a relaying peer counts, in
 * milliseconds: a watch is answered after 2 s at the latest, a silent one is
 * given up after 2.5 s.
 */
const MAX_RELAY_AGE_MILLISECONDS = 2_600;

/** Decides for one gateway. */
export class WatcherElection {
  constructor(
    private readonly ownName: string,
    private readonly peers: peerDigest.PeerTable,
  ) {}

  /** Whether this gateway has to watch the source itself. */
  isWatcher(now: number): boolean {
    const peers = this.peers.freshPeers(now);
    if (peers.length < MAX_INDEPENDENT_WATCHERS) {
      return true;
    }
    return this.isElected(peers) || !this.isRelayed(peers, now);
  }

  /** Ranks all gateways alike; those that lost the source come last. */
  private isElected(peers: readonly peerDigest.PeerEntry[]): boolean {
    const ownRank = rank(this.ownName);
    const before = peers.filter(
      ({digest}) => !digest.isSourceAway && rank(digest.name) < ownRank,
    );
    return before.length < ELECTED_WATCHERS;
  }

  private isRelayed(
    peers: readonly peerDigest.PeerEntry[],
    now: number,
  ): boolean {
    return peers.some(({digest, receivedAt: heardAt}) => {
      const {sourceAgeMilliseconds} = digest;
      return (
        sourceAgeMilliseconds !== undefined &&
        sourceAgeMilliseconds + now - heardAt <= MAX_RELAY_AGE_MILLISECONDS
      );
    });
  }
}

/** The same at all gateways; spreads the duty over data centres. */
function rank(name: string): number {
  return hash.hashOf(name);
}
