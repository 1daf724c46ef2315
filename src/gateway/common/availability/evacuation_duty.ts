/**
 * Decides whether a gateway that does not watch the source reads evacuations
 * nevertheless. During a rolling release the gateways that watch may all be of
 * an older build, which does not read them. Then the first few gateways that
 * know of evacuations read them for the others.
 */
import * as hash from '../../../base/common/hash';

/** Number of gateways that read evacuations while no watching gateway does; two may fail at the same time. */
const SUBSTITUTES = 3;
/** Time without a watching gateway that knows of evacuations after which others read them, in milliseconds: three beacons of each watcher are then lost. */
const WATCHER_SILENCE_MILLISECONDS = 2_600;
/** Time for which a gateway counts after it was last heard to know of evacuations, in milliseconds. */
const PEER_LIFETIME_MILLISECONDS = 10_000;

/** Largest number of peers that are remembered; those heard longest ago are forgotten first. */
const MAX_PEERS = 2_048;

/** Who reads evacuations, as heard by one gateway. */
export class EvacuationDuty {
  /** Monotonic milliseconds at which each peer was last heard to know of evacuations, by name. */
  private readonly heardAt = new Map<string, number>();

  constructor(
    private readonly ownName: string,
    /** Monotonic milliseconds at which a watching gateway that knows of evacuations was last heard; at first the start. */
    private watcherHeardAt: number,
  ) {}

  /** Records a peer whose message tells of evacuations. */
  recordPeer(name: string, isWatching: boolean, now: number): void {
    this.heardAt.delete(name);
    this.heardAt.set(name, now);
    if (this.heardAt.size > MAX_PEERS) {
      this.heardAt.delete(this.heardAt.keys().next().value!);
    }
    if (isWatching) {
      this.watcherHeardAt = now;
    }
  }

  /** Whether this gateway has to read evacuations although it does not watch the source. */
  isSubstitute(now: number): boolean {
    if (now - this.watcherHeardAt <= WATCHER_SILENCE_MILLISECONDS) {
      return false;
    }
    const own = hash.hashOf(this.ownName);
    let ahead = 0;
    this.heardAt.forEach((at, name) => {
      if (now - at > PEER_LIFETIME_MILLISECONDS) {
        this.heardAt.delete(name);
      } else if (hash.hashOf(name) < own) {
        ahead++;
      }
    });
    return ahead < SUBSTITUTES;
  }
}
