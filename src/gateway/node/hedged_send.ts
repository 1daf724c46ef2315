/**
 * Sends a call of a plain service to a second instance if the first does not
 * answer within the usual time. The first good answer counts; the connection of
 * the other send is closed at once, which is no failure of its instance.
 */
import * as hedgePolicy from '../common/hedging/hedge_policy';
import * as instanceTable from '../common/instance_table';
import * as placement from '../common/placement';
import * as callContext from './call_context';
import * as plainSend from './plain_send';

/** How the sends of one round ended. */
export interface SendEnd {
  readonly instance: instanceTable.Instance;
  readonly outcome: plainSend.SendOutcome;
  /** Why the call may be sent again; undefined if it may not. */
  readonly retryReason: callContext.RetryReason | undefined;
}

/** The call to which the sends belong. */
export interface HedgedCall {
  /** Sends the call to the instance, and counts a possible run. */
  startSend(instance: instanceTable.Instance): plainSend.PlainSend;
  /** Records the outcome of a send; nothing if the call is over. */
  endOf(send: plainSend.PlainSend, outcome: plainSend.SendOutcome): SendEnd;
}

/** How a hedge ended, as its metric and log line say. */
enum HedgeOutcome {
  /** Its answer was delivered. */
  Won = 'won',
  /** The first instance answered before it. */
  Lost = 'lost',
  /** It had no good answer of its own. */
  Failed = 'failed',
  /** The caller left before either answered. */
  Cancelled = 'cancelled',
}

interface FinishedSend {
  readonly send: plainSend.PlainSend;
  readonly outcome: plainSend.SendOutcome;
}

/** One send of a call, with at most one hedge. */
export class HedgedSend {
  constructor(
    private readonly context: callContext.CallContext,
    private readonly policy: hedgePolicy.HedgePolicy,
    private readonly call: HedgedCall,
  ) {}

  /** Waits for a good answer, or for the failure of all sends. */
  async finish(first: plainSend.PlainSend): Promise<SendEnd> {
    const {policy, context} = this;
    const now = performance.now();
    const delay = policy.delayFor(context.call.route, now);
    const early = await outcomeWithin(first, delay);
    const hedge = early === undefined ? this.tryHedge(first) : undefined;
    if (hedge === undefined) {
      const outcome = early ?? (await first.outcome);
      this.recordTime(first, outcome);
      return this.call.endOf(first, outcome);
    }
    return this.finishBoth(first, hedge);
  }

  private async finishBoth(
    first: plainSend.PlainSend,
    hedge: plainSend.PlainSend,
  ): Promise<SendEnd> {
    const {context, call} = this;
    const earlier = await Promise.race([finished(first), finished(hedge)]);
    const {send, outcome} = earlier;
    const other = send === first ? hedge : first;
    if (context.isOver) {
      this.recordHedge(hedge, HedgeOutcome.Cancelled);
      return call.endOf(send, outcome);
    }
    const end = call.endOf(send, outcome);
    if (isGood(outcome)) {
      other.abandon();
      this.recordTime(first);
      this.recordHedge(
        hedge,
        send === hedge ? HedgeOutcome.Won : HedgeOutcome.Lost,
      );
      return end;
    }
    this.recordFailure(end);
    return this.finishOther(first, hedge, other);
  }

  /** Waits for the send that is left after the other one has failed. */
  private async finishOther(
    first: plainSend.PlainSend,
    hedge: plainSend.PlainSend,
    left: plainSend.PlainSend,
  ): Promise<SendEnd> {
    const outcome = await left.outcome;
    const isHedgeLeft = left === hedge;
    if (!isHedgeLeft) {
      this.recordTime(first, outcome);
      this.recordHedge(hedge, HedgeOutcome.Failed);
    } else if (this.context.isOver) {
      this.recordHedge(hedge, HedgeOutcome.Cancelled);
    } else {
      this.recordHedge(
        hedge,
        isGood(outcome) ? HedgeOutcome.Won : HedgeOutcome.Failed,
      );
    }
    return this.call.endOf(left, outcome);
  }

