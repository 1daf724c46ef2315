/**
 * What callers and replicas saw, and which promises it breaks. Pure: the soak
 * feeds it while it runs, and tests feed it by hand.
 */

/** Kinds of requests that the soak sends. */
export enum RequestKind {
  /** May run again. */
  Read = 'read',
  /** Runs once at most. */
  File = 'file',
  /** A stream that goes on only from a copy of its run. */
  Draft = 'draft',
  /** A stream that may go on by event id. */
  Tag = 'tag',
}

/** How an answer ended for its caller. */
export interface ReceivedAnswer {
  /** 0 when no answer began. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer looked complete. */
  readonly isComplete: boolean;
  /** The replica's proof; undefined on answers of a gateway. */
  readonly stamp: string | undefined;
}

/** One broken promise. */
export interface Violation {
  readonly promise: string;
  readonly attempt: string;
  readonly detail: string;
}

interface SentRequest {
  readonly kind: RequestKind;
  readonly key: string;
  readonly gateway: string;
  answer?: ReceivedAnswer;
}

interface Run {
  readonly replica: string;
  readonly at: number;
  readonly isContinued: boolean;
}

interface TimeRange {
  readonly from: number;
  to: number;
}

/** Statuses that promise that the request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time in which a change is in force at a gateway that is in touch, in milliseconds; twice the platform's bound, since the machine is shared. */
const CHANGE_LIMIT_MILLISECONDS = 4_000;
/** Time without any fault after which a gateway counts as in touch, in milliseconds. */
const FAULT_FREE_MILLISECONDS = 4_000;

/** Body of a whole plain answer. */
export function plainBody(attempt: string, replica: string): string {
  return `${attempt} served by ${replica}`;
}

/** One piece of a stream. */
export function pieceEvent(attempt: string, index: number): string {
  return `id: ${index}\ndata: ${attempt} piece ${index}\n\n`;
}

/** Last event of a whole stream. */
export function endEvent(attempt: string, pieces: number): string {
  return `id: ${pieces + 1}\ndata: ${attempt} end\n\n`;
}

/** Holds everything that was seen in one soak. */
export class RequestHistory {
  private readonly sent = new Map<string, SentRequest>();
  private readonly runs = new Map<string, Run[]>();
  private readonly faults: {gateway: string | undefined; range: TimeRange}[] =
    [];
  private readonly revoked = new Map<string, number>();
  private readonly draining = new Map<string, number>();
  private readonly recordedViolations: Violation[] = [];

  recordSent(
    attempt: string,
    kind: RequestKind,
    key: string,
    gateway: string,
  ): void {
    this.sent.set(attempt, {kind, key, gateway});
  }

  recordAnswer(attempt: string, answer: ReceivedAnswer): void {
    this.sent.get(attempt)!.answer = answer;
  }

  recordRun(
    attempt: string,
    replica: string,
    at: number,
    isContinued: boolean,
  ): void {
    const runs = this.runs.get(attempt) ?? [];
    runs.push({replica, at, isContinued});
    this.runs.set(attempt, runs);
  }

  /** Notes a fault at one gateway, or at all when none is named; gives a call that ends it. */
  beginFault(gateway: string | undefined, at: number): (at: number) => void {
    const range: TimeRange = {from: at, to: Infinity};
    this.faults.push({gateway, range: range});
    return endsAt => (range.to = endsAt);
  }

  recordRevoked(key: string, at: number): void {
    this.revoked.set(key, at);
  }

  recordDraining(replica: string, at: number): void {
    this.draining.set(replica, at);
  }

  /** Notes something that the soak saw itself, such as the end of a process. */
  recordViolation(promise: string, detail: string): void {
    this.recordedViolations.push({promise, attempt: '', detail});
  }

  /** Requests by outcome. */
  summary(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {kind, answer} of this.sent.values()) {
      const outcome = answer === undefined ? 'open' : outcomeOf(answer);
      counts[`${kind} ${outcome}`] = (counts[`${kind} ${outcome}`] ?? 0) + 1;
    }
    return counts;
  }

  /** Everything that broke a promise. */
  violations(): Violation[] {
    const violations = [...this.recordedViolations];
    for (const [attempt, request] of this.sent) {
      const runs = this.runs.get(attempt) ?? [];
      violations.push(
        ...this.checkRuns(attempt, request, runs),
        ...this.checkAnswer(attempt, request, runs),
      );
    }
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

  private checkRuns(
    attempt: string,
    {kind, key, gateway}: SentRequest,
    runs: readonly Run[],
  ): Violation[] {
    const violations: Violation[] = [];
    const fresh = runs.filter(run => !run.isContinued);
    const isAtMostOnce =
      kind === RequestKind.File || kind === RequestKind.Draft;
    if (isAtMostOnce && fresh.length > 1) {
      const detail = fresh.map(run => run.replica).join(', ');
      violations.push({promise: 'once', attempt, detail: `ran at ${detail}`});
    }
    const revokedAt = this.revoked.get(key) ?? Infinity;
    for (const run of fresh) {
      if (this.isLate(run.at, revokedAt, gateway)) {
        const detail = `${Math.round(run.at - revokedAt)} ms after its key was taken away`;
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

  /** Whether the time of the change is over though the gateway was in touch for long enough to learn of it. */
  private isLate(at: number, changedAt: number, gateway: string): boolean {
    const since = at - CHANGE_LIMIT_MILLISECONDS - FAULT_FREE_MILLISECONDS;
    const wasFaulty = this.faults.some(
      ({gateway: faultGateway, range: range}) =>
        (faultGateway === undefined || faultGateway === gateway) &&
        range.from <= at &&
        range.to >= since,
    );
    return at > changedAt + CHANGE_LIMIT_MILLISECONDS && !wasFaulty;
  }

  private checkAnswer(
    attempt: string,
    {kind, answer}: SentRequest,
    runs: readonly Run[],
  ): Violation[] {
    if (answer === undefined) {
      return [];
    }
    const {status, stamp, isComplete: isComplete} = answer;
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
        ? checkStream(attempt, answer)
        : checkPlain(attempt, answer, runs);
    return fault === undefined
      ? []
      : [{promise: 'whole', attempt, detail: fault}];
  }
}

function outcomeOf({status, isComplete: isComplete}: ReceivedAnswer): string {
  if (status === 0) {
    return 'no answer';
  }
  return isComplete ? String(status) : `${status} cut`;
}

function checkPlain(
  attempt: string,
  {body, isComplete: isComplete, stamp}: ReceivedAnswer,
  runs: readonly Run[],
): string | undefined {
  if (!isComplete) {
    return undefined;
  }
  const isFromRun = runs.some(
    run => run.replica === stamp && body === plainBody(attempt, run.replica),
  );
  return isFromRun ? undefined : `body "${body}" with stamp ${stamp}`;
}

function checkStream(
  attempt: string,
  {body, isComplete: isComplete}: ReceivedAnswer,
): string | undefined {
  let expected = '';
  let pieces = 0;
  while (body.startsWith(expected + pieceEvent(attempt, pieces + 1))) {
    expected += pieceEvent(attempt, ++pieces);
  }
  const rest = body.slice(expected.length);
  if (rest === endEvent(attempt, pieces)) {
    return undefined;
  }
  // A cut answer may end in the middle of a piece or of the end.
  const isTruncated =
    pieceEvent(attempt, pieces + 1).startsWith(rest) ||
    endEvent(attempt, pieces).startsWith(rest);
  if (!isComplete && isTruncated) {
    return undefined;
  }
  return `after piece ${pieces}: "${rest.slice(0, 80)}", complete ${isComplete}`;
}
