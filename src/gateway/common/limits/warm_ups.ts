/**
 * Instances that are cold and until when, by their registrations and their
 * answers. Meant for tens of instances that start within some seconds, each of
 * which slows down all of its requests if it gets too many while cold.
 */
import * as rxjs from 'rxjs';

/**
 * What a gateway tells another one about one incarnation: milliseconds until it
 * is warm, age of the statement in milliseconds, revision of the registration
 * that the gateway knows, 1 if the statement comes from an answer.
 */
export type WarmUpUpdate = readonly [number, number, number, number];

/** An update with the incarnation of the instance. */
export type RelayedWarmUp = readonly [string, ...WarmUpUpdate];

/** An instance that has become cold, or warm before its time. */
export interface WarmUpChange {
  /** Identifies one incarnation of an instance. */
  readonly life: string;
  readonly leftMilliseconds: number;
  readonly origin: WarmUpOrigin;
}

/** Who said how long an instance stays cold. */
export enum WarmUpOrigin {
  Registration = 'registration',
  Answer = 'answer',
  Peer = 'peer',
  /** The instance's data centre was reopened. */
  Reopening = 'reopening',
}

interface Statement {
  /** Monotonic milliseconds until which the instance is cold. */
  readonly until: number;
  /** Monotonic milliseconds at which this was said. */
  readonly at: number;
  /** Revision of the known registration; 0 if it names no time or is unknown. */
  readonly revision: number;
  readonly isAnswer: boolean;
  /** Monotonic milliseconds at which an answer said something new; -Infinity if none did. */
  readonly newsAt: number;
  /** Whether this gateway has read the registration, or was only told by a peer. */
  readonly isOwn: boolean;
}

/** Maximum number of incarnations; the least recently updated are dropped first. */
const MAX_STATEMENTS = 4_096;
/** Maximum number of statements in a digest, and their maximum age in milliseconds. */
const MAX_RELAYED = 16;
const RELAY_MILLISECONDS = 10_000;
/** Difference up to which two ends of a cold time are taken for the same, in milliseconds. */
const SAME_MILLISECONDS = 50;
/** Difference of the end of the cold time that is worth a message to all peers, in milliseconds. */
const MIN_NEWS_MILLISECONDS = 1_000;

/** Times at which cold instances become warm, by incarnation. */
export class WarmUps {
  readonly onDidChange = new rxjs.Subject<WarmUpChange>();
  private readonly statements = new Map<string, Statement>();
  private ownChanges = 0;

  get size(): number {
    return this.statements.size;
  }

  /** Number of statements of answers that peers have to be told of at once. */
  get ownChangeCount(): number {
    return this.ownChanges;
  }

  isCold(life: string, now: number): boolean {
    return this.leftMilliseconds(life, now) > 0;
  }

  /** Time until the instance is warm, in milliseconds; 0 if it is. */
  leftMilliseconds(life: string, now: number): number {
    return Math.max(0, (this.statements.get(life)?.until ?? now) - now);
  }

  /** Records a registration that is new or has changed, at its arrival. */
  recordRegistration(
    life: string,
    leftMilliseconds: number,
    revision: number,
    now: number,
  ): void {
    const known = this.statements.get(life);
    const until = now + leftMilliseconds;
    if (known === undefined && leftMilliseconds <= 0) {
      return;
    }
    const isKnown = known !== undefined && known.revision === revision;
    if (isKnown && revision > 0) {
      // A peer told of the same registration, which it received before.
      this.set(life, {...known, isOwn: true}, WarmUpOrigin.Registration, now);
      return;
    }
    this.set(
      life,
      {
        until,
        at: now,
        revision,
        isAnswer: false,
        isOwn: true,
        newsAt: -Infinity,
      },
      WarmUpOrigin.Registration,
      now,
    );
  }

  /** Forgets the revisions of registrations, since the source was restored from a copy and counts anew. */
  enterEra(): void {
    for (const [life, statement] of this.statements) {
      this.statements.set(life, {...statement, revision: 0});
    }
  }

