/** Permits to send requests to instances that name a limit or are cold, agreed on with the other gateways. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as directMembers from '../../common/fleet/direct_members';
import * as memberTable from '../../common/fleet/member_table';
import * as instanceTable from '../../common/instance_table';
import * as coordinatorElection from '../../common/limits/coordinator_election';
import * as instanceRates from '../../common/limits/instance_rates';
import * as instancePermits from '../../common/limits/instance_permits';
import * as permitIssuer from '../../common/limits/permit_issuer';
import * as fleetExchange from '../fleet/fleet_exchange';

/** Longest wait for the answer of a coordinator, in milliseconds; then the own share counts. */
const MAX_ANSWER_WAIT_MILLISECONDS = 300;

/** Chooses instances for which this gateway has permits. */
export class PermitService implements disposable.Disposable {
  private readonly permits: instancePermits.InstancePermits;
  private readonly election: coordinatorElection.CoordinatorElection;
  private readonly subscription: rxjs.Subscription;

  constructor(
    members: memberTable.MemberTable,
    peers: directMembers.DirectMembers,
    private readonly rates: instanceRates.InstanceRates,
    private readonly exchange: fleetExchange.FleetExchange,
  ) {
    this.election = new coordinatorElection.CoordinatorElection(members, peers);
    this.permits = new instancePermits.InstancePermits(
      rates,
      this.election,
      new permitIssuer.PermitIssuer(),
      (ip, permitRequest) => exchange.sendDirect(ip, {permitRequest}),
      members.own.ip,
    );
    this.subscription = exchange.onDidReceiveDirect.subscribe(received =>
      this.receive(received),
    );
  }

  /** Fires when permits may have become available. */
  get onDidSettle(): rxjs.Observable<string> {
    return this.permits.onDidSettle;
  }

  /** Whether the instance names a limit or is cold. */
  isLimited(instance: instanceTable.Instance): boolean {
    const life = instanceTable.lifeOf(instance.record);
    return this.rates.allowanceOf(life, performance.now()) !== undefined;
  }

  /** Lets other gateways issue permits, before this one shuts down. */
  withdraw(): void {
    this.election.withdraw();
  }

  /** Lets `pick` choose among the instances that are not barred, and takes a permit for its choice. */
  select<T extends instancePermits.InstanceChoice>(
    excluded: ReadonlySet<string>,
    pick: (barred: ReadonlySet<string>) => T | undefined,
  ): instancePermits.Selection<T> {
    return this.permits.select(excluded, pick, performance.now());
  }

  /** Like `select`, but waits for the answers of coordinators, and up to `patience` milliseconds for permits. */
  async selectWithin<T extends instancePermits.InstanceChoice>(
    excluded: ReadonlySet<string>,
    pick: (barred: ReadonlySet<string>) => T | undefined,
    patience: number,
  ): Promise<instancePermits.Selection<T>> {
    const startedAt = performance.now();
    const answersUntil = startedAt + MAX_ANSWER_WAIT_MILLISECONDS;
    for (;;) {
      const selection = this.select(excluded, pick);
      const {shortage} = selection;
      if (shortage === undefined) {
        return selection;
      }
      const now = performance.now();
      const mayAwaitAnswer = shortage.isPending && now < answersUntil;
      const permitsUntil = startedAt + patience;
      if (mayAwaitAnswer) {
        await this.settled(answersUntil - now);
      } else if (shortage.retryAt < permitsUntil && now < permitsUntil) {
        await this.settled(Math.max(1, shortage.retryAt - now));
      } else {
        return selection;
      }
    }
  }

  dispose(): void {
    this.subscription.unsubscribe();
  }

  /** Resolves when permits may have become available, at the latest after the time. */
  private settled(milliseconds: number): Promise<unknown> {
    return rxjs.firstValueFrom(
      rxjs.race(this.permits.onDidSettle, rxjs.timer(milliseconds)),
    );
  }

  private receive({ip, message}: fleetExchange.ReceivedMessage): void {
    const now = performance.now();
    const {permitRequest, permitGrant} = message;
    if (permitRequest !== undefined) {
      const grant = this.permits.answer(ip, permitRequest, now);
      if (grant !== undefined) {
        this.exchange.sendDirect(ip, {permitGrant: grant});
      }
    }
    if (permitGrant !== undefined) {
      this.permits.receiveGrant(permitGrant, now);
    }
  }
}
