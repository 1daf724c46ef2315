/**
 * Decides whether this gateway may send a request to an instance that names a
 * limit or is cold. Permits come from the gateway that coordinates the instance;
 * while that one does not answer, gateways use their shares alone. Stepped by
 * the caller's clock.
 */
import * as rxjs from 'rxjs';
import * as instanceTable from '../instance_table';
import * as coordinatorElection from './coordinator_election';
import * as instanceLimits from './instance_limits';
import * as instanceRates from './instance_rates';
import * as limitPolicy from './limit_policy';
import * as rateBucket from '../rate_bucket';
import * as permitAccount from './permit_account';
import * as permitIssuer from './permit_issuer';
import * as warmUps from './warm_ups';

/** Period of use for which permits are requested in advance, in seconds. */
const ADVANCE_SECONDS = 0.2;
/** Most permits in one request. */
export const MAX_WANTED = 256;
/** Incarnations with an account; the oldest are forgotten first, and begin again without permits. */
const MAX_ACCOUNTS = 4_096;

/** Result of asking for a permit. */
export enum PermitState {
  /** The request may be sent. */
  Granted = 'granted',
  /** A request to the coordinator is open. */
  Pending = 'pending',
  Denied = 'denied',
}

/** Whether a request may be sent. */
export interface Acquisition {
  readonly state: PermitState;
  /** Monotonic milliseconds from which a permit may be available. */
  readonly retryAt: number;
}

/** A request to the coordinator of an instance. */
export interface PermitRequest {
  readonly sequence: number;
  readonly life: string;
  readonly wanted: number;
  readonly limit: instanceLimits.LimitUpdate;
  /** Absent unless the instance is cold, and from older builds. */
  readonly ramp?: instanceRates.RampUpdate;
}

/** The answer of a coordinator. */
export interface PermitGrant {
  readonly sequence: number;
  readonly life: string;
  readonly granted: number;
  readonly retryMilliseconds: number;
  /** What the coordinator knows of the limit; absent if nothing. */
  readonly limit?: instanceLimits.LimitUpdate;
  /** Whether the permits keep to a ramp; absent unless the request told of one, and from older builds, which issue no such permits. */
  readonly isCold?: boolean;
  /** What the coordinator knows of the warm-up, if that differs from the request. */
  readonly warmUp?: warmUps.WarmUpUpdate;
}

/** Why an instance is not chosen. */
export interface Shortage {
  /** Whether an answer of a coordinator is still awaited. */
  readonly isPending: boolean;
  /** Monotonic milliseconds from which a permit may be available. */
  readonly retryAt: number;
}

/**
 * Result of choosing an instance. With a choice, one of its permits has been
 * taken. With a shortage, every instance that could be chosen lacks permits.
 * With neither, there was no instance to choose.
 */
export interface Selection<T> {
  readonly choice: T | undefined;
  readonly shortage: Shortage | undefined;
}

/** A choice of an instance. */
export interface InstanceChoice {
  readonly instance: instanceTable.Instance;
}

/** Permits of one gateway by incarnation of an instance. */
export class InstancePermits {
  /** Fires with the incarnation when its coordinator has answered or its limit has changed. */
  readonly onDidSettle = new rxjs.Subject<string>();
  private readonly accounts = new Map<string, permitAccount.Account>();
  private lastSequence = 0;

  constructor(
    private readonly rates: instanceRates.InstanceRates,
    private readonly election: coordinatorElection.CoordinatorElection,
    private readonly issuer: permitIssuer.PermitIssuer,
    private readonly send: (ip: string, request: PermitRequest) => void,
    private readonly ownIp: string,
  ) {
    rates.limits.onDidChange.subscribe(({life, requestsPerSecond}) => {
      if (requestsPerSecond === undefined) {
        this.accounts.delete(life);
      }
    });
    // Permits and a share of a limit are worth more than those of a ramp.
    rates.cold.onDidChange.subscribe(({life}) => this.accounts.delete(life));
    rates.onDidChange.subscribe(life => this.onDidSettle.next(life));
  }

