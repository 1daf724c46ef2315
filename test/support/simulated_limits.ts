/** An instance that names a limit, and many gateways that send it requests, on a simulated clock. */
import * as requestLimit from '../../standins/request_limit';
import * as directMembers from '../../src/gateway/common/fleet/direct_members';
import * as directMessage from '../../src/gateway/common/fleet/direct_message';
import * as coordinatorElection from '../../src/gateway/common/limits/coordinator_election';
import * as instanceLimits from '../../src/gateway/common/limits/instance_limits';
import * as instanceRates from '../../src/gateway/common/limits/instance_rates';
import * as instancePermits from '../../src/gateway/common/limits/instance_permits';
import * as permitIssuer from '../../src/gateway/common/limits/permit_issuer';
import * as warmUps from '../../src/gateway/common/limits/warm_ups';
import * as simulatedFleet from './simulated_fleet';

export const LIFE = 'i-4a59b46690/1777972974261';
/** Time from a request to its answer, in milliseconds. */
const ANSWER_MILLISECONDS = 20;
/** Time for which a caller waits for the answer of a coordinator, in milliseconds. */
const PATIENCE_MILLISECONDS = 300;
const STEP_SECONDS = 0.004;

/** The permits of one gateway. */
export class LimitedGateway {
  limits!: instanceLimits.InstanceLimits;
  warmUps!: warmUps.WarmUps;
  permits!: instancePermits.InstancePermits;
  /** Times at which callers arrived that wait for a coordinator. */
  waiting: number[] = [];
  /** Requests of callers a second. */
  load = 0;
  /** Ramp of the endpoint in the configuration; undefined until the gateway has read the registration. */
  ramp: number | undefined = 0;

  constructor(
    readonly gateway: simulatedFleet.SimulatedGateway,
    private readonly fleet: simulatedFleet.SimulatedFleet,
    private readonly deliver: (
      from: LimitedGateway,
      ip: string,
      message: directMessage.DirectMessage,
    ) => void,
  ) {
    // Gateways of a running fleet have started long ago.
    this.start(-Infinity);
  }

  /** Starts, or starts again and knows nothing. */
  start(now: number): void {
    this.limits = new instanceLimits.InstanceLimits();
    this.gateway.limits = this.limits;
    this.warmUps = new warmUps.WarmUps();
    this.gateway.warmUps = this.warmUps;
    this.waiting = [];
    this.permits = new instancePermits.InstancePermits(
      new instanceRates.InstanceRates(
        this.limits,
        this.warmUps,
        () => this.ramp,
      ),
      new coordinatorElection.CoordinatorElection(
        this.gateway.table,
        new directMembers.DirectMembers(this.gateway.table, now),
      ),
      new permitIssuer.PermitIssuer(),
      (ip, permitRequest) => this.deliver(this, ip, {permitRequest}),
      this.gateway.ip,
    );
  }

  /** Callers that may be sent on in this step. */
  admit(): number {
    const {now} = this.fleet;
    const arrivals =
      this.fleet.random() < this.load * STEP_SECONDS ? [now] : [];
    let admitted = 0;
    this.waiting = [...this.waiting, ...arrivals].filter(arrivedAt => {
      const {state} = this.permits.tryAcquire(LIFE, now);
      admitted += state === instancePermits.PermitState.Granted ? 1 : 0;
      const isPending = state === instancePermits.PermitState.Pending;
      return isPending && now - arrivedAt < PATIENCE_MILLISECONDS;
    });
    return admitted;
  }
}

/** The instance and its gateways. */
export class SimulatedLimits {
  readonly gateways: LimitedGateway[];
  /** Limit that the instance names; undefined to name none. */
  limit: number | undefined;
  /** Milliseconds until the instance is warm, as its answers name them; undefined to name none. */
  warmUp: number | undefined;
  /** Times of the requests that the instance got. */
  readonly arrivals: number[] = [];
  private answers: {readonly at: number; readonly give: () => void}[] = [];

