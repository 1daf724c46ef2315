/**
 * Elects the gateways that watch the source of configuration and instances.
 * With many gateways, each watch is a counted call and every change would wake
 * all of them. A few gateways watch and spread what they read; the others take
 * over in the order of their ranks when they hear nothing, so that a lost
 * message does not let all of them call the source.
 */
import * as hash from '../../../base/common/hash';
import * as memberTable from './member_table';
import * as peerDigest from './peer_digest';

/** Number of gateways up to which each watches the source itself, since relaying would save little. */
const MAX_INDEPENDENT_WATCHERS = 6;
/** Number of gateways that watch for all others; two may fail at the same time. */
const ELECTED_WATCHERS = 3;
/** Interval at which a watching gateway spreads its digest, in milliseconds. */
export const BEACON_INTERVAL_MILLISECONDS = 800;
/**
 * Maximum age of the source's last answer to a relaying peer, in milliseconds:
 * the source answers a watch within 2 s, and a watch without an answer is
 * aborted after 2.5 s.
 */
const MAX_RELAY_AGE_MILLISECONDS = 2_600;
/** Time without a digest of any watching peer after which the first others take over, in milliseconds: the last two of each of three watchers are then lost. */
const TAKE_OVER_MILLISECONDS = 1_700;
/** Time by which each further group waits longer, in milliseconds: long enough for the one before it to be heard. */
const TAKE_OVER_STEP_MILLISECONDS = 250;
/** Limit of that time, in milliseconds: a gateway that is cut off from all others must soon read the source itself. */
const MAX_TAKE_OVER_MILLISECONDS = 2_400;
/** Age up to which a digest that tells of an unreachable source is believed, in milliseconds. */
const AWAY_LIFETIME_MILLISECONDS = 3_000;

/** Decides whether one gateway has to watch the source. */
export class WatcherElection {
  /** The last decision; a gateway reads the source when it starts. */
  private wasWatcher = true;

  constructor(private readonly members: memberTable.MemberTable) {}

  /** Decides whether this gateway has to watch the source itself. */
  isWatcher(now: number): boolean {
    this.wasWatcher = this.decide(now);
    return this.wasWatcher;
  }

  private decide(now: number): boolean {
    const live = this.members.live();
    if (live.length < MAX_INDEPENDENT_WATCHERS) {
      return true;
    }
    const position = this.position(live, now);
    if (position < ELECTED_WATCHERS) {
      return true;
    }
    // Those that took over go on until enough others that precede them are heard.
    return this.wasWatcher
      ? this.readersAhead(live, now) < ELECTED_WATCHERS
      : !this.isRelayed(position, now);
  }

  /** Number of gateways that come before this one and are heard to read the source. */
  private readersAhead(
    live: readonly memberTable.Member[],
    now: number,
  ): number {
    return live.filter(
      member =>
        member.entry !== undefined &&
        now - member.entry.receivedAt <= TAKE_OVER_MILLISECONDS &&
        isReading(member.entry, now) &&
        precedes(member, this.members.own),
    ).length;
  }

  /** Number of gateways that come before this one. All compute the same order; those known not to reach the source come last. */
  private position(live: readonly memberTable.Member[], now: number): number {
    const {own} = this.members;
    return live.filter(
      member =>
        member.name !== '' && !isAway(member, now) && precedes(member, own),
    ).length;
  }

  private isRelayed(position: number, now: number): boolean {
    const group = Math.floor(Math.log2(position / ELECTED_WATCHERS));
    const limit = Math.min(
      MAX_TAKE_OVER_MILLISECONDS,
      TAKE_OVER_MILLISECONDS + group * TAKE_OVER_STEP_MILLISECONDS,
    );
    return this.members
      .recentEntries(now, limit)
      .some(entry => isReading(entry, now));
  }
}

function isReading(entry: peerDigest.PeerEntry, now: number): boolean {
  const {sourceAgeMilliseconds} = entry.digest;
  return (
    sourceAgeMilliseconds !== undefined &&
    sourceAgeMilliseconds + now - entry.receivedAt <= MAX_RELAY_AGE_MILLISECONDS
  );
}

function isAway({entry}: memberTable.Member, now: number): boolean {
  return (
    entry !== undefined &&
    entry.digest.isSourceAway &&
    now - entry.receivedAt <= AWAY_LIFETIME_MILLISECONDS
  );
}

/** Gateways with wide links come first; among equals the hash spreads the duty over data centres. */
function precedes(
  member: memberTable.Member,
  own: memberTable.MemberIdentity,
): boolean {
  if (member.isWide !== own.isWide) {
    return member.isWide;
  }
  return hash.hashOf(member.name) < hash.hashOf(own.name);
}
