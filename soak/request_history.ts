/**
 * Records what callers and replicas saw, and finds violated guarantees. It
 * does no I/O: the soak test fills it while it runs, and unit tests fill it
 * directly.
 */

import * as requestLimit from '../standins/request_limit';
import * as answers from './answers';
import * as budgetRule from './budget_rule';
import * as callRules from './call_rules';
import * as faultTimes from './fault_times';
import * as placeRules from './place_rules';
import * as runRules from './run_rules';

/** Kinds of requests that the soak test sends. */
export enum RequestKind {
  /** May run again. */
  Read = 'read',
  /** Runs at most once. */
  File = 'file',
  /** A stream that continues only from a copy of its run. */
  Draft = 'draft',
  /** A stream that can be resumed by event id. */
  Tag = 'tag',
}

/** Service that answers requests of the kind. */
export function serviceOf(kind: RequestKind): string {
  const isStream = kind === RequestKind.Draft || kind === RequestKind.Tag;
  return isStream ? 'writers' : 'ledger';
}

/** One violated guarantee. */
export interface Violation {
  readonly promise: string;
  readonly attempt: string;
  readonly detail: string;
}

/** Time in which a replica named a limit. */
interface LimitedTime {
  readonly replica: string;
  readonly requestsPerSecond: number;
  readonly range: faultTimes.TimeRange;
}

interface SentRequest {
  readonly resumed: answers.ResumedStream | undefined;
  readonly kind: RequestKind;
  readonly key: string;
  readonly gateway: string;
  answer?: answers.ReceivedAnswer;
}

/** Statuses that guarantee that the request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time within which a change is in force at a connected gateway, in milliseconds; twice the platform's limit, since the machine is shared. */
const CHANGE_LIMIT_MILLISECONDS = 4_000;
/** Time within which an evacuation of a data centre is in force, in milliseconds; the bound in the gateways' settings. */
export const EVACUATION_LIMIT_MILLISECONDS = 5_000;
/** Time without any fault after which a gateway counts as connected, in milliseconds. */
const FAULT_FREE_MILLISECONDS = 4_000;

/** Time after a replica first names a limit from which requests count, in milliseconds. */
const LIMIT_SETTLING_MILLISECONDS = 1_000;
/** Time without a fault of its own after which a gateway is bound by a limit, in milliseconds. */
const LIMIT_FAULT_FREE_MILLISECONDS = 3_000;

/** Holds what callers and replicas observed in one soak test. */
export class RequestHistory {
  readonly places = new placeRules.PlaceRules();
  readonly budget = new budgetRule.BudgetRule();
  readonly runRules = new runRules.RunRules();
  private readonly sent = new Map<string, SentRequest>();
  private readonly runs = new Map<string, runRules.Run[]>();
  private readonly faults = new faultTimes.FaultTimes();
  readonly calls = new callRules.CallRules(this.faults);
  private readonly revoked = new Map<string, number>();
  private readonly draining = new Map<string, number>();
  private readonly limited: LimitedTime[] = [];
  private readonly recordedViolations: Violation[] = [];

  recordSent(
    attempt: string,
    kind: RequestKind,
    key: string,
    gateway: string,
    resumed?: answers.ResumedStream,
  ): void {
    this.sent.set(attempt, {kind, key, gateway, resumed});
  }

  answerOf(attempt: string): answers.ReceivedAnswer | undefined {
    return this.sent.get(attempt)?.answer;
  }

  recordAnswer(attempt: string, answer: answers.ReceivedAnswer): void {
    this.sent.get(attempt)!.answer = answer;
  }

  /** Records the beginning of a run; the returned function records that the replica no longer works on it. */
  recordRun(
    attempt: string,
    replica: string,
    at: number,
    origin: runRules.RunOrigin,
  ): (at: number) => void {
    const run: runRules.Run = {replica, at, origin, endedAt: Infinity};
    const runs = this.runs.get(attempt) ?? [];
    runs.push(run);
    this.runs.set(attempt, runs);
    return endedAt => (run.endedAt = endedAt);
  }

  /** Records the start of a fault at the gateway; undefined stands for all gateways. Call the returned function when the fault ends. */
  beginFault(
    gateway: string | undefined,
    at: number,
    kind?: faultTimes.FaultKind,
  ): (at: number) => void {
    return this.faults.begin(gateway, at, kind);
  }

  recordRevoked(key: string, at: number): void {
    this.revoked.set(key, at);
    this.calls.configuration.recordRemoved(key, at);
  }

  recordDraining(replica: string, at: number): void {
    this.draining.set(replica, at);
  }

  /** Records that a replica names a limit; returns a function that records its end. */
  beginLimit(
    replica: string,
    requestsPerSecond: number,
    at: number,
  ): (at: number) => void {
    const range: faultTimes.TimeRange = {from: at, to: Infinity};
    this.limited.push({replica, requestsPerSecond, range});
    return endsAt => (range.to = endsAt);
  }

  /** Records a violation that the soak test observed itself, such as the exit of a process. */
  recordViolation(promise: string, detail: string): void {
    this.recordedViolations.push({promise, attempt: '', detail});
  }