  /** Sends the call to a second instance if all limits allow it. */
  private tryHedge(
    first: plainSend.PlainSend,
  ): plainSend.PlainSend | undefined {
    const {context, policy} = this;
    const {call, services} = context;
    const now = performance.now();
    const {endpointName: endpoint} = call;
    const available = services.follower.instances
      .forEndpoint(endpoint)
      .filter(each => services.availability.isAvailable(each, call.scope, now));
    const target = {
      endpoint,
      slots: available.reduce((sum, {record}) => sum + record.slots, 0),
      gateways: services.members.live().length + 1,
    };
    if (context.isOver || context.remainingMilliseconds <= 0) {
      return undefined;
    }
    if (!policy.mayHedge(target, now)) {
      return undefined;
    }
    const instance = this.choose(available, first.instance, now);
    // Last, since it charges the budget of retries.
    const isAllowed =
      instance !== undefined &&
      context.mayRepeat(callContext.RetryReason.MayHaveRun) &&
      context.repeats.tryCharge();
    if (!isAllowed) {
      return undefined;
    }
    policy.recordHedge(now);
    context.log(
      'call-hedged',
      {
        hedge: instance.record.id,
        after_ms: Math.round(now - first.startedAt),
      },
      first.instance,
    );
    return this.call.startSend(instance);
  }

  private choose(
    available: readonly instanceTable.Instance[],
    first: instanceTable.Instance,
    now: number,
  ): instanceTable.Instance | undefined {
    const {services, excluded} = this.context;
    const targets = available.filter(
      each =>
        each !== first &&
        !services.permits.isLimited(each) &&
        hedgePolicy.isHedgeTarget(each, now),
    );
    const pick = (barred: ReadonlySet<string>) => {
      const instance = placement.placeCall(
        targets,
        {
          dataCentre: services.dataCentre,
          excluded: barred,
          isAvailable: () => true,
          draw: Math.random,
        },
        now,
      );
      return instance && {instance};
    };
    return services.permits.select(excluded, pick).choice?.instance;
  }

  /** Prepares the call for the case that the other send fails too. */
  private recordFailure({instance, retryReason}: SendEnd): void {
    const {context} = this;
    context.excluded.add(instance.record.id);
    if (retryReason === callContext.RetryReason.NotRun) {
      context.recordNotRun();
    }
  }

  /**
   * Records the time of the first send if it was answered, or, without an
   * outcome, the time for which it had no answer when the hedge was answered.
   */
  private recordTime(
    first: plainSend.PlainSend,
    outcome?: plainSend.SendOutcome,
  ): void {
    if (outcome === undefined || isGood(outcome)) {
      const now = performance.now();
      const route = this.context.call.route.name;
      this.policy.recordAnswer(route, now - first.startedAt, now);
    }
  }

  private recordHedge(hedge: plainSend.PlainSend, outcome: HedgeOutcome): void {
    const {context} = this;
    context.services.metrics.hedges.inc({outcome});
    context.log('hedge-ended', {outcome}, hedge.instance);
  }
}

/** Whether the instance ran the call and did not fail it. */
function isGood({answer}: plainSend.SendOutcome): boolean {
  return answer !== undefined && !answer.isNotExecuted && answer.status < 500;
}

async function finished(send: plainSend.PlainSend): Promise<FinishedSend> {
  return {send, outcome: await send.outcome};
}

/** Outcome of the send, or undefined if it has none within the time. */
async function outcomeWithin(
  send: plainSend.PlainSend,
  milliseconds: number | undefined,
): Promise<plainSend.SendOutcome | undefined> {
  if (milliseconds === undefined) {
    return send.outcome;
  }
  let timer: NodeJS.Timeout | undefined;
  const elapsed = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), milliseconds);
  });
  const outcome = await Promise.race([send.outcome, elapsed]);
  clearTimeout(timer);
  return outcome;
}
