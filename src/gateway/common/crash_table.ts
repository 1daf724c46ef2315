/** Finds requests that crash the instances that run them, by what all gateways saw. */

/** Crashes after which a request is refused. */
export const MAX_CRASHES = 3;
/** Time for which a crash is held against a request, in milliseconds. */
const CRASH_LIFETIME_MILLISECONDS = 120_000;
const MAX_FINGERPRINTS = 4_096;
/** Time after a whole run in which a crash is not held against the request, in milliseconds: peers still tell of older ones. */
const IGNORED_AFTER_SUCCESS_MILLISECONDS = 10_000;
/** Crashes that a digest to a peer carries at most. */
const MAX_CRASHES_PER_DIGEST = 16;

/** A request that was running when an instance crashed. */
export interface Crash {
  /** Hash of route, customer, path and body. */
  readonly fingerprint: string;
  /** Identifies one life of an instance. */
  readonly life: string;
}

interface SeenCrash {
  readonly crash: Crash;
  readonly at: number;
}

/** Collects crashes by fingerprint. */
export class CrashTable {
  private readonly crashes = new Map<string, Map<string, SeenCrash>>();
  private readonly clearedAt = new Map<string, number>();

  /** Adds a crash seen here or by a peer; one instance's crash counts once. */
  add(crash: Crash, now: number): void {
    const clearedAt = this.clearedAt.get(crash.fingerprint) ?? -Infinity;
    if (now - clearedAt < IGNORED_AFTER_SUCCESS_MILLISECONDS) {
      return;
    }
    const seen =
      this.crashes.get(crash.fingerprint) ?? new Map<string, SeenCrash>();
    if (seen.has(crash.life)) {
      return;
    }
    seen.set(crash.life, {crash, at: now});
    this.crashes.delete(crash.fingerprint);
    this.crashes.set(crash.fingerprint, seen);
    if (this.crashes.size > MAX_FINGERPRINTS) {
      this.crashes.delete(this.crashes.keys().next().value!);
    }
  }

  /** Whether the request has crashed as many instances as are allowed. */
  isBlocked(fingerprint: string, now: number): boolean {
    return this.count(fingerprint, now) >= MAX_CRASHES;
  }

  /** Number of instances that crashed while they ran the request. */
  count(fingerprint: string, now: number): number {
    const seen = this.crashes.get(fingerprint);
    if (seen === undefined) {
      return 0;
    }
    for (const [life, each] of seen) {
      if (now - each.at > CRASH_LIFETIME_MILLISECONDS) {
        seen.delete(life);
      }
    }
    return seen.size;
  }

  /** Forgets the crashes of a request that ran to its end. */
  clear(fingerprint: string, now: number): void {
    if (!this.crashes.delete(fingerprint)) {
      return;
    }
    this.clearedAt.set(fingerprint, now);
    if (this.clearedAt.size > MAX_FINGERPRINTS) {
      this.clearedAt.delete(this.clearedAt.keys().next().value!);
    }
  }

  /** The latest crashes, for peers. */
  recent(): Crash[] {
    return [...this.crashes.values()]
      .slice(-MAX_CRASHES_PER_DIGEST)
      .flatMap(seen => [...seen.values()].map(each => each.crash))
      .slice(-MAX_CRASHES_PER_DIGEST);
  }
}
