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

/** A limit in a message between gateways: requests per second (null if it has ended), age in milliseconds. */
export type LimitUpdate = readonly [number | null, number];

/** A limit with the incarnation of the instance that names it. */
export type RelayedLimit = readonly [string, ...LimitUpdate];

/** The latest that is known of one incarnation. */
interface Statement {
  readonly requestsPerSecond: number | undefined;
  /** Monotonic milliseconds at which the instance said so. */
  readonly at: number;
}

/** Maximum number of incarnations with a limit or its end; the least recently updated are dropped first. */
const MAX_STATEMENTS = 4_096;
/** Maximum number of limits in a digest, the most recently updated; gateways learn of others from answers. */
const MAX_RELAYED = 16;
/** Maximum age of a limit, or of its end, that is relayed to peers, in milliseconds. */
const RELAY_MILLISECONDS = 30_000;
/** Time for which the end of a limit is kept, in milliseconds. Longer than peers relay the limit, which would otherwise be taken for a new one. */
const END_MILLISECONDS = 2 * RELAY_MILLISECONDS;

/** Limits by incarnation of an instance. */
export class InstanceLimits {
  readonly onDidChange = new rxjs.Subject<LimitChange>();
  /** Statements by incarnation, the one heard of last at the end. */
  private readonly statements = new Map<string, Statement>();
  private ownChanges = 0;

  /** Number of incarnations of which something is known. */
  get size(): number {
    return this.statements.size;
  }

  /** Number of limits whose beginning or end this gateway noticed itself. */
  get ownChangeCount(): number {
    return this.ownChanges;
  }

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
        this.ownChanges += this.get(life) === undefined ? 1 : 0;
        this.set(life, {requestsPerSecond, at: now});
      }
      return;
    }
    // An answer may have been written before another one that named the limit.
    if (isSuccess && this.get(life) !== undefined) {
      this.set(life, {requestsPerSecond: undefined, at: sentAt});
      this.ownChanges += this.get(life) === undefined ? 1 : 0;
    }
  }

  /** Adds what peers know, where it is newer. */
  merge(relayed: readonly RelayedLimit[], now: number): void {
    for (const [life, ...limit] of relayed) {
      this.applyUpdate(life, limit, now);
    }
  }

  /** Records what a peer knows of one incarnation, if it is newer. */
  applyUpdate(life: string, [rate, age]: LimitUpdate, now: number): void {
    const requestsPerSecond = rate ?? undefined;
    if (requestsPerSecond !== undefined || this.statements.has(life)) {
      this.set(life, {requestsPerSecond, at: now - age});
    }
  }

  /** Update about one incarnation for peers; undefined without a known limit or end. */
  updateFor(life: string, now: number): LimitUpdate | undefined {
    const statement = this.statements.get(life);
    return (
      statement && [
        statement.requestsPerSecond ?? null,
        // Rounded up: an age that is too small could let an older answer end a limit.
        Math.ceil(now - statement.at),
      ]
    );
  }

  /** Returns what was heard of last, to be sent to peers; forgets limits that ended long ago. */
  toRelay(now: number): RelayedLimit[] {
    this.statements.forEach(({requestsPerSecond, at}, life) => {
      if (requestsPerSecond === undefined && now - at > END_MILLISECONDS) {
        this.statements.delete(life);
      }
    });
    return [...this.statements]
      .filter(([, {at}]) => now - at <= RELAY_MILLISECONDS)
      .slice(-MAX_RELAYED)
      .map(([life]) => [life, ...this.updateFor(life, now)!]);
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