  /** Lets `pick` choose among the instances that are not barred, until there is a permit for its choice. */
  select<T extends InstanceChoice>(
    excluded: ReadonlySet<string>,
    pick: (barred: ReadonlySet<string>) => T | undefined,
    now: number,
  ): Selection<T> {
    const barred = new Set(excluded);
    let shortage: Shortage | undefined;
    for (;;) {
      const choice = pick(barred);
      if (choice === undefined) {
        return {choice, shortage};
      }
      const {record} = choice.instance;
      const life = instanceTable.lifeOf(record);
      const {state, retryAt} = this.tryAcquire(life, now);
      if (state === PermitState.Granted) {
        return {choice, shortage: undefined};
      }
      barred.add(record.id);
      const isPending = state === PermitState.Pending;
      shortage = {
        isPending: isPending || shortage?.isPending === true,
        retryAt: Math.min(retryAt, shortage?.retryAt ?? Infinity),
      };
    }
  }

  /** Takes a permit for one request. */
  tryAcquire(life: string, now: number): Acquisition {
    const allowance = this.rates.allowanceOf(life, now);
    if (allowance === undefined) {
      return granted(now);
    }
    const account = this.accountOf(life, now);
    if (permitAccount.takeValid(account, now)) {
      return granted(now);
    }
    const coordinator = this.election.coordinatorOf(life, now);
    permitAccount.changeCoordinator(account, coordinator.ip, now);
    if (coordinator.ip === undefined) {
      return this.takeShare(life, account, allowance, now);
    }
    return coordinator.isOwn
      ? this.issueToSelf(life, account, allowance, now)
      : this.requestPermit(coordinator.ip, life, account, allowance, now);
  }

  /** Records the answer of a coordinator. */
  receiveGrant(grant: PermitGrant, now: number): void {
    const {life, sequence} = grant;
    if (grant.limit !== undefined) {
      this.rates.limits.applyUpdate(life, grant.limit, now);
    }
    if (grant.warmUp !== undefined) {
      this.rates.cold.applyUpdate(life, grant.warmUp, now);
    }
    const account = this.accounts.get(life);
    const pending = account?.pending;
    // A coordinator of an older build knows nothing of ramps, so its answer counts as none.
    const isUsable = pending?.hasRamp === false || grant.isCold !== undefined;
    if (account !== undefined && pending?.sequence === sequence && isUsable) {
      const {sentAt, hasRamp} = pending;
      account.pending = undefined;
      account.unanswered = 0;
      account.share = undefined;
      account.requestAt = now + grant.retryMilliseconds;
      account.permits = grant.granted;
      const lifetime = limitPolicy.permitLifetime({
        ramp: hasRamp ? 1 : undefined,
      });
      account.validUntil = sentAt + lifetime;
    }
    this.onDidSettle.next(life);
  }

  /** Answers the request of another gateway; undefined if this gateway does not coordinate the instance, or gets too many requests. */
  answer(
    gateway: string,
    request: PermitRequest,
    now: number,
  ): PermitGrant | undefined {
    const {life, sequence, wanted, ramp} = request;
    const {rates} = this;
    rates.limits.applyUpdate(life, request.limit, now);
    if (ramp !== undefined) {
      rates.cold.applyUpdate(life, warmUpOf(ramp), now);
    }
    const isOwn = this.election.coordinatorOf(life, now).isOwn;
    if (!isOwn || !this.issuer.mayAnswer(now)) {
      return undefined;
    }
    const allowance = rates.allowanceFor(life, ramp?.[0], now);
    // Without an allowance the answer tells the gateway that it has ended.
    const issue =
      allowance === undefined
        ? {granted: 0, retryMilliseconds: 0}
        : this.issuer.issue(
            gateway,
            life,
            wanted,
            allowance,
            this.election.strengthFor(life, now),
            now,
          );
    const limitUpdate = rates.limits.updateFor(life, now);
    const grant = {sequence, life, ...issue, limit: limitUpdate};
    if (ramp === undefined) {
      return grant;
    }
    const isSame = rates.cold.matches(life, warmUpOf(ramp), now);
    return {
      ...grant,
      isCold: allowance?.ramp !== undefined,
      warmUp: isSame ? undefined : rates.cold.updateFor(life, now),
    };
  }

