/** Limits on the rate of requests that instances name in their answers. */
import * as rxjs from 'rxjs';

/** What an answer says of the requests that its instance takes from all gateways together. */
export interface AnswerLimit {
  /** Undefined if the text is not a rate. */
  readonly requestsPerSecond: number | undefined;
  /** The limit as the instance wrote it, shortened. */
  readonly text: string;
}

/** An answer, as far as it matters for the limit of its instance. */
export interface LimitObservation {
  /** Undefined if the answer names no limit. */
  readonly limit: AnswerLimit | undefined;
  /** Whether the instance ran the request and did not fail it; others end no limit. */
  readonly isSuccess: boolean;
  /** Monotonic milliseconds at which the request was sent. */
  readonly sentAt: number;
}

/** A limit that appeared, changed or ended. */
export interface LimitChange {
  /** Identifies one incarnation of an instance. */
  readonly life: string;
  /** Undefined if there is no limit. */
  readonly requestsPerSecond: number | undefined;
  readonly previous: number | undefined;
}

/** The latest that is known of one incarnation. */
interface Statement {
  readonly requestsPerSecond: number | undefined;
  /** Monotonic milliseconds at which the instance said so. */
  readonly at: number;
}

/** Incarnations of which something is known; those heard of the longest ago are forgotten first. */
const MAX_STATEMENTS = 4_096;

/** Limits by incarnation of an instance. */
export class InstanceLimits {
  readonly onDidChange = new rxjs.Subject<LimitChange>();
  private readonly statements = new Map<string, Statement>();

  /** Requests a second that the instance takes from all gateways; undefined if it names no limit. */
  get(life: string): number | undefined {
    return this.statements.get(life)?.requestsPerSecond;
  }

  /** Records an answer of the instance. */
  recordAnswer(life: string, answer: LimitObservation, now: number): void {
    const {limit, isSuccess, sentAt} = answer;
    if (limit !== undefined) {
      if (limit.requestsPerSecond !== undefined) {
        const {requestsPerSecond} = limit;
        this.set(life, {requestsPerSecond, at: now});
      }
      return;
    }
    // An answer may have been written before another one that named the limit.
    if (isSuccess && this.statements.has(life)) {
      this.set(life, {requestsPerSecond: undefined, at: sentAt});
    }
  }

  /** Replaces the statement unless it is older than the known one. */
  private set(life: string, statement: Statement): void {
    const known = this.statements.get(life);
    if (known !== undefined && known.at > statement.at) {
      return;
    }
    this.statements.delete(life);
    this.statements.set(life, statement);
    if (this.statements.size > MAX_STATEMENTS) {
      this.statements.delete(this.statements.keys().next().value!);
    }
    const previous = known?.requestsPerSecond;
    const {requestsPerSecond} = statement;
    if (requestsPerSecond !== previous) {
      this.onDidChange.next({life, requestsPerSecond, previous});
    }
  }
}
