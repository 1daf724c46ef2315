/**
 * How many generations an engine runs at once: its registered slots, or fewer
 * where it turns generations away or lets them wait. Meant for engines that
 * queue more than they run, where callers would wait in an order that nobody
 * chose.
 */

import * as recentPeaks from './recent_peaks';

/** Weight of one generation in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Wait inside an engine that is no reason to send it fewer generations, in milliseconds; about two times the age of a peer's loads. */
const TOLERATED_WAIT_MILLISECONDS = 200;
/** Share of the slots from which a wait inside the engine is put down to them. */
const CROWDED_SHARE = 0.75;
/** Shortest time between two reductions, in milliseconds; answers to what was sent before one say nothing about it. */
const MIN_REDUCTION_INTERVAL_MILLISECONDS = 250;
/** Times to a first event that are needed for a reduction. */
const MIN_SAMPLES = 4;
/** Smallest share of the runs that a reduction leaves. */
const MIN_REDUCTION = 0.3;
/** Smallest share of the registered slots that waits inside the engine leave, unless it turned generations away lately: waits may have other reasons than slots. */
const MIN_SLOTS_SHARE = 0.25;
const FULL_MEMORY_MILLISECONDS = 60_000;
/** Time after a rejection in which nothing is sent ahead of a free slot, in milliseconds: the engine has no place for it. */
const REJECTION_MEMORY_MILLISECONDS = 5_000;
/** Time after which a reduced ceiling rises by one, in milliseconds. */
const RECOVERY_MILLISECONDS = 1_000;
/** Period over which the shortest time to a first event is kept, in milliseconds; two periods are compared. */
const BASE_PERIOD_MILLISECONDS = 20_000;
/** Time that peers' loads need to arrive, in milliseconds: as much work is sent ahead, so that no slot is empty for that time. */
const AHEAD_MILLISECONDS = 150;
/** Share of the slots that may be sent ahead at most. */
const MAX_AHEAD_SHARE = 0.5;
/** Share of the slots, on top of those, that is open to customers far behind the largest. */
const DEFICIT_SHARE = 0.25;
/** Share of the time that a generation has left which it may spend in the engine's queue. */
const QUEUE_TIME_SHARE = 0.5;
/** Engines with an account; the oldest are forgotten first. */
const MAX_ENGINES = 4_096;

/** A generation of a customer that may be behind the largest one. */
export interface BehindRequest {
  /** How far it is behind, from 0 to 1. */
  readonly deficit: number;
  /** Time to its objective. */
  readonly leftMilliseconds: number;
  readonly waitedMilliseconds: number;
}

/** A generation when it was sent. */
export interface SentRun {
  /** Other runs that were known there. */
  readonly runs: number;
  readonly slots: number;
  /** Monotonic time, in milliseconds. */
  readonly sentAt: number;
}

interface EngineAccount {
  /** Ceiling as of the last reduction; Infinity before the first. */
  ceiling: number;
  reducedAt: number;
  rejectedAt: number;
  /** Generations that were sent before are not considered: they met another ceiling. */
  samplesSince: number;
  /** Mean time from sending to the first event since the last reduction, without reading the prompts ahead; undefined before the first. */
  firstEvent: number | undefined;
  samples: number;
  /** Shortest such time in this period and in the one before. */
  base: number;
  baseBefore: number;
  baseSince: number;
  /** Mean time for which a generation is in the engine, without its wait for a slot; undefined before the first end. */
  served: number | undefined;
  /** Runs that were known there in the last seconds. */
  readonly runs: recentPeaks.RecentPeaks;
}

/** Ceilings of engines by instance id. */
export class EngineCeilings {
  private readonly accounts = new Map<string, EngineAccount>();

  /** Generations that the engine is expected to run at once; Infinity if nothing is known. */
  ceiling(instanceId: string, slots: number, now: number): number {
    const account = this.accounts.get(instanceId);
    if (account === undefined || account.ceiling === Infinity) {
      return slots;
    }
    const recovered = Math.floor(
      (now - account.reducedAt) / RECOVERY_MILLISECONDS,
    );
    const ceiling = account.ceiling + recovered;
    if (ceiling >= slots) {
      account.ceiling = Infinity;
    }
    return Math.min(slots, ceiling);
  }

  /** Mean time for which a generation has a slot of the engine, in milliseconds; undefined if unknown. */
  servedMilliseconds(instanceId: string): number | undefined {
    return this.accounts.get(instanceId)?.served;
  }

  /** Generations that are sent ahead of a free slot, so that none is empty until peers hear of it. */
  ahead(instanceId: string, slots: number, now: number): number {
    const ceiling = this.ceiling(instanceId, slots, now);
    const rejectedAt = this.accounts.get(instanceId)?.rejectedAt ?? -Infinity;
    const isRefusing = now - rejectedAt < REJECTION_MEMORY_MILLISECONDS;
    if (!Number.isFinite(ceiling) || isRefusing) {
      return 0;
    }
    const served = this.servedMilliseconds(instanceId) ?? Infinity;
    const ahead = Math.ceil((ceiling * AHEAD_MILLISECONDS) / served);
    return Math.min(Math.max(1, ahead), Math.ceil(ceiling * MAX_AHEAD_SHARE));
  }

