/**
 * Work that engines of one endpoint were given for each customer, at this
 * gateway and at its peers. Meant for customers that compete for too few
 * engines: the one with the least work in the last seconds comes first. Unlike
 * `FairShare`, which counts the tokens of one process for ever, the sums are
 * those of a window, so that gateways can exchange them and a lost digest or a
 * restart leaves no lasting difference between them.
 */
import * as workWindow from './work_window';

/** Customers that a digest names; the others are sent as one sum. */
export const MAX_NAMED_CUSTOMERS = 8;
/** Customers with work here or at peers; the ones longest without are forgotten first. */
const MAX_CUSTOMERS = 4_096;
/** Longest name of a customer in a digest, in characters; the work of others counts as that of unnamed ones. */
export const MAX_NAME_LENGTH = 128;
/** Shortest time over which a rate is taken, in milliseconds; shorter ones would make a single generation of a new customer look like a flood. */
const MIN_RATE_MILLISECONDS = 500;
/** Time for which sums over all peers and customers are kept, in milliseconds, so that a placement costs the same whatever their number. */
const SUM_LIFETIME_MILLISECONDS = 50;
/** Rate, as a share of the largest customer's, from which a customer counts as one of the largest; below it, differences are chance. */
const LARGEST_SHARE = 0.9;

/** Work as sent to peers. */
export interface RelayedWork {
  /** Customers with the most work: name and engine milliseconds. */
  readonly work: readonly (readonly [string, number])[];
  /** Engine milliseconds of all other customers. */
  readonly otherWork: number;
}

interface Activity {
  readonly own: workWindow.WorkWindow;
  /** Monotonic milliseconds of the first sign of the customer's present activity. */
  since: number;
  /** Monotonic milliseconds of the last sign of it. */
  lastAt: number;
}

interface PeerWork {
  readonly work: ReadonlyMap<string, number>;
  readonly at: number;
}

/** What a generation takes of an engine. */
export interface GenerationCost {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  /** Memory of one engine, in tokens. */
  readonly capacityTokens: number;
  /** Slots of one engine; Infinity if not stated. */
  readonly slots: number;
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly readTokensPerMillisecond: number;
}

/**
 * Work of a generation, in milliseconds of a whole engine: the time to read its
 * prompt, and the time for which it holds memory or a slot, by the part of the
 * scarcer of both that it takes.
 */
export function workOf(cost: GenerationCost, heldMilliseconds: number): number {
  const {promptTokens, expectedTokens, capacityTokens, slots} = cost;
  const reading = promptTokens / cost.readTokensPerMillisecond;
  // The output grows from nothing to its full length.
  const memoryShare = (promptTokens + expectedTokens / 2) / capacityTokens;
  const share = Math.min(1, Math.max(memoryShare, 1 / slots));
  return reading + heldMilliseconds * share;
}

/** Work of the last seconds by customer. */
export class CustomerWork {
  private readonly activities = new Map<string, Activity>();
  private readonly peers = new Map<string, PeerWork>();
  private peerTotals: ReadonlyMap<string, number> = new Map();
  private peerTotalsAt = -Infinity;
  private largestKnown: readonly [string, number] = ['', 0];
  private largestAt = -Infinity;
  private smallestRate = Infinity;

  /** Records that the customer has asked for work. */
  recordArrival(customer: string, now: number): void {
    this.touch(customer, now);
  }

  /** Records work that this gateway has started, as estimated. */
  recordStart(customer: string, work: number, now: number): void {
    this.touch(customer, now).own.add(work, now);
  }

  /** Corrects the estimate of work that was started at the time. The window forgets both together: a reduction that stayed longer than the estimate would make a large customer look as if it got nothing. */
  recordCorrection(
    customer: string,
    difference: number,
    startedAt: number,
    now: number,
  ): void {
    this.touch(customer, now).own.correct(difference, startedAt, now);
  }

  /** Replaces the work of a peer. */
  setPeerWork(peer: string, relayed: RelayedWork, now: number): void {
    this.peers.set(peer, {work: new Map(relayed.work), at: now});
    for (const [customer, work] of relayed.work) {
      if (work > 0) {
        this.touch(customer, now);
      }
    }
  }

