/**
 * How many generations an engine runs at once: its registered slots, or fewer
 * where it turns generations away or lets them wait. Meant for engines that
 * queue more than they run, where callers would wait in an order that nobody
 * chose.
 */

/** Weight of one generation in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Wait inside an engine that is no reason to send it fewer generations, in milliseconds; about two times the age of a peer's loads. */
const TOLERATED_WAIT_MILLISECONDS = 200;
/** Share of the slots from which a wait inside the engine is put down to them. */
const CROWDED_SHARE = 0.75;
/** Shortest time between two reductions, in milliseconds; answers to what was sent before one say nothing about it. */
const MIN_REDUCTION_INTERVAL_MILLISECONDS = 250;
/** Range of one reduction. */
const MIN_REDUCTION = 0.5;
const MAX_REDUCTION = 0.9;
/** Time after which a reduced ceiling rises by one, in milliseconds. */
const RECOVERY_MILLISECONDS = 250;
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

interface EngineAccount {
  /** Ceiling as of the last reduction; Infinity before the first. */
  ceiling: number;
  reducedAt: number;
  /** Mean time from sending to the first event, without reading the prompts ahead; undefined before the first. */
  firstEvent: number | undefined;
  /** Shortest such time in this period and in the one before. */
  base: number;
  baseBefore: number;
  baseSince: number;
  /** Mean time for which a generation is in the engine; undefined before the first end. */
  held: number | undefined;
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

  /** Mean time for which a generation is in the engine, in milliseconds; undefined if unknown. */
  heldMilliseconds(instanceId: string): number | undefined {
    return this.accounts.get(instanceId)?.held;
  }

  /** Generations that are sent ahead of a free slot, so that none is empty until peers hear of it. */
  ahead(instanceId: string, slots: number, now: number): number {
    const ceiling = this.ceiling(instanceId, slots, now);
    if (!Number.isFinite(ceiling) || ceiling < slots) {
      // A reduced ceiling holds what waits inside the engine already.
      return 0;
    }
    const held = this.heldMilliseconds(instanceId) ?? Infinity;
    const ahead = Math.ceil((ceiling * AHEAD_MILLISECONDS) / held);
    return Math.min(Math.max(1, ahead), Math.ceil(ceiling * MAX_AHEAD_SHARE));
  }

  /** Further generations that a customer behind the largest one may send ahead; `deficit` is from 0 to 1, `leftMilliseconds` the time to the objective. */
  headroom(
    instanceId: string,
    slots: number,
    deficit: number,
    leftMilliseconds: number,
    now: number,
  ): number {
    const ceiling = this.ceiling(instanceId, slots, now);
    if (deficit <= 0 || !Number.isFinite(ceiling)) {
      return 0;
    }
    const held = this.heldMilliseconds(instanceId);
    const servedInTime =
      held === undefined
        ? Infinity
        : (ceiling * leftMilliseconds * QUEUE_TIME_SHARE) / held;
    const most = Math.min(ceiling * DEFICIT_SHARE, servedInTime);
    return Math.ceil(Math.max(1, most) * deficit);
  }

  /** Records the time from sending to the first event, without the time to read the prompts ahead; `runs` were there when it was sent. */
  recordFirstEvent(
    instanceId: string,
    milliseconds: number,
    runs: number,
    slots: number,
    now: number,
  ): void {
    const account = this.accountOf(instanceId, now);
    account.firstEvent = average(account.firstEvent, milliseconds);
    if (now - account.baseSince >= BASE_PERIOD_MILLISECONDS) {
      account.baseBefore = account.base;
      account.base = Infinity;
      account.baseSince = now;
    }
    account.base = Math.min(account.base, milliseconds);
    const ceiling = this.ceiling(instanceId, slots, now);
    const isCrowded = runs >= ceiling * CROWDED_SHARE;
    if (isCrowded && excessOf(account) > 0) {
      this.reduce(account, Math.min(runs, ceiling), now);
    }
  }

  /** Records the time for which a generation was in the engine. */
  recordEnd(instanceId: string, milliseconds: number, now: number): void {
    const account = this.accountOf(instanceId, now);
    account.held = average(account.held, milliseconds);
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
    this.reduce(account, Math.min(Math.max(1, runs), ceiling), now);
  }

  /** Lowers the ceiling by what waits inside the engine beyond the tolerated time. */
  private reduce(account: EngineAccount, from: number, now: number): void {
    const interval = Math.max(
      MIN_REDUCTION_INTERVAL_MILLISECONDS,
      account.firstEvent ?? 0,
    );
    if (now - account.reducedAt < interval) {
      return;
    }
    // By Little's law the share of the generations that wait is the share of their time that they wait.
    const waiting = excessOf(account) / (account.held ?? Infinity);
    const share = Math.max(MIN_REDUCTION, Math.min(MAX_REDUCTION, 1 - waiting));
    account.ceiling = Math.max(1, Math.floor(from * share));
    account.reducedAt = now;
  }

  private accountOf(instanceId: string, now: number): EngineAccount {
    const known = this.accounts.get(instanceId);
    if (known !== undefined) {
      return known;
    }
    const account: EngineAccount = {
      ceiling: Infinity,
      reducedAt: -Infinity,
      firstEvent: undefined,
      base: Infinity,
      baseBefore: Infinity,
      baseSince: now,
      held: undefined,
    };
    this.accounts.set(instanceId, account);
    if (this.accounts.size > MAX_ENGINES) {
      this.accounts.delete(this.accounts.keys().next().value!);
    }
    return account;
  }
}

/** Mean time beyond the shortest and the tolerated one, in milliseconds. */
function excessOf({firstEvent, base, baseBefore}: EngineAccount): number {
  const shortest = Math.min(base, baseBefore);
  return firstEvent === undefined
    ? 0
    : Math.max(0, firstEvent - shortest - TOLERATED_WAIT_MILLISECONDS);
}

function average(before: number | undefined, sample: number): number {
  return before === undefined
    ? sample
    : before + (sample - before) * SAMPLE_WEIGHT;
}
