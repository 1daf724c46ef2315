/**
 * Decides whether this gateway may send a request to an instance that names a
 * limit. Permits come from the gateway that coordinates the instance; while
 * that one does not answer, each gateway uses its share of the limit alone.
 * Stepped by the caller's clock.
 */
import * as rxjs from 'rxjs';
import * as instanceTable from '../instance_table';
import * as coordinatorElection from './coordinator_election';
import * as instanceLimits from './instance_limits';
import * as limitPolicy from './limit_policy';
import * as rateBucket from '../rate_bucket';
import * as permitIssuer from './permit_issuer';

/** Time after which a request for permits counts as unanswered, in milliseconds; longer than a round trip between regions. */
const ANSWER_TIMEOUT_MILLISECONDS = 250;
/** Time between requests to a coordinator that does not answer, in milliseconds; doubled with each further request. */
const MIN_SILENT_RETRY_MILLISECONDS = 1_000;
const MAX_SILENT_RETRY_MILLISECONDS = 8_000;
/** Period of use for which permits are requested in advance, in seconds. */
const ADVANCE_SECONDS = 0.2;
/** Most permits in one request. */
export const MAX_WANTED = 256;
/** Window over which the use of permits is measured, in milliseconds. */
const USE_WINDOW_MILLISECONDS = 1_000;

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
}

/** The answer of a coordinator. */
export interface PermitGrant {
  readonly sequence: number;
  readonly life: string;
  readonly granted: number;
  readonly retryMilliseconds: number;
  /** What the coordinator knows of the limit; absent if nothing. */
  readonly limit?: instanceLimits.LimitUpdate;
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

interface Account {
  permits: number;
  /** Monotonic milliseconds until which the permits are valid. */
  validUntil: number;
  /** IP of the coordinator as of the last request; undefined if there was none. */
  coordinator: string | undefined;
  /** Requests in a row that it did not answer. */
  unanswered: number;
  pending: {readonly sequence: number; readonly sentAt: number} | undefined;
  /** Monotonic milliseconds from which the coordinator may be sent a request. */
  requestAt: number;
  /** Accrues the own share; undefined while the coordinator answers. */
  share: rateBucket.RateBucket | undefined;
  /** Permits used since the window began, and in the window before. */
  used: number;
  usedBefore: number;
  windowStart: number;
}

/** Permits of one gateway by incarnation of an instance. */
export class InstancePermits {
  /** Fires with the incarnation when its coordinator has answered or its limit has changed. */
  readonly onDidSettle = new rxjs.Subject<string>();
  private readonly accounts = new Map<string, Account>();
  private lastSequence = 0;

  constructor(
    private readonly limits: instanceLimits.InstanceLimits,
    private readonly election: coordinatorElection.CoordinatorElection,
    private readonly issuer: permitIssuer.PermitIssuer,
    private readonly send: (ip: string, request: PermitRequest) => void,
    private readonly ownIp: string,
  ) {
    limits.onDidChange.subscribe(({life, requestsPerSecond}) => {
      if (requestsPerSecond === undefined) {
        this.accounts.delete(life);
      }
      this.onDidSettle.next(life);
    });
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
    const limit = this.limits.get(life);
    if (limit === undefined) {
      return granted(now);
    }
    const account = this.accountOf(life, now);
    if (takeValid(account, now)) {
      return granted(now);
    }
    const coordinator = this.election.coordinatorOf(life, now);
    changeCoordinator(account, coordinator.ip, now);
    if (coordinator.ip === undefined) {
      return this.takeShare(account, limit, now);
    }
    return coordinator.isOwn
      ? this.issueToSelf(life, account, limit, now)
      : this.requestPermit(coordinator.ip, life, account, limit, now);
  }

  /** Records the answer of a coordinator. */
  receiveGrant(grant: PermitGrant, now: number): void {
    const {life, sequence} = grant;
    if (grant.limit !== undefined) {
      this.limits.applyUpdate(life, grant.limit, now);
    }
    const account = this.accounts.get(life);
    if (account?.pending?.sequence === sequence) {
      const {sentAt} = account.pending;
      account.pending = undefined;
      account.unanswered = 0;
      account.share = undefined;
      account.requestAt = now + grant.retryMilliseconds;
      account.permits = grant.granted;
      account.validUntil = sentAt + limitPolicy.PERMIT_LIFETIME_MILLISECONDS;
    }
    this.onDidSettle.next(life);
  }