  /** Work of this gateway, to be sent to peers. */
  toRelay(now: number): RelayedWork {
    const all = [...this.activities]
      .map(([customer, activity]): [string, number] => [
        customer,
        Math.max(0, Math.round(activity.own.sum(now))),
      ])
      .filter(([, work]) => work > 0)
      .sort(([, left], [, right]) => right - left);
    const named = all
      .filter(([customer]) => customer.length <= MAX_NAME_LENGTH)
      .slice(0, MAX_NAMED_CUSTOMERS);
    const total = (work: readonly (readonly [string, number])[]) =>
      work.reduce((sum, [, amount]) => sum + amount, 0);
    return {work: named, otherWork: total(all) - total(named)};
  }

  /**
   * Work of the customer in a second, over the time for which it has been
   * active, at most the window: a new customer is measured by what it gets
   * from its first request on and is not ahead by what others got before.
   */
  rate(customer: string, now: number): number {
    const activity = this.activities.get(customer);
    if (activity === undefined || this.isOver(activity, now)) {
      return 0;
    }
    const period = Math.min(
      workWindow.WINDOW_MILLISECONDS,
      Math.max(MIN_RATE_MILLISECONDS, now - activity.since),
    );
    const work = activity.own.sum(now) + this.peerWork(customer, now);
    return (Math.max(0, work) * 1000) / period;
  }

  /** Whether some active customer is behind the largest one. */
  hasCustomerBehind(now: number): boolean {
    const [, most] = this.largest(now);
    return this.smallestRate < most * LARGEST_SHARE;
  }

  /** The customer with the highest rate, and that rate. */
  largest(now: number): readonly [string, number] {
    if (now - this.largestAt < SUM_LIFETIME_MILLISECONDS) {
      return this.largestKnown;
    }
    let largest: readonly [string, number] = ['', 0];
    this.smallestRate = Infinity;
    for (const [customer, activity] of this.activities) {
      if (this.isOver(activity, now)) {
        this.activities.delete(customer);
        continue;
      }
      const rate = this.rate(customer, now);
      this.smallestRate = Math.min(this.smallestRate, rate);
      if (rate > largest[1]) {
        largest = [customer, rate];
      }
    }
    this.largestKnown = largest;
    this.largestAt = now;
    return largest;
  }

  /** How far the customer is behind the largest one, from 0 (as large) to 1 (without work). */
  deficit(customer: string, now: number): number {
    const [, most] = this.largest(now);
    const share = most === 0 ? 1 : this.rate(customer, now) / most;
    return share >= LARGEST_SHARE ? 0 : 1 - share;
  }

  private peerWork(customer: string, now: number): number {
    if (now - this.peerTotalsAt >= SUM_LIFETIME_MILLISECONDS) {
      this.sumPeers(now);
    }
    return this.peerTotals.get(customer) ?? 0;
  }

  private sumPeers(now: number): void {
    const totals = new Map<string, number>();
    for (const [peer, {work, at}] of this.peers) {
      // As the window of a silent peer moves on, its work leaves it at an even rate.
      const left = 1 - (now - at) / workWindow.WINDOW_MILLISECONDS;
      if (left <= 0) {
        this.peers.delete(peer);
        continue;
      }
      for (const [customer, amount] of work) {
        totals.set(customer, (totals.get(customer) ?? 0) + amount * left);
      }
    }
    this.peerTotals = totals;
    this.peerTotalsAt = now;
  }

  private touch(customer: string, now: number): Activity {
    const known = this.activities.get(customer);
    const activity =
      known === undefined || this.isOver(known, now)
        ? {own: new workWindow.WorkWindow(), since: now, lastAt: now}
        : known;
    activity.lastAt = now;
    this.activities.delete(customer);
    this.activities.set(customer, activity);
    if (this.activities.size > MAX_CUSTOMERS) {
      this.activities.delete(this.activities.keys().next().value!);
    }
    return activity;
  }

  private isOver(activity: Activity, now: number): boolean {
    return now - activity.lastAt > workWindow.WINDOW_MILLISECONDS;
  }
}
