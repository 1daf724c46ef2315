/**
 * Explains crashes of engines by as few parts of prompts as possible. Of parts
 * that were at the same crashes, the one on which an answer began the longest time
 * ago is blamed. Those between which that does not decide form a group: one of them
 * is the cause, and only a prompt that has some of them and not all can tell which.
 */

/** Number of crashes after which a group is blocked, each of another engine, with another request, at another moment. */
export const MAX_CRASHES = 3;
/** Crashes closer to each other may have a common cause other than a request, such as a loss of power, and count once. In milliseconds. */
export const COMMON_CAUSE_MILLISECONDS = 100;

/** A crash while a request was about to be answered. */
export interface PartCrash {
  /** Identifies one incarnation of an instance. */
  readonly life: string;
  /** Identifies the request, whatever attempts it took. */
  readonly request: string;
}

/** A crash and the monotonic milliseconds at which it was seen. */
export interface SeenCrash extends PartCrash {
  readonly at: number;
}

/** A part with the crashes that may be due to it. */
export interface Suspect {
  readonly id: string;
  readonly position: number;
  /** Monotonic milliseconds at which an answer last began on the part; -Infinity if none is known. */
  begunAt: number;
  readonly crashes: Map<string, SeenCrash>;
}

/** How much is held against a group. */
export enum BlameState {
  /** Crashes at too few moments to rule out another cause. */
  Suspected = 'suspected',
  /** Enough crashes to be sure that one of the parts is the cause. */
  Blocked = 'blocked',
}

/** Parts of which one explains the same crashes. */
export interface BlamedGroup {
  readonly ids: readonly string[];
  readonly state: BlameState;
  readonly crashes: readonly SeenCrash[];
}

/** What follows for a prompt with parts of a group. */
export enum Verdict {
  /** Must not be sent. */
  Blocked = 'blocked',
  /** May be sent while no other such prompt is tried in the fleet. */
  Trial = 'trial',
}

/** Returns what follows for a prompt that has the parts, at least one of them of the group. */
export function verdictOf(
  group: BlamedGroup,
  present: ReadonlySet<string>,
): Verdict {
  const hasAll = group.ids.every(id => present.has(id));
  return group.state === BlameState.Blocked && hasAll
    ? Verdict.Blocked
    : Verdict.Trial;
}

/** Explains the crashes by as few groups as possible. */
export function findGroups(suspects: readonly Suspect[]): BlamedGroup[] {
  const ordered = suspects
    .filter(({crashes}) => crashes.size >= MAX_CRASHES)
    .map(suspect => {
      const crashes = validCrashes(suspect);
      return {suspect, crashes, count: countCrashes(crashes)};
    })
    .filter(({suspect, crashes}) => stateOf(suspect, crashes) !== undefined)
    .sort(
      (left, right) =>
        compare(left.suspect.begunAt, right.suspect.begunAt) ||
        right.count - left.count ||
        // A part at further crashes explains more.
        right.crashes.length - left.crashes.length ||
        compare(left.suspect.id, right.suspect.id),
    );
  const explained = new Set<string>();
  const groups = new Map<string, BlamedGroup & {readonly ids: string[]}>();
  for (const {suspect, crashes} of ordered) {
    const unexplained = crashes.filter(({life}) => !explained.has(life));
    const key = `${suspect.begunAt} ${keyOf(crashes)}`;
    const state = stateOf(suspect, unexplained);
    const group = groups.get(key);
    if (group !== undefined) {
      group.ids.push(suspect.id);
    } else if (state !== undefined) {
      groups.set(key, {ids: [suspect.id], state, crashes});
      crashes.forEach(({life}) => explained.add(life));
    }
  }
  return [...groups.values()];
}

/** Crashes since an answer last began on the part. */
export function validCrashes({begunAt, crashes}: Suspect): SeenCrash[] {
  return [...crashes.values()].filter(({at}) => at > begunAt);
}

/** Sorts crashes so that those of different moments come first, the latest of them first; returns at most `count`. */
export function crashesByMoment(
  crashes: readonly SeenCrash[],
  count = Infinity,
): SeenCrash[] {
  const moments = momentsOf(crashes);
  const ordered: SeenCrash[] = [];
  for (let rank = 0; ordered.length < crashes.length; rank++) {
    ordered.push(...moments.flatMap(moment => moment.slice(rank, rank + 1)));
  }
  return ordered.slice(0, count);
}

function stateOf(
  {begunAt}: Suspect,
  crashes: readonly SeenCrash[],
): BlameState | undefined {
  if (countCrashes(crashes) >= MAX_CRASHES) {
    return BlameState.Blocked;
  }
  // A loss of power ends engines with any prompts; only parts that never worked are suspected after one moment.
  const isSuspected =
    begunAt === -Infinity && countDistinct(crashes) >= MAX_CRASHES;
  return isSuspected ? BlameState.Suspected : undefined;
}

/** Number of crashes that differ in engine, request and moment. */
function countCrashes(crashes: readonly SeenCrash[]): number {
  return Math.min(countDistinct(crashes), momentsOf(crashes).length);
}

/** Number of crashes that differ in engine and request. */
function countDistinct(crashes: readonly SeenCrash[]): number {
  const lives = new Set(crashes.map(({life}) => life));
  const requests = new Set(crashes.map(({request}) => request));
  return Math.min(lives.size, requests.size);
}

/** Crashes by moments, the latest first. */
function momentsOf(crashes: readonly SeenCrash[]): SeenCrash[][] {
  const moments: SeenCrash[][] = [];
  let momentAt = Infinity;
  const latestFirst = [...crashes].sort(
    (left, right) => right.at - left.at || compare(left.life, right.life),
  );
  for (const crash of latestFirst) {
    if (momentAt - crash.at >= COMMON_CAUSE_MILLISECONDS) {
      moments.push([]);
      momentAt = crash.at;
    }
    moments[moments.length - 1].push(crash);
  }
  return moments;
}

/** Identifies the set of engines that crashed. */
function keyOf(crashes: readonly SeenCrash[]): string {
  return [...new Set(crashes.map(({life}) => life))].sort().join();
}

function compare<T extends number | string>(left: T, right: T): number {
  return left < right ? -1 : Number(left > right);
}
