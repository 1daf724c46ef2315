/**
 * Queues generations while every engine is expected to be full, as in bursts of
 * long generations. A generation starts when there is room for it, the most
 * urgent first, then those of the customers that got the least work, and is
 * refused as soon as it cannot start in time.
 */
import * as customerWork from './admission/customer_work';
import * as workWindow from './admission/work_window';

/** Maximum share of an engine's memory that all runs may need at their expected ends. Above 1 because runs peak at different times. */
export const MAX_MEMORY_SHARE = 1.1;
/** Share of the latency objective that a generation may spend waiting; the rest is for processing its prompt. */
const WAIT_SHARE = 0.6;
/** Share of the allowed wait after which more urgent arrivals no longer go ahead. */
const AGED_SHARE = 0.5;
/** Maximum queue length; more generations could not start in time. */
const MAX_WAITING = 64;

/** The customer of a generation, where customers compete. */
export interface Competitor {
  readonly endpoint: string;
  readonly customer: string;
  /** Work of all customers at the endpoint. */
  readonly work: customerWork.CustomerWork;
  readonly cost: customerWork.GenerationCost;
  /** Engine time that this generation is expected to take, in milliseconds. */
  readonly expectedWork: number;
  /** Time at which the request first arrived, before it was refused; undefined for new requests. */
  readonly firstArrivedAt: number | undefined;
  /** Whether it was found that engines lack room for it, not that none may take it. */
  lacksRoom: boolean;
}

/** A queued generation. */
export interface WaitingGeneration {
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly arrivedAt: number;
  readonly objectiveMilliseconds: number;
  /** Undefined if customers are not told apart. */
  readonly competitor?: Competitor;
}

/** Generations that left the queue in one step. */
export interface QueueStep<T> {
  readonly started: T[];
  readonly refused: T[];
}

/** Latest time at which the generation can start and still meet its objective. */
export function latestStart(waiting: WaitingGeneration): number {
  return waiting.arrivedAt + waiting.objectiveMilliseconds * WAIT_SHARE;
}

/** Whether the generation has waited so long that more urgent arrivals do not go ahead of it. */
export function isAged(waiting: WaitingGeneration, now: number): boolean {
  const allowed = latestStart(waiting) - waiting.arrivedAt;
  return (
    waiting.competitor !== undefined &&
    now - waiting.arrivedAt >= allowed * AGED_SHARE
  );
}

/** Urgency with ageing. */
function rankOf(waiting: WaitingGeneration, now: number): number {
  return isAged(waiting, now) ? 0 : waiting.urgency;
}

/** Queued generations in the order in which they start. */
export class GenerationQueue<T extends WaitingGeneration> {
  private waiting: T[] = [];
  /** Generations that gave way to others and are refused in the next step. */
  private displaced: T[] = [];

  get length(): number {
    return this.waiting.length;
  }

  /** All queued generations, in no order. */
  entries(): readonly T[] {
    return this.waiting;
  }

  /** Adds a generation; returns false when the queue is full. */
  add(entry: T): boolean {
    if (this.waiting.length >= MAX_WAITING) {
      const displaced = this.findDisplaced(entry);
      if (displaced === undefined) {
        return false;
      }
      this.remove(displaced);
      this.displaced.push(displaced);
    }
    this.waiting.push(entry);
    return true;
  }

