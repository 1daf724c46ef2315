/**
 * Finds parts of prompts that crash every engine which begins to write an answer
 * on them. A crash counts against all shared parts of a prompt that was about to
 * be answered there, until an answer has begun on the part again. Where several
 * parts were at the same crashes, the one on which an answer began the longest
 * time ago is blamed. What gateways know is merged; the order of messages does
 * not matter.
 */
import * as rxjs from 'rxjs';

/** Number of crashes after which a part is blocked, each of another engine, with another request, at another moment. */
export const MAX_CRASHES = 3;
/** Time for which a crash counts, in milliseconds. A part is then tried again. */
const CRASH_LIFETIME_MILLISECONDS = 600_000;
/** Crashes closer to each other have a common cause other than a request, such as a loss of power, and count once. In milliseconds. */
export const COMMON_CAUSE_MILLISECONDS = 100;
/** Parts on which answers began; those of the longest ago are forgotten first. */
const MAX_BEGUN_PARTS = 8_192;
/** Parts with crashes, more than one prompt can have; the least suspicious are forgotten first. */
const MAX_SUSPECTS = 8_192;
/** Crashes kept for one part, the latest. */
const MAX_CRASHES_PER_SUSPECT = 8;
/** Number of parts in a message to peers: the most suspicious ones, and further ones in turn. */
const MAX_RELAYED_FIRST = 4;
const MAX_RELAYED_FURTHER = 4;
/** Maximum number of crashes of a part that peers are told. */
const MAX_RELAYED_CRASHES = 6;

/** A crash while a request was about to be answered. */
export interface PartCrash {
  /** Identifies one incarnation of an instance. */
  readonly life: string;
  /** Identifies the request, whatever attempts it took. */
  readonly request: string;
}

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

/** A part that is no longer sent to engines. */
export interface BlockedPart {
  readonly id: string;
  readonly crashes: readonly SeenCrash[];
}

/** A crash and the monotonic milliseconds at which it was seen. */
export interface SeenCrash extends PartCrash {
  readonly at: number;
}

interface Suspect {
  readonly id: string;
  readonly position: number;
  /** Monotonic milliseconds at which an answer last began on the part; -Infinity if none is known. */
  begunAt: number;
  readonly crashes: Map<string, SeenCrash>;
}

/** Parts of prompts by the crashes and the answers that began on them. */
export class PromptPartTable {
  /** Fires when a part becomes blocked. */
  readonly onDidBlock = new rxjs.Subject<BlockedPart>();
  /** Fires with the id of a part that is no longer blocked. */
  readonly onDidUnblock = new rxjs.Subject<string>();
  private readonly begun = new Map<string, number>();
  private readonly suspects = new Map<string, Suspect>();
  private blocked: ReadonlySet<string> = new Set();
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
        isCleared ||= validCrashes(suspect).length > 0;
        suspect.begunAt = now;
      }
    }
    while (this.begun.size > MAX_BEGUN_PARTS) {
      this.begun.delete(this.begun.keys().next().value!);
    }
    if (isCleared) {
      this.updateBlocked(now);
    }
  }

  /** Records the crash of an engine that was about to answer a prompt with these shared parts, in their order. */
  recordCrash(ids: readonly string[], crash: PartCrash, now: number): void {
    const seen = {...crash, at: now};
    ids.forEach((id, position) => {
      this.addCrash(this.suspectOf(id, position), seen);
      this.untold.add(id);
    });
    this.updateBlocked(now);
  }

  /** First of the parts that is blocked; undefined if none is. */
  findBlocked(ids: readonly string[], now: number): string | undefined {
    if (now >= this.nextExpiryAt) {
      this.updateBlocked(now);
    }
    return ids.find(id => this.blocked.has(id));
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
        latestFirst(crashes.values())
          .slice(0, MAX_RELAYED_CRASHES)
          .map(each => [each.life, each.request, Math.round(now - each.at)]),
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
      for (const [life, request, age] of crashes) {
        isNew = this.addCrash(suspect, {life, request, at: now - age}) || isNew;
      }
    }
    if (isNew) {
      this.updateBlocked(now);
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
      const oldest = latestFirst(crashes.values()).pop()!;
      crashes.delete(`${oldest.life} ${oldest.request}`);
    }
    return true;
  }

  private updateBlocked(now: number): void {
    this.removeOld(now);
    const blocked = findCulprits([...this.suspects.values()]);
    const previous = this.blocked;
    this.blocked = new Set(blocked.keys());
    for (const [id, crashes] of blocked) {
      if (!previous.has(id)) {
        this.onDidBlock.next({id, crashes});
      }
    }
    for (const id of previous) {
      if (!this.blocked.has(id)) {
        this.onDidUnblock.next(id);
      }
    }
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

/** Explains the crashes by as few parts as possible; returns these with their crashes. */
function findCulprits(
  suspects: readonly Suspect[],
): Map<string, readonly SeenCrash[]> {
  const ordered = suspects
    .filter(({crashes}) => crashes.size >= MAX_CRASHES)
    .map(suspect => {
      const crashes = validCrashes(suspect);
      return {suspect, crashes, count: countCrashes(crashes)};
    })
    .filter(({count}) => count >= MAX_CRASHES)
    .sort(
      (left, right) =>
        compare(left.suspect.begunAt, right.suspect.begunAt) ||
        right.count - left.count ||
        // Later parts are shared by fewer requests.
        right.suspect.position - left.suspect.position ||
        compare(left.suspect.id, right.suspect.id),
    );
  const explained = new Set<string>();
  const culprits = new Map<string, readonly SeenCrash[]>();
  for (const {suspect, crashes} of ordered) {
    const unexplained = crashes.filter(({life}) => !explained.has(life));
    if (countCrashes(unexplained) >= MAX_CRASHES) {
      culprits.set(suspect.id, crashes);
      crashes.forEach(({life}) => explained.add(life));
    }
  }
  return culprits;
}

/** Crashes since an answer last began on the part. */
function validCrashes({begunAt, crashes}: Suspect): SeenCrash[] {
  return [...crashes.values()].filter(({at}) => at > begunAt);
}

/** Number of crashes that differ in engine, request and moment. */
function countCrashes(crashes: readonly SeenCrash[]): number {
  const lives = new Set(crashes.map(({life}) => life));
  const requests = new Set(crashes.map(({request}) => request));
  let moments = 0;
  let countedAt = Infinity;
  for (const {at} of latestFirst(crashes)) {
    if (countedAt - at >= COMMON_CAUSE_MILLISECONDS) {
      moments++;
      countedAt = at;
    }
  }
  return Math.min(lives.size, requests.size, moments);
}

function latestFirst(crashes: Iterable<SeenCrash>): SeenCrash[] {
  return [...crashes].sort((left, right) => right.at - left.at);
}

function lastCrashAt({crashes}: Suspect): number {
  return latestFirst(crashes.values())[0]?.at ?? -Infinity;
}

function compare<T extends number | string>(left: T, right: T): number {
  return left < right ? -1 : Number(left > right);
}