  /** Number of requests by kind and outcome. */
  summary(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {kind, answer} of this.sent.values()) {
      const outcome = answer === undefined ? 'open' : outcomeOf(answer);
      counts[`${kind} ${outcome}`] = (counts[`${kind} ${outcome}`] ?? 0) + 1;
    }
    return counts;
  }

  /** Number of runs by how they began. */
  runSummary(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {origin} of [...this.runs.values()].flat()) {
      counts[origin] = (counts[origin] ?? 0) + 1;
    }
    return counts;
  }

  /** All violations found so far. */
  violations(): Violation[] {
    const violations = [...this.recordedViolations];
    for (const [attempt, request] of this.sent) {
      const runs = this.runs.get(attempt) ?? [];
      violations.push(
        ...this.checkRuns(attempt, request, runs),
        ...this.checkAnswer(attempt, request, runs),
      );
    }
    violations.push(...this.limited.flatMap(each => this.checkLimit(each)));
    violations.push(...this.places.violations(this.arrivedRequests()));
    violations.push(
      ...this.calls.violations(attempt => this.runs.get(attempt) ?? []),
    );
    violations.push(
      ...this.budget
        .violations()
        .map(detail => ({promise: 'budget', attempt: '', detail})),
    );
    for (const attempt of this.runs.keys()) {
      if (!this.sent.has(attempt)) {
        violations.push({
          promise: 'asked',
          attempt,
          detail: 'no caller sent it',
        });
      }
    }
    return violations;
  }

  /** All requests at replicas, continued runs included. */
  private arrivedRequests(): placeRules.ArrivedRequest[] {
    return [...this.runs].flatMap(([attempt, runs]) => {
      const gateway = this.sent.get(attempt)?.gateway ?? '';
      return runs.map(({replica, at}) => ({
        attempt,
        replica,
        at,
        isBoundBy: (changedAt: number) =>
          this.isLate(at, changedAt, gateway, EVACUATION_LIMIT_MILLISECONDS),
      }));
    });
  }

  private checkRuns(
    attempt: string,
    {kind, key, gateway}: SentRequest,
    runs: readonly runRules.Run[],
  ): Violation[] {
    const isAtMostOnce =
      kind === RequestKind.File || kind === RequestKind.Draft;
    const violations: Violation[] = this.runRules
      .check(runs, isAtMostOnce, (from, to) =>
        this.faults.had(gateway, from, to),
      )
      .map(detail => ({promise: 'once', attempt, detail}));
    const fresh = runs.filter(run => run.origin === runRules.RunOrigin.New);
    const revokedAt = this.revoked.get(key) ?? Infinity;
    for (const run of fresh) {
      if (this.isLate(run.at, revokedAt, gateway)) {
        const detail = `${Math.round(run.at - revokedAt)} ms after its key was revoked`;
        violations.push({promise: 'key', attempt, detail});
      }
      const drainedAt = this.draining.get(run.replica) ?? Infinity;
      if (this.isLate(run.at, drainedAt, gateway)) {
        const detail = `${Math.round(run.at - drainedAt)} ms after ${run.replica} was draining`;
        violations.push({promise: 'drain', attempt, detail});
      }
    }
    return violations;
  }

  /** Checks the runs at a replica while it named a limit, without those of gateways that had a fault. */
  private checkLimit({
    replica,
    requestsPerSecond,
    range,
  }: LimitedTime): Violation[] {
    const times: number[] = [];
    for (const [attempt, runs] of this.runs) {
      const gateway = this.sent.get(attempt)?.gateway;
      for (const run of runs) {
        const isCounted =
          run.replica === replica &&
          run.at >= range.from + LIMIT_SETTLING_MILLISECONDS &&
          run.at <= range.to &&
          !this.faults.had(
            gateway,
            run.at - LIMIT_FAULT_FREE_MILLISECONDS,
            run.at,
          );
        if (isCounted) {
          times.push(run.at);
        }
      }
    }
    times.sort((left, right) => left - right);
    const allowed = requestLimit.allowedRequests(requestsPerSecond);
    const most = requestLimit.mostInWindow(times);
    const detail = `${replica} got ${most} requests at a limit of ${requestsPerSecond}, ${allowed} allowed`;
    return most > allowed ? [{promise: 'limit', attempt: '', detail}] : [];
  }

  /** Whether a run began after the time limit of a change although the gateway was connected long enough to receive the change. */
  private isLate(
    at: number,
    changedAt: number,
    gateway: string,
    limitMilliseconds = CHANGE_LIMIT_MILLISECONDS,
  ): boolean {
    const since = at - limitMilliseconds - FAULT_FREE_MILLISECONDS;
    const wasFaulty =
      this.faults.had(undefined, since, at) ||
      this.faults.had(gateway, since, at);
    return at > changedAt + limitMilliseconds && !wasFaulty;
  }

  private checkAnswer(
    attempt: string,
    {kind, answer, resumed}: SentRequest,
    runs: readonly runRules.Run[],
  ): Violation[] {
    if (answer === undefined) {
      return [];
    }
    const {status, stamp, isComplete} = answer;
    const promisesNotRun =
      NOT_RUN_STATUSES.has(status) && stamp === undefined && isComplete;
    if (promisesNotRun && runs.length > 0) {
      const detail = `answered ${status}, but ran at ${runs[0].replica}`;
      return [{promise: 'not-run', attempt, detail}];
    }
    if (status !== 200) {
      return [];
    }
    const fault =
      kind === RequestKind.Draft || kind === RequestKind.Tag
        ? answers.checkStream(attempt, answer, resumed)
        : answers.checkPlain(
            attempt,
            answer,
            runs.map(run => run.replica),
          );
    return fault === undefined
      ? []
      : [{promise: 'whole', attempt, detail: fault}];
  }
}

function outcomeOf({status, isComplete}: answers.ReceivedAnswer): string {
  if (status === 0) {
    return 'no answer';
  }
  return isComplete ? String(status) : `${status} cut`;
}
