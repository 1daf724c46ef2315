/**
 * Says which gateway issues the permits for a limited instance: of the live
 * members the one with the highest hash of its IP and the instance, so that all
 * gateways with the same members agree and instances are spread over them.
 */
import * as directMembers from '../fleet/direct_members';
import * as memberTable from '../fleet/member_table';

const {MemberState} = memberTable;

/** Time without a message from any other gateway after which a gateway counts as cut off, in milliseconds. */
const ISOLATION_MILLISECONDS = 1_500;
/** Interval of checks whether this gateway may issue permits, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/** Share of a ramp that a gateway issues that may not be the only coordinator. */
const DEPUTY_STRENGTH = 0.5;
/** Number of gateways that use a ramp without a coordinator; the first two, one of which is always the coordinator or next to it. */
const RAMP_SHARE_COUNT = 2;

/** Who coordinates an instance. */
export interface Coordinator {
  /** Undefined if no gateway can be agreed on now. */
  readonly ip: string | undefined;
  readonly isOwn: boolean;
}

const NOBODY: Coordinator = {ip: undefined, isOwn: false};

/** Elects coordinators among the members that one gateway knows. */
export class CoordinatorElection {
  private isOwnEligible = false;
  private checkedAt = -Infinity;
  private isLeaving = false;
  /** First gateways by incarnation among the members below, which are listed anew every 100 ms. */
  private readonly firsts = new Map<string, string | undefined>();
  private rankedMembers: readonly string[] = [];

  constructor(
    private readonly members: memberTable.MemberTable,
    private readonly directMembers: directMembers.DirectMembers,
  ) {}

  /** Issues no more permits, since this gateway shuts down. */
  withdraw(): void {
    this.isLeaving = true;
    this.firsts.clear();
  }

  /** Number of gateways among which a limit is divided while no coordinator answers. */
  get shareCount(): number {
    return this.members.gatewayCount();
  }

  coordinatorOf(life: string, now: number): Coordinator {
    const {own} = this.members;
    const ip = this.firstFor(life, now);
    const isOwn = ip === own.ip;
    return isOwn && !this.mayIssue(now) ? NOBODY : {ip, isOwn};
  }

  /** The gateway that comes first for the instance; hashing hundreds of members for each request would be expensive. */
  private firstFor(life: string, now: number): string | undefined {
    const others = this.directMembers.ips(now);
    if (others !== this.rankedMembers) {
      this.rankedMembers = others;
      this.firsts.clear();
    }
    if (!this.firsts.has(life)) {
      const {own} = this.members;
      const candidates = this.isLeaving ? others : [...others, own.ip];
      const [ip] = directMembers.responsibleFor(life, candidates, 1);
      this.firsts.set(life, ip);
    }
    return this.firsts.get(life);
  }

  /** Share of a ramp that this gateway issues as the coordinator of the instance. */
  strengthFor(life: string, now: number): number {
    const {own} = this.members;
    // A lost member may be cut off rather than gone, and still issue permits.
    const lost = this.members
      .all()
      .filter(({state}) => state === MemberState.Gone)
      .map(each => each.ip);
    const candidates = [...this.directMembers.ips(now), ...lost, own.ip];
    const [ip] = directMembers.responsibleFor(life, candidates, 1);
    const liveCount = this.members.live().length + 1;
    const isMajority = 2 * liveCount > this.members.gatewayCount();
    return ip === own.ip && isMajority ? 1 : DEPUTY_STRENGTH;
  }

  /**
   * Share of a ramp that this gateway may use without a coordinator. Only the
   * gateways that come first for the instance have one, so that hundreds of
   * gateways do not send one request each at the same moment.
   */
  rampShareFor(life: string, now: number): number {
    const {own} = this.members;
    const known = this.members.all().map(each => each.ip);
    if (known.length === 0) {
      return 1;
    }
    if (this.directMembers.isSettling(now)) {
      return 0;
    }
    const holders = directMembers.responsibleFor(
      life,
      [...known, own.ip],
      RAMP_SHARE_COUNT,
    );
    const position = holders.indexOf(own.ip);
    return position < 0 ? 0 : 0.5 ** (position + 1);
  }

  /** Whether this gateway knows the others and they know it. */
  private mayIssue(now: number): boolean {
    if (now - this.checkedAt >= CHECK_INTERVAL_MILLISECONDS) {
      this.checkedAt = now;
      const heardAt = this.members.lastHeardAt();
      const isIsolated =
        this.members.gatewayCount() > 1 &&
        now - heardAt > ISOLATION_MILLISECONDS;
      this.isOwnEligible = !isIsolated && !this.directMembers.isSettling(now);
    }
    return this.isOwnEligible;
  }
}
