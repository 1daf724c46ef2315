/** Detects requests that crash the instances executing them, from the crashes seen by all gateways. */

/** Number of crashes after which a request is refused. */
export const MAX_CRASHES = 3;
/** Time for which a crash counts against a request, in milliseconds. */
const CRASH_LIFETIME_MILLISECONDS = 120_000;
const MAX_FINGERPRINTS = 4_096;
/** Time after a complete run during which crashes of the request are ignored, in milliseconds: digests of peers still carry older ones. */
const IGNORED_AFTER_SUCCESS_MILLISECONDS = 10_000;
/** Maximum number of crashes in a digest to a peer. */
const MAX_CRASHES_PER_DIGEST = 16;

/** A request that was running when an instance crashed. */
export interface Crash {
  /** Hash of route, customer, path and body. */
  readonly fingerprint: string;
  /** Identifies one incarnation of an instance. */
  readonly life: string;
}

/** A crash as peers are told of it. */
export interface RelayedCrash extends Crash {
  /** Time since it was seen; absent from older builds. */
  readonly ageMilliseconds?: number;
}

interface SeenCrash {
  readonly crash: Crash;
  readonly at: number;
}

/** Counts crashes by request fingerprint. */
export class CrashTable {
  private readonly crashes = new Map<string, Map<string, SeenCrash>>();
  private readonly clearedAt = new Map<string, number>();
  /** Requests with crashes seen here of which no message to all peers has told yet. */
  private readonly untold = new Set<string>();

  /** Whether a further message to all peers is needed. */
  get hasUntold(): boolean {
    return this.untold.size > 0;
  }

  /** Adds a crash seen by this gateway, of which peers are to be told. */
  addOwn(crash: Crash, now: number): void {
    this.add(crash, now);
    if (this.crashes.has(crash.fingerprint)) {
      this.untold.add(crash.fingerprint);
    }
  }

  /** Records that all peers were sent what `recent` returns. */
  markTold(): void {
    this.nextUntold().forEach(fingerprint => this.untold.delete(fingerprint));
  }

  /** Adds a crash seen by this gateway or by a peer; the crash of one instance counts once. */
  add(crash: RelayedCrash, now: number): void {
    const at = now - (crash.ageMilliseconds ?? 0);
    if (isExpired(at, now)) {
      return;
    }
    const clearedAt = this.clearedAt.get(crash.fingerprint) ?? -Infinity;
    if (now - clearedAt < IGNORED_AFTER_SUCCESS_MILLISECONDS) {
      return;
    }
    const seen =
      this.crashes.get(crash.fingerprint) ?? new Map<string, SeenCrash>();
    if (seen.has(crash.life)) {
      return;
    }
    const {fingerprint, life} = crash;
    seen.set(life, {crash: {fingerprint, life}, at});
    this.crashes.delete(crash.fingerprint);
    this.crashes.set(crash.fingerprint, seen);
    if (this.crashes.size > MAX_FINGERPRINTS) {
      this.crashes.delete(this.crashes.keys().next().value!);
    }
  }

  /** Whether the request has reached the allowed number of crashes. */
  isBlocked(fingerprint: string, now: number): boolean {
    return this.count(fingerprint, now) >= MAX_CRASHES;
  }

  /** Number of instances that crashed while executing the request. */
  count(fingerprint: string, now: number): number {
    const seen = this.crashes.get(fingerprint);
    if (seen === undefined) {
      return 0;
    }
    for (const [life, each] of seen) {
      if (isExpired(each.at, now)) {
        seen.delete(life);
      }
    }
    return seen.size;
  }

  /** Removes the crashes of a request that completed. */
  clear(fingerprint: string, now: number): void {
    if (!this.crashes.delete(fingerprint)) {
      return;
    }
    this.clearedAt.set(fingerprint, now);
    if (this.clearedAt.size > MAX_FINGERPRINTS) {
      this.clearedAt.delete(this.clearedAt.keys().next().value!);
    }
  }

  /** Returns the crashes that were not told yet, or else the latest, to be sent to peers. */
  recent(now: number): RelayedCrash[] {
    const seen = this.hasUntold
      ? this.nextUntold().map(fingerprint => this.crashes.get(fingerprint)!)
      : [...this.crashes.values()].slice(-MAX_CRASHES_PER_DIGEST);
    return seen
      .flatMap(seen => [...seen.values()])
      .filter(({at}) => !isExpired(at, now))
      .slice(-MAX_CRASHES_PER_DIGEST)
      .map(({crash, at}) => ({
        ...crash,
        ageMilliseconds: Math.round(now - at),
      }));
  }

  private nextUntold(): string[] {
    const next: string[] = [];
    let count = 0;
    for (const fingerprint of this.untold) {
      const seen = this.crashes.get(fingerprint);
      if (seen === undefined) {
        this.untold.delete(fingerprint);
        continue;
      }
      count += seen.size;
      if (next.length > 0 && count > MAX_CRASHES_PER_DIGEST) {
        break;
      }
      next.push(fingerprint);
    }
    return next;
  }
}

function isExpired(at: number, now: number): boolean {
  return now - at > CRASH_LIFETIME_MILLISECONDS;
}
