/** Counts the gateways among which a shared budget is divided. */
import * as directMembers from './direct_members';
import * as memberTable from './member_table';

/** Gateways that share a budget, as far as this one knows. */
export class BudgetGateways {
  constructor(
    private readonly members: memberTable.MemberTable,
    private readonly peers: directMembers.DirectMembers,
    /** Whether the settings name other gateways. */
    private readonly hasSeeds: boolean,
  ) {}

  /** Infinity while this gateway may not know the others, as after its start or while none is in reach since. */
  count(now: number): number {
    if (!this.hasSeeds) {
      return this.members.gatewayCount();
    }
    const known = this.members.all();
    const hasHeard = known.some(({lastHeardAt}) => lastHeardAt > -Infinity);
    return (known.length === 0 || hasHeard) && !this.peers.isSettling(now)
      ? this.members.gatewayCount()
      : Infinity;
  }
}