  /** Answers the request of another gateway; undefined if this gateway does not coordinate the instance, or gets too many requests. */
  answer(
    gateway: string,
    request: PermitRequest,
    now: number,
  ): PermitGrant | undefined {
    const {life, sequence, wanted} = request;
    this.limits.applyUpdate(life, request.limit, now);
    const isOwn = this.election.coordinatorOf(life, now).isOwn;
    if (!isOwn || !this.issuer.mayAnswer(now)) {
      return undefined;
    }
    const limit = this.limits.get(life);
    // Without a limit the answer tells the gateway that it has ended.
    const issue =
      limit === undefined
        ? {granted: 0, retryMilliseconds: 0}
        : this.issuer.issue(gateway, life, wanted, limit, now);
    return {sequence, life, ...issue, limit: this.limits.updateFor(life, now)};
  }

  private issueToSelf(
    life: string,
    account: Account,
    limit: number,
    now: number,
  ): Acquisition {
    account.share = undefined;
    if (now < account.requestAt) {
      return denied(account.requestAt);
    }
    const issue = this.issuer.issue(this.ownIp, life, 1, limit, now);
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
    account: Account,
    limit: number,
    now: number,
  ): Acquisition {
    giveUpUnanswered(account, now);
    if (account.pending === undefined && now >= account.requestAt) {
      this.sendRequest(ip, life, account, now);
    }
    const fromShare =
      account.share === undefined
        ? denied(Infinity)
        : this.takeShare(account, limit, now);
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
    account: Account,
    now: number,
  ): void {
    const sequence = ++this.lastSequence;
    account.pending = {sequence, sentAt: now};
    const usedPerSecond = Math.max(account.used, account.usedBefore);
    const wanted = Math.ceil(usedPerSecond * ADVANCE_SECONDS);
    this.send(ip, {
      sequence,
      life,
      wanted: Math.max(1, Math.min(MAX_WANTED, wanted)),
      limit: this.limits.updateFor(life, now)!,
    });
  }

  /** Takes a permit from the share of the limit that this gateway may use alone. */
  private takeShare(account: Account, limit: number, now: number): Acquisition {
    account.share ??= new rateBucket.RateBucket(now);
    const rate = limitPolicy.permitsPerSecond(limit) / this.election.shareCount;
    if (account.share.take(1, rate, 1, now) > 0) {
      account.used++;
      return granted(now);
    }
    return denied(now + account.share.millisecondsToNext(rate));
  }

  private accountOf(life: string, now: number): Account {
    const account = this.accounts.get(life) ?? createAccount(now);
    this.accounts.set(life, account);
    if (this.accounts.size > MAX_ACCOUNTS) {
      this.accounts.delete(this.accounts.keys().next().value!);
    }
    const age = now - account.windowStart;
    if (age >= USE_WINDOW_MILLISECONDS) {
      account.usedBefore = age < 2 * USE_WINDOW_MILLISECONDS ? account.used : 0;
      account.used = 0;
      account.windowStart = now;
    }
    return account;
  }
}

/** Lets the own share count if the coordinator did not answer in time. */
function giveUpUnanswered(account: Account, now: number): void {
  const {pending} = account;
  if (
    pending === undefined ||
    now - pending.sentAt <= ANSWER_TIMEOUT_MILLISECONDS
  ) {
    return;
  }
  account.pending = undefined;
  account.share ??= new rateBucket.RateBucket(now);
  const retry = MIN_SILENT_RETRY_MILLISECONDS * 2 ** account.unanswered++;
  account.requestAt =
    pending.sentAt + Math.min(MAX_SILENT_RETRY_MILLISECONDS, retry);
}

/** Forgets what another coordinator said. */
function changeCoordinator(
  account: Account,
  ip: string | undefined,
  now: number,
): void {
  if (account.coordinator === ip) {
    return;
  }
  account.coordinator = ip;
  account.pending = undefined;
  account.unanswered = 0;
  account.requestAt = now;
}

function granted(now: number): Acquisition {
  return {state: PermitState.Granted, retryAt: now};
}

function denied(retryAt: number): Acquisition {
  return {state: PermitState.Denied, retryAt};
}

function takeValid(account: Account, now: number): boolean {
  if (account.permits <= 0 || now > account.validUntil) {
    return false;
  }
  account.permits--;
  account.used++;
  return true;
}

function createAccount(now: number): Account {
  return {
    permits: 0,
    validUntil: -Infinity,
    pending: undefined,
    coordinator: undefined,
    unanswered: 0,
    requestAt: -Infinity,
    share: undefined,
    used: 0,
    usedBefore: 0,
    windowStart: now,
  };
}
