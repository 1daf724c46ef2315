/**
 * Finds parts of prompts that crash every engine which begins to write an answer
 * on them. A crash counts against all shared parts of a prompt that was about to
 * be answered there, until an answer has begun on the part again. `prompt_part_blame`
 * decides which parts are blamed. What gateways know is merged; the order of
 * messages does not matter.
 */
import * as rxjs from 'rxjs';
import * as promptPartBlame from './prompt_part_blame';

export const {MAX_CRASHES, COMMON_CAUSE_MILLISECONDS} = promptPartBlame;
const {BlameState, Verdict, crashesByMoment, validCrashes} = promptPartBlame;
/** Time for which a crash counts, in milliseconds. A part is then tried again. */
const CRASH_LIFETIME_MILLISECONDS = 600_000;
/** Parts on which answers began; those of the longest ago are forgotten first. */
const MAX_BEGUN_PARTS = 8_192;
/** Parts with crashes, more than one prompt can have; the least suspicious are forgotten first. */
const MAX_SUSPECTS = 8_192;
/** Crashes kept for one part: the latest, of as many moments as possible. */
const MAX_CRASHES_PER_SUSPECT = 8;
/** Number of parts in a message to peers: the most suspicious ones, and further ones in turn. */
const MAX_RELAYED_FIRST = 4;
const MAX_RELAYED_FURTHER = 4;
/** Difference between the times of the last answer on a part from which a peer is told at once, in milliseconds. */
const MAX_BEGUN_DIFFERENCE_MILLISECONDS = 5_000;
/** Maximum number of crashes of a part that peers are told. */
const MAX_RELAYED_CRASHES = 6;

/** A crash, with its age in milliseconds. */
export type RelayedCrash = readonly [
  life: string,
  request: string,
  age: number,
];

/**
 * What a gateway knows of a part: its id, its position in the prompt, the time
 * since an answer began on it in milliseconds (null if none is known), and its
 * crashes.
 */
export type RelayedSuspect = readonly [
  id: string,
  position: number,
  begunAge: number | null,
  crashes: readonly RelayedCrash[],
];

/** Parts of one group, or that are no longer blamed, that a log line names at most. */
const MAX_NAMED_PARTS = 8;

/** A group of parts that is blamed. */
export interface BlamedParts {
  /** The first part. */
  readonly id: string;
  /** Other parts that were at the same crashes, any of which may be the cause; at most some. */
  readonly together: readonly string[];
  /** Number of parts in the group. */
  readonly count: number;
  readonly crashes: readonly promptPartBlame.SeenCrash[];
}

/** Why a prompt is not simply sent to an engine. */
export interface Judgement {
  readonly verdict: promptPartBlame.Verdict;
  /** The blamed parts, of which the prompt has all or some. */
  readonly parts: readonly string[];
}

type Suspect = promptPartBlame.Suspect;
type SeenCrash = promptPartBlame.SeenCrash;

/** Parts of prompts by the crashes and the answers that began on them. */
export class PromptPartTable {
  /** Fires when a group becomes blocked, or another part joins it. */
  readonly onDidBlock = new rxjs.Subject<BlamedParts>();
  /** Fires when prompts with parts of a group are tried one at a time from now on. */
  readonly onDidSuspect = new rxjs.Subject<BlamedParts>();
  /** Fires with the ids of parts that are no longer blamed; with some of them if these are many. */
  readonly onDidUnblock = new rxjs.Subject<string>();
  private readonly begun = new Map<string, number>();
  private readonly suspects = new Map<string, Suspect>();
  private groups: ReadonlyMap<string, promptPartBlame.BlamedGroup> = new Map();
  /** Parts of crashes seen here of which no message to all peers has told yet. */
  private readonly untold = new Set<string>();
  /** Position from which parts are told in turn. */
  private turn = 0;
  /** Monotonic milliseconds at which the next crash expires. */
  private nextExpiryAt = Infinity;

  /** Whether a further message to all peers is needed. */
  get hasUntold(): boolean {
    return this.untold.size > 0;
  }

  /** Records that an engine has begun to write an answer on the parts, and survived it. */
  recordBegun(ids: readonly string[], now: number): void {
    let isCleared = false;
    for (const id of ids) {
      this.begun.delete(id);
      this.begun.set(id, now);
      const suspect = this.suspects.get(id);
      if (suspect !== undefined) {
        if (validCrashes(suspect).length > 0) {
          isCleared = true;
          this.untold.add(id);
        }
        suspect.begunAt = now;
      }
    }
    while (this.begun.size > MAX_BEGUN_PARTS) {
      this.begun.delete(this.begun.keys().next().value!);
    }
    if (isCleared) {
      this.updateBlame(now);
    }
  }

  /** Records the crash of an engine that was about to answer a prompt with these shared parts, in their order. */
  recordCrash(
    ids: readonly string[],
    crash: promptPartBlame.PartCrash,
    now: number,
  ): void {
    const seen = {...crash, at: now};
    ids.forEach((id, position) => {
      this.addCrash(this.suspectOf(id, position), seen);
      this.untold.add(id);
    });
    this.updateBlame(now);
  }

  /** Decides whether an answer may begin on a prompt with these shared parts; undefined if none is blamed. */
  judge(ids: readonly string[], now: number): Judgement | undefined {
    if (now >= this.nextExpiryAt) {
      this.updateBlame(now);
    }
    if (this.groups.size === 0) {
      return undefined;
    }
    const present = new Set(ids);
    const groups = new Set(ids.map(id => this.groups.get(id)));
    const judgements = [...groups]
      .filter(group => group !== undefined)
      .map(group => ({
        verdict: promptPartBlame.verdictOf(group, present),
        parts: group.ids,
      }));
    return (
      judgements.find(({verdict}) => verdict === Verdict.Blocked) ??
      judgements[0]
    );
  }