  constructor(readonly fleet: simulatedFleet.SimulatedFleet) {
    this.gateways = fleet.gateways.map(
      gateway =>
        new LimitedGateway(gateway, fleet, (from, ip, message) =>
          this.send(from, ip, message),
        ),
    );
    fleet.onStep = () => this.step();
  }

  /** Spreads a load in requests a second over the gateways from the first to the last. */
  setLoad(requestsPerSecond: number, gateways = this.gateways): void {
    this.gateways.forEach(each => (each.load = 0));
    gateways.forEach(each => (each.load = requestsPerSecond / gateways.length));
  }

  /** Registers the instance as cold, as all gateways read within the time. */
  registerCold(
    ramp: number,
    leftMilliseconds: number,
    revision = 1,
    gateways = this.gateways,
  ): void {
    const {now} = this.fleet;
    for (const each of gateways) {
      each.ramp = ramp;
      each.warmUps.recordRegistration(LIFE, leftMilliseconds, revision, now);
    }
  }

  /** The gateway that issues the permits, as the last one sees it. */
  coordinator(): LimitedGateway {
    const {table} = this.gateways[this.gateways.length - 1].gateway;
    const election = new coordinatorElection.CoordinatorElection(
      table,
      new directMembers.DirectMembers(table, -Infinity),
    );
    const {ip} = election.coordinatorOf(LIFE, this.fleet.now);
    return this.gateways.find(each => each.gateway.ip === ip)!;
  }

  /** Most requests in any window since the time. */
  mostArrivals(since: number): number {
    return requestLimit.mostInWindow(this.arrivals.filter(at => at >= since));
  }

  /** Most requests in any second since the time. */
  mostInSecond(since: number): number {
    const times = this.arrivals.filter(at => at >= since);
    return requestLimit.mostInWindow(times, 1_000);
  }

  /** Requests a second since the time. */
  rateSince(since: number): number {
    const count = this.arrivals.filter(at => at >= since).length;
    return (count * 1000) / (this.fleet.now - since);
  }

  private step(): void {
    const {now} = this.fleet;
    const due = this.answers.filter(({at}) => at <= now);
    this.answers = this.answers.filter(({at}) => at > now);
    due.forEach(({give}) => give());
    for (const each of this.gateways) {
      if (each.gateway.isUp && !each.gateway.isFrozen) {
        this.sendRequests(each, each.admit());
      }
    }
  }

  private sendRequests(from: LimitedGateway, count: number): void {
    const {now} = this.fleet;
    const {limits, warmUps: cold} = from;
    for (let index = 0; index < count; index++) {
      this.arrivals.push(now);
      const {warmUp} = this;
      const limit =
        this.limit === undefined
          ? undefined
          : {requestsPerSecond: this.limit, text: String(this.limit)};
      this.answers.push({
        at: now + ANSWER_MILLISECONDS,
        give: () => {
          limits.recordAnswer(
            LIFE,
            {limit, isSuccess: true, sentAt: now},
            this.fleet.now,
          );
          if (warmUp !== undefined) {
            cold.recordAnswer(LIFE, warmUp, this.fleet.now);
          }
        },
      });
    }
  }

  private send(
    from: LimitedGateway,
    ip: string,
    message: directMessage.DirectMessage,
  ): void {
    this.fleet.sendDirect(from.gateway, ip, message, (to, read) => {
      const receiver = this.gateways.find(each => each.gateway === to)!;
      const {now} = this.fleet;
      const sender = from.gateway.ip;
      const permitGrant =
        read.permitRequest &&
        receiver.permits.answer(sender, read.permitRequest, now);
      if (permitGrant !== undefined) {
        this.send(receiver, sender, {permitGrant});
      }
      if (read.permitGrant !== undefined) {
        receiver.permits.receiveGrant(read.permitGrant, now);
      }
    });
  }
}
