/**
 * Says which gateway issues the permits for a limited instance: of the live
 * members the one with the highest hash of its IP and the instance, so that all
 * gateways with the same members agree and instances are spread over them.
 */
import * as directMembers from '../fleet/direct_members';
import * as memberTable from '../fleet/member_table';

/** Time without a message from any other gateway after which a gateway counts as cut off, in milliseconds. */
const ISOLATION_MILLISECONDS = 1_500;
/** Interval of checks whether this gateway may issue permits, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 100;

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

  constructor(
    private readonly members: memberTable.MemberTable,
    private readonly directMembers: directMembers.DirectMembers,
  ) {}

  /** Issues no more permits, since this gateway shuts down. */
  withdraw(): void {
    this.isLeaving = true;
  }

  /** Number of gateways among which a limit is divided while no coordinator answers. */
  get shareCount(): number {
    return this.members.gatewayCount();
  }

  coordinatorOf(life: string, now: number): Coordinator {
    const {own} = this.members;
    const others = this.directMembers.ips(now);
    const candidates = this.isLeaving ? others : [...others, own.ip];
    const [ip] = directMembers.responsibleFor(life, candidates, 1);
    const isOwn = ip === own.ip;
    return isOwn && !this.mayIssue(now) ? NOBODY : {ip, isOwn};
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