  /** Returns the most suspicious parts, then those of crashes that were not told yet or others in turn, to be sent to peers. */
  toRelay(now: number): RelayedSuspect[] {
    const ordered = bySuspicion(this.suspects.values());
    const first = ordered.slice(0, MAX_RELAYED_FIRST);
    const further = this.hasUntold
      ? this.nextUntold()
      : this.nextInTurn(ordered.slice(MAX_RELAYED_FIRST));
    return [...new Set([...first, ...further])].map(
      ({id, position, begunAt, crashes}) => [
        id,
        position,
        begunAt === -Infinity ? null : Math.round(now - begunAt),
        crashesByMoment([...crashes.values()], MAX_RELAYED_CRASHES).map(
          each => [each.life, each.request, Math.round(now - each.at)],
        ),
      ],
    );
  }

  /** Records that all peers were sent what `toRelay` returns. */
  markTold(): void {
    this.nextUntold().forEach(({id}) => this.untold.delete(id));
  }

  private nextUntold(): Suspect[] {
    const next: Suspect[] = [];
    for (const id of this.untold) {
      const suspect = this.suspects.get(id);
      if (suspect === undefined) {
        this.untold.delete(id);
        continue;
      }
      next.push(suspect);
      if (next.length >= MAX_RELAYED_FURTHER) {
        break;
      }
    }
    return next;
  }

  private nextInTurn(suspects: readonly Suspect[]): Suspect[] {
    const from = this.turn < suspects.length ? this.turn : 0;
    this.turn = from + MAX_RELAYED_FURTHER;
    return suspects.slice(from, this.turn);
  }

  /** Adds what a peer knows. */
  merge(relayed: readonly RelayedSuspect[], now: number): void {
    let isNew = false;
    for (const [id, position, begunAge, crashes] of relayed) {
      const suspect = this.suspectOf(id, position);
      if (begunAge !== null && now - begunAge > suspect.begunAt) {
        isNew ||= validCrashes(suspect).length > 0;
        suspect.begunAt = now - begunAge;
      }
      const toldBegunAt = begunAge === null ? -Infinity : now - begunAge;
      if (suspect.begunAt > toldBegunAt + MAX_BEGUN_DIFFERENCE_MILLISECONDS) {
        this.untold.add(id);
      }
      for (const [life, request, age] of crashes) {
        isNew = this.addCrash(suspect, {life, request, at: now - age}) || isNew;
      }
    }
    if (isNew) {
      this.updateBlame(now);
    }
  }

  private suspectOf(id: string, position: number): Suspect {
    const existing = this.suspects.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const begunAt = this.begun.get(id) ?? -Infinity;
    const suspect = {id, position, begunAt, crashes: new Map()};
    this.suspects.set(id, suspect);
    return suspect;
  }

  /** Adds a crash; returns whether it was not known. */
  private addCrash(suspect: Suspect, crash: SeenCrash): boolean {
    const key = `${crash.life} ${crash.request}`;
    const {crashes} = suspect;
    if (crashes.has(key)) {
      return false;
    }
    crashes.set(key, crash);
    if (crashes.size > MAX_CRASHES_PER_SUSPECT) {
      const dropped = crashesByMoment([...crashes.values()]).pop()!;
      crashes.delete(`${dropped.life} ${dropped.request}`);
    }
    return true;
  }

  private updateBlame(now: number): void {
    this.removeOld(now);
    const previous = this.groups;
    const groups = promptPartBlame.findGroups([...this.suspects.values()]);
    this.groups = new Map(
      groups.flatMap(group => group.ids.map(id => [id, group] as const)),
    );
    for (const {ids, state, crashes} of groups) {
      if (ids.every(id => previous.get(id)?.state === state)) {
        continue;
      }
      const subject =
        state === BlameState.Blocked ? this.onDidBlock : this.onDidSuspect;
      const [id, ...others] = ids;
      const together = others.slice(0, MAX_NAMED_PARTS - 1);
      subject.next({id, together, count: ids.length, crashes});
    }
    [...previous.keys()]
      .filter(id => !this.groups.has(id))
      .slice(0, MAX_NAMED_PARTS)
      .forEach(id => this.onDidUnblock.next(id));
  }

  private removeOld(now: number): void {
    this.nextExpiryAt = Infinity;
    for (const suspect of this.suspects.values()) {
      for (const [key, {at}] of suspect.crashes) {
        const expiresAt = at + CRASH_LIFETIME_MILLISECONDS;
        if (expiresAt <= now) {
          suspect.crashes.delete(key);
        } else {
          this.nextExpiryAt = Math.min(this.nextExpiryAt, expiresAt);
        }
      }
      if (suspect.crashes.size === 0) {
        this.suspects.delete(suspect.id);
      }
    }
    if (this.suspects.size <= MAX_SUSPECTS) {
      return;
    }
    bySuspicion(this.suspects.values())
      .slice(MAX_SUSPECTS)
      .forEach(({id}) => this.suspects.delete(id));
  }
}

/** Sorts parts by the number of crashes since an answer last began on them, then by the last crash; the most suspicious first. */
function bySuspicion(suspects: Iterable<Suspect>): Suspect[] {
  return [...suspects]
    .map(suspect => ({
      suspect,
      count: Math.min(MAX_CRASHES, validCrashes(suspect).length),
      lastAt: lastCrashAt(suspect),
    }))
    .sort(
      (left, right) => right.count - left.count || right.lastAt - left.lastAt,
    )
    .map(({suspect}) => suspect);
}

function lastCrashAt({crashes}: Suspect): number {
  return Math.max(-Infinity, ...[...crashes.values()].map(({at}) => at));
}