  remove(entry: T): void {
    const index = this.waiting.indexOf(entry);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /** Generations that start before the entry, which may be queued or about to be. */
  countAhead(entry: T, now: number): number {
    const others = this.waiting.filter(
      each =>
        each !== entry &&
        each.competitor?.endpoint === entry.competitor?.endpoint,
    );
    return sorted([...others, entry], now).findIndex(
      each => each.entry === entry,
    );
  }

  /** Starts, in order, each generation that `tryStart` accepts, and refuses those that are too late. */
  step(now: number, tryStart: (entry: T) => boolean): QueueStep<T> {
    const started: T[] = [];
    const refused: T[] = this.displaced.splice(0);
    const blockedRanks = new Map<string, number>();
    for (const {entry, rank} of sorted(this.waiting, now)) {
      const endpoint = entry.competitor?.endpoint ?? '';
      const blockedRank = blockedRanks.get(endpoint) ?? Infinity;
      if (now > latestStart(entry)) {
        refused.push(entry);
      } else if (rank <= blockedRank && tryStart(entry)) {
        started.push(entry);
      } else {
        // Less urgent generations must not take the room that this one waits for.
        const blocked = blocksAll(entry, now) ? -Infinity : rank;
        blockedRanks.set(endpoint, Math.min(blockedRank, blocked));
      }
    }
    [...started, ...refused].forEach(entry => this.remove(entry));
    return {started, refused};
  }

  /** The last generation of the customer with the most waiting, if the entry's customer has fewer; it gives way in a full queue. */
  private findDisplaced(entry: T): T | undefined {
    if (entry.competitor === undefined) {
      return undefined;
    }
    const counts = new Map<string, number>();
    for (const {competitor} of this.waiting) {
      const customer = competitor?.customer ?? '';
      counts.set(customer, (counts.get(customer) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    if ((counts.get(entry.competitor.customer) ?? 0) + 1 >= most) {
      return undefined;
    }
    return sorted(this.waiting, entry.arrivedAt)
      .reverse()
      .map(({entry: each}) => each)
      .find(({competitor}) => counts.get(competitor?.customer ?? '') === most);
  }
}

/** Whether nothing that comes after the generation may start before it: otherwise smaller ones would take each part of the room that a large one waits for. */
function blocksAll(entry: WaitingGeneration, now: number): boolean {
  return entry.competitor?.lacksRoom === true && isAged(entry, now);
}

/**
 * Least urgent of the aged generations, by endpoint. Generations of customers
 * behind the largest one that are as urgent or more rank as if they had aged:
 * ageing goes ahead of more urgent arrivals, not of those customers.
 */
function agedUrgencies(
  waiting: readonly WaitingGeneration[],
  now: number,
): ReadonlyMap<string, number> {
  const urgencies = new Map<string, number>();
  for (const entry of waiting) {
    const {competitor, urgency} = entry;
    if (competitor !== undefined && isAged(entry, now)) {
      const known = urgencies.get(competitor.endpoint) ?? -Infinity;
      urgencies.set(competitor.endpoint, Math.max(known, urgency));
    }
  }
  return urgencies;
}

/** Urgency with ageing, its own and that of others. */
function rankWith(
  aged: ReadonlyMap<string, number>,
  entry: WaitingGeneration,
  now: number,
): number {
  const rank = rankOf(entry, now);
  return rank > 0 && isLifted(entry, aged, now) ? 0 : rank;
}

/** Whether the generation's customer is behind and a generation that is no more urgent has aged. */
function isLifted(
  {competitor, urgency}: WaitingGeneration,
  aged: ReadonlyMap<string, number>,
  now: number,
): boolean {
  return (
    competitor !== undefined &&
    urgency <= (aged.get(competitor.endpoint) ?? -Infinity) &&
    competitor.work.deficit(competitor.customer, now) > 0
  );
}

/** A generation and its urgency with ageing. */
interface Ranked<T> {
  readonly entry: T;
  readonly rank: number;
}

/** Sorts by rank, then by the work of the customers, then by arrival. */
function sorted<T extends WaitingGeneration>(
  waiting: readonly T[],
  now: number,
): Ranked<T>[] {
  const aged = agedUrgencies(waiting, now);
  const byArrival = waiting
    .map(entry => ({
      entry,
      rank: rankWith(aged, entry, now),
      since: entry.competitor?.firstArrivedAt ?? entry.arrivedAt,
      rate: 0,
    }))
    .sort((left, right) => left.rank - right.rank || left.since - right.since);
  // Work of generations ahead counts as if it had started, so that customers take turns.
  const ahead = new Map<string, number>();
  for (const each of byArrival) {
    const {competitor} = each.entry;
    if (competitor !== undefined) {
      const {endpoint, customer, work, expectedWork} = competitor;
      const key = `${endpoint}\n${customer}`;
      const workAhead = ahead.get(key) ?? 0;
      const seconds = workWindow.WINDOW_MILLISECONDS / 1000;
      each.rate = work.rate(customer, now) + workAhead / seconds;
      ahead.set(key, workAhead + expectedWork);
    }
  }
  return byArrival.sort(
    (left, right) =>
      left.rank - right.rank ||
      left.rate - right.rate ||
      left.since - right.since,
  );
}