  /**
   * Further generations that a customer behind the largest one may send ahead.
   * Rises with its wait by what the engine served meanwhile: other gateways may
   * have learned a higher ceiling and fill the places that it waits for.
   */
  headroom(
    instanceId: string,
    slots: number,
    {deficit, leftMilliseconds, waitedMilliseconds}: BehindRequest,
    now: number,
  ): number {
    const ceiling = this.ceiling(instanceId, slots, now);
    if (deficit <= 0 || !Number.isFinite(ceiling)) {
      return 0;
    }
    const served = this.servedMilliseconds(instanceId);
    const perMillisecond = served === undefined ? 0 : ceiling / served;
    const servedInTime =
      served === undefined
        ? Infinity
        : perMillisecond * leftMilliseconds * QUEUE_TIME_SHARE;
    const most = Math.min(ceiling * DEFICIT_SHARE, servedInTime);
    const missed = perMillisecond * waitedMilliseconds;
    return Math.ceil((Math.max(1, most) + missed) * deficit);
  }

  /** Records the runs that are known at the engine. */
  recordRuns(instanceId: string, runs: number, now: number): void {
    this.accountOf(instanceId, now).runs.add(runs, now);
  }

  /** Records the time from sending to the first event, without the time to read the prompts ahead. Returns how much of it was spent waiting. */
  recordFirstEvent(
    instanceId: string,
    milliseconds: number,
    {runs, slots, sentAt}: SentRun,
    now: number,
  ): number {
    const account = this.accountOf(instanceId, now);
    if (now - account.baseSince >= BASE_PERIOD_MILLISECONDS) {
      account.baseBefore = account.base;
      account.base = Infinity;
      account.baseSince = now;
    }
    account.base = Math.min(account.base, milliseconds);
    const waited = milliseconds - Math.min(account.base, account.baseBefore);
    if (sentAt < account.samplesSince) {
      return waited;
    }
    account.firstEvent = average(account.firstEvent, milliseconds);
    account.samples++;
    const ceiling = this.ceiling(instanceId, slots, now);
    // Runs of peers may have become known only after sending; without them, their waits would be put down to missing slots.
    const mostRuns = Math.max(runs, account.runs.since(sentAt));
    const isCrowded = mostRuns >= ceiling * CROWDED_SHARE;
    if (
      isCrowded &&
      account.samples >= MIN_SAMPLES &&
      waitOf(account) > TOLERATED_WAIT_MILLISECONDS
    ) {
      const wasFull = now - account.rejectedAt < FULL_MEMORY_MILLISECONDS;
      const least =
        Number.isFinite(slots) && !wasFull ? slots * MIN_SLOTS_SHARE : 1;
      const served = (mostRuns + 1) * servedShare(account);
      this.reduce(account, Math.ceil(Math.max(least, served)), ceiling, now);
    }
    return waited;
  }

  /** Records the time for which a generation was in the engine, without its wait there. */
  recordEnd(instanceId: string, milliseconds: number, now: number): void {
    const account = this.accountOf(instanceId, now);
    account.served = average(account.served, milliseconds);
  }

  /** Records that the engine turned a generation away while so many runs were known there. */
  recordRejection(
    instanceId: string,
    runs: number,
    slots: number,
    now: number,
  ): void {
    const account = this.accountOf(instanceId, now);
    const ceiling = this.ceiling(instanceId, slots, now);
    account.rejectedAt = now;
    const served = Math.floor(runs * servedShare(account));
    this.reduce(account, Math.min(runs - 1, served), ceiling, now);
  }

  private reduce(
    account: EngineAccount,
    to: number,
    ceiling: number,
    now: number,
  ): void {
    const elapsed = now - account.reducedAt;
    if (to < ceiling && elapsed >= MIN_REDUCTION_INTERVAL_MILLISECONDS) {
      account.ceiling = Math.max(1, to);
      account.reducedAt = now;
      if (account.samples >= MIN_SAMPLES) {
        account.samplesSince = now;
        account.firstEvent = undefined;
        account.samples = 0;
      }
    }
  }

  private accountOf(instanceId: string, now: number): EngineAccount {
    const known = this.accounts.get(instanceId);
    if (known !== undefined) {
      return known;
    }
    const account: EngineAccount = {
      ceiling: Infinity,
      reducedAt: -Infinity,
      rejectedAt: -Infinity,
      samplesSince: -Infinity,
      firstEvent: undefined,
      samples: 0,
      base: Infinity,
      baseBefore: Infinity,
      baseSince: now,
      served: undefined,
      runs: new recentPeaks.RecentPeaks(),
    };
    this.accounts.set(instanceId, account);
    if (this.accounts.size > MAX_ENGINES) {
      this.accounts.delete(this.accounts.keys().next().value!);
    }
    return account;
  }
}

/** Mean time beyond the shortest one to a first event, in milliseconds. */
function waitOf({firstEvent, base, baseBefore}: EngineAccount): number {
  return firstEvent === undefined
    ? 0
    : Math.max(0, firstEvent - Math.min(base, baseBefore));
}

/** Share of the runs in the engine that have a slot; by Little's law that of the time for which they have one. */
function servedShare(account: EngineAccount): number {
  const {served} = account;
  return served === undefined
    ? 1
    : Math.max(MIN_REDUCTION, served / (served + waitOf(account)));
}

function average(before: number | undefined, sample: number): number {
  return before === undefined
    ? sample
    : before + (sample - before) * SAMPLE_WEIGHT;
}