  private issueToSelf(
    life: string,
    account: permitAccount.Account,
    allowance: limitPolicy.Allowance,
    now: number,
  ): Acquisition {
    account.share = undefined;
    if (now < account.requestAt) {
      return denied(account.requestAt);
    }
    const strength = this.election.strengthFor(life, now);
    const {ownIp, issuer} = this;
    const issue = issuer.issue(ownIp, life, 1, allowance, strength, now);
    if (issue.granted > 0) {
      account.used++;
      return granted(now);
    }
    account.requestAt = now + issue.retryMilliseconds;
    return denied(account.requestAt);
  }

  private requestPermit(
    ip: string,
    life: string,
    account: permitAccount.Account,
    allowance: limitPolicy.Allowance,
    now: number,
  ): Acquisition {
    permitAccount.giveUpUnanswered(account, now);
    if (account.pending === undefined && now >= account.requestAt) {
      this.sendRequest(ip, life, account, now);
    }
    const fromShare =
      account.share === undefined
        ? denied(Infinity)
        : this.takeShare(life, account, allowance, now);
    if (fromShare.state === PermitState.Granted) {
      return fromShare;
    }
    return account.pending === undefined
      ? denied(Math.min(account.requestAt, fromShare.retryAt))
      : {state: PermitState.Pending, retryAt: now};
  }

  private sendRequest(
    ip: string,
    life: string,
    account: permitAccount.Account,
    now: number,
  ): void {
    const sequence = ++this.lastSequence;
    const ramp = this.rates.rampUpdateFor(life, now);
    account.pending = {sequence, sentAt: now, hasRamp: ramp !== undefined};
    const usedPerSecond = Math.max(account.used, account.usedBefore);
    const wanted = Math.ceil(usedPerSecond * ADVANCE_SECONDS);
    this.send(ip, {
      sequence,
      life,
      wanted: Math.max(1, Math.min(MAX_WANTED, wanted)),
      limit: this.rates.limitUpdateFor(life, now),
      ramp,
    });
  }

  /** Takes a permit from the share that this gateway may use alone. */
  private takeShare(
    life: string,
    account: permitAccount.Account,
    allowance: limitPolicy.Allowance,
    now: number,
  ): Acquisition {
    account.share ??= new rateBucket.RateBucket(now);
    const rate = limitPolicy.sharePerSecond(
      allowance,
      1 / this.election.shareCount,
      allowance.ramp === undefined ? 1 : this.election.rampShareFor(life, now),
    );
    if (rate === 0) {
      return denied(now + permitAccount.MIN_SILENT_RETRY_MILLISECONDS);
    }
    if (account.share.take(1, rate, 1, now) > 0) {
      account.used++;
      return granted(now);
    }
    return denied(now + account.share.millisecondsToNext(rate));
  }

  private accountOf(life: string, now: number): permitAccount.Account {
    const account = this.accounts.get(life) ?? permitAccount.createAccount(now);
    this.accounts.set(life, account);
    if (this.accounts.size > MAX_ACCOUNTS) {
      this.accounts.delete(this.accounts.keys().next().value!);
    }
    permitAccount.advanceWindow(account, now);
    return account;
  }
}

function granted(now: number): Acquisition {
  return {state: PermitState.Granted, retryAt: now};
}

function denied(retryAt: number): Acquisition {
  return {state: PermitState.Denied, retryAt};
}

function warmUpOf([
  ,
  ...update
]: instanceRates.RampUpdate): warmUps.WarmUpUpdate {
  return update;
}
