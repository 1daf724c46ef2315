/**
 * Says which gateway issues the permits for a limited instance: of the live
 * members the one with the highest hash of its IP and the instance, so that all
 * gateways with the same members agree and instances are spread over them.
 */
import * as hash from '../../../base/common/hash';
import * as memberTable from '../fleet/member_table';
import * as peerDigest from '../fleet/peer_digest';

/** Time after its start for which a gateway issues nothing, in milliseconds: until then it may not know the others, nor they it. */
const WARM_UP_MILLISECONDS = 2_000;
/** Time without a message from any other gateway after which a gateway counts as cut off, in milliseconds. */
const ISOLATION_MILLISECONDS = 1_500;
/** Interval at which the members are looked through, in milliseconds. */
const REFRESH_MILLISECONDS = 100;

/** Who coordinates an instance. */
export interface Coordinator {
  /** Undefined if no gateway can be agreed on now. */
  readonly ip: string | undefined;
  readonly isOwn: boolean;
}

const NOBODY: Coordinator = {ip: undefined, isOwn: false};

/** Elects coordinators among the members that one gateway knows. */
export class CoordinatorElection {
  private candidates: readonly string[] = [];
  private isOwnEligible = false;
  private refreshedAt = -Infinity;
  private isLeaving = false;

  constructor(
    private readonly members: memberTable.MemberTable,
    private readonly startedAt: number,
  ) {}

  /** Issues no more permits, since this gateway shuts down. */
  withdraw(): void {
    this.isLeaving = true;
    this.refreshedAt = -Infinity;
  }

  /** Number of gateways among which a limit is divided while no coordinator answers. */
  get shareCount(): number {
    return this.members.gatewayCount();
  }

  coordinatorOf(life: string, now: number): Coordinator {
    if (now - this.refreshedAt >= REFRESH_MILLISECONDS) {
      this.refresh(now);
    }
    let best: string | undefined;
    let bestHash = -1;
    for (const ip of this.candidates) {
      const candidateHash = hash.hashOf(`${ip} ${life}`);
      if (candidateHash > bestHash) {
        best = ip;
        bestHash = candidateHash;
      }
    }
    const isOwn = best === this.members.own.ip;
    return isOwn && !this.isOwnEligible ? NOBODY : {ip: best, isOwn};
  }

  private refresh(now: number): void {
    this.refreshedAt = now;
    const others = this.members.live();
    const heardAt = others.reduce(
      (latest, each) => Math.max(latest, each.lastHeardAt),
      -Infinity,
    );
    const isIsolated =
      this.members.gatewayCount() > 1 && now - heardAt > ISOLATION_MILLISECONDS;
    this.isOwnEligible =
      !isIsolated && now - this.startedAt >= WARM_UP_MILLISECONDS;
    const ips = others.filter(canCoordinate).map(each => each.ip);
    this.candidates = this.isLeaving ? ips : [...ips, this.members.own.ip];
  }
}

/** Gateways of which only others have told count as of this build. */
function canCoordinate(member: memberTable.Member): boolean {
  const {entry, incarnation, endsAt} = member;
  const version = entry?.digest.messageVersion ?? 0;
  const isKnownOlder =
    incarnation === undefined ||
    (entry !== undefined && version < peerDigest.PERMITS_VERSION);
  return !isKnownOlder && endsAt === undefined;
}
