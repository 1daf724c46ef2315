/** Gateways that read direct messages, and which of them are responsible for a key. */
import * as hash from '../../../base/common/hash';
import * as memberTable from './member_table';
import * as peerDigest from './peer_digest';

/** Interval at which the list is rebuilt, in milliseconds. */
const REFRESH_MILLISECONDS = 100;
/** Time after its start in which a gateway gets to know the others, and they it, in milliseconds. */
const SETTLING_MILLISECONDS = 2_000;

/** Other gateways of this build that are not about to exit. */
export class DirectMembers {
  private known: readonly string[] = [];
  private refreshedAt = -Infinity;

  constructor(
    private readonly members: memberTable.MemberTable,
    /** Monotonic milliseconds at which this gateway started. */
    private readonly startedAt: number,
  ) {}

  /** Whether this gateway has just started, so that it and others may not know each other. */
  isSettling(now: number): boolean {
    return now - this.startedAt < SETTLING_MILLISECONDS;
  }

  /** IPs of the gateways. */
  ips(now: number): readonly string[] {
    if (now - this.refreshedAt >= REFRESH_MILLISECONDS) {
      this.refreshedAt = now;
      this.known = this.members
        .live()
        .filter(readsDirectMessages)
        .map(each => each.ip);
    }
    return this.known;
  }
}

/** Rendezvous hashing: returns the `count` IPs that are responsible for a key, in order of precedence. Gateways that know the same members agree. */
export function responsibleFor(
  key: string,
  ips: readonly string[],
  count: number,
): string[] {
  const best: {readonly ip: string; readonly rank: number}[] = [];
  for (const ip of ips) {
    const rank = hash.hashOf(`${ip} ${key}`);
    if (best.length < count || rank > best[best.length - 1].rank) {
      best.push({ip, rank});
      best.sort((left, right) => right.rank - left.rank);
      best.length = Math.min(best.length, count);
    }
  }
  return best.map(({ip}) => ip);
}

/** A gateway known only from relayed records is assumed to be of this build. */
function readsDirectMessages(member: memberTable.Member): boolean {
  const {entry, incarnation, endsAt} = member;
  const version = entry?.digest.messageVersion ?? 0;
  const isKnownOlder =
    incarnation === undefined ||
    (entry !== undefined && version < peerDigest.DIRECT_MESSAGES_VERSION);
  return !isKnownOlder && endsAt === undefined;
}