  /** Records the time that an answer of the instance names. */
  recordAnswer(life: string, leftMilliseconds: number, now: number): void {
    const known = this.statements.get(life);
    if (known === undefined && leftMilliseconds <= 0) {
      return;
    }
    const until = now + leftMilliseconds;
    const difference = Math.abs(Math.max(now, known?.until ?? now) - until);
    const isNews = difference >= MIN_NEWS_MILLISECONDS;
    this.ownChanges += isNews ? 1 : 0;
    this.set(
      life,
      {
        until,
        at: now,
        revision: known?.revision ?? 0,
        isAnswer: true,
        isOwn: known?.isOwn ?? false,
        newsAt: isNews ? now : (known?.newsAt ?? -Infinity),
      },
      WarmUpOrigin.Answer,
      now,
    );
  }

  /** Regards an instance as cold for at least the time, since those of a reopened data centre may have become cold before they say so. */
  extend(life: string, leftMilliseconds: number, now: number): void {
    const known = this.statements.get(life);
    const until = Math.max(known?.until ?? now, now + leftMilliseconds);
    this.set(
      life,
      {
        until,
        at: known?.at ?? now,
        revision: known?.revision ?? 0,
        isAnswer: known?.isAnswer ?? false,
        newsAt: known?.newsAt ?? -Infinity,
        isOwn: known?.isOwn ?? false,
      },
      WarmUpOrigin.Reopening,
      now,
    );
  }

  /** Adds what peers were told by answers. */
  merge(relayed: readonly RelayedWarmUp[], now: number): void {
    relayed.forEach(([life, ...update]) => this.applyUpdate(life, update, now));
  }

  /** Records what a peer knows of one incarnation, where it is newer. */
  applyUpdate(
    life: string,
    [left, age, revision, isAnswer]: WarmUpUpdate,
    now: number,
  ): void {
    const known = this.statements.get(life);
    const told: Statement = {
      until: now + left,
      at: now - age,
      revision: Math.max(revision, known?.revision ?? 0),
      isAnswer: isAnswer === 1,
      newsAt: isAnswer === 1 ? now - age : -Infinity,
      isOwn: known?.isOwn ?? false,
    };
    if (known === undefined ? left > 0 : supersedes(told, known, revision)) {
      this.set(life, told, WarmUpOrigin.Peer, now);
    }
  }

  /** Whether a peer's update tells the same as what is known here, but for its time on the way. */
  matches(
    life: string,
    [left, , revision, isAnswer]: WarmUpUpdate,
    now: number,
  ): boolean {
    const known = this.statements.get(life);
    return (
      known !== undefined &&
      known.revision === revision &&
      known.isAnswer === (isAnswer === 1) &&
      Math.abs(known.until - now - left) < SAME_MILLISECONDS
    );
  }

  /** Update about one incarnation for a peer; undefined if nothing is known. */
  updateFor(life: string, now: number): WarmUpUpdate | undefined {
    const statement = this.statements.get(life);
    return (
      statement && [
        Math.ceil(Math.max(0, statement.until - now)),
        // The age orders answers; registrations are ordered by revision.
        statement.isAnswer ? Math.ceil(Math.max(0, now - statement.at)) : 0,
        statement.revision,
        statement.isAnswer ? 1 : 0,
      ]
    );
  }

  /** Returns what answers said last that was new, to be sent to peers, which read registrations themselves. */
  toRelay(now: number): RelayedWarmUp[] {
    const relayed: RelayedWarmUp[] = [];
    for (const [life, {newsAt}] of this.statements) {
      if (now - newsAt <= RELAY_MILLISECONDS) {
        relayed.push([life, ...this.updateFor(life, now)!]);
      }
    }
    return relayed.slice(-MAX_RELAYED);
  }

  private set(
    life: string,
    statement: Statement,
    origin: WarmUpOrigin,
    now: number,
  ): void {
    const wasCold = this.isCold(life, now);
    this.statements.delete(life);
    this.statements.set(life, statement);
    if (this.statements.size > MAX_STATEMENTS) {
      this.statements.delete(this.statements.keys().next().value!);
    }
    if (this.isCold(life, now) !== wasCold) {
      const leftMilliseconds = this.leftMilliseconds(life, now);
      this.onDidChange.next({life, leftMilliseconds, origin});
    }
  }
}

/** Whether the statement of a peer, made at its `revision` of the registration, replaces the known one. */
function supersedes(
  told: Statement,
  known: Statement,
  revision: number,
): boolean {
  if (told.isAnswer) {
    return known.isAnswer ? told.at > known.at : revision >= known.revision;
  }
  if (known.isAnswer) {
    return false;
  }
  // The gateway that received a registration first knows best when its time is over.
  return revision === known.revision
    ? told.until < known.until
    : revision > known.revision && !known.isOwn;
}
