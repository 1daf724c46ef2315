/** Detects requests that crash the endpoint instances executing them. */
import * as peerCalls from '../../protocol/common/peer_calls';

/** Number of crashes after which a fingerprint is refused. */
export const MAX_CRASHES = 2;
/** Time for which a crash counts against a fingerprint, in milliseconds. */
const CRASH_LIFETIME_MILLISECONDS = 6 * 3_600_000;
const MAX_FINGERPRINTS = 16_384;

/** How a request with a fingerprint may be executed. */
export enum Suspicion {
  None = 'none',
  /** Was running at one crash; may only run where no other suspect runs. */
  Suspect = 'suspect',
  /** Was running at the allowed number of crashes; is refused. */
  Blocked = 'condemned',
}

/**
 * Counts crashes by fingerprint. A suspect never shares an endpoint instance
 * with another suspect when it is retried, so of the requests running at the
 * first crash only the cause is running at a second one.
 */
export class PoisonTable {
  private readonly crashesByFingerprint = new Map<
    string,
    Map<string, peerCalls.CrashRecord>
  >();

  get size(): number {
    return this.crashesByFingerprint.size;
  }

  suspicion(fingerprint: string, now: number): Suspicion {
    const crashes = this.countCrashes(fingerprint, now);
    if (crashes >= MAX_CRASHES) {
      return Suspicion.Blocked;
    }
    return crashes > 0 ? Suspicion.Suspect : Suspicion.None;
  }

  /** Adds crashes seen by this process or by a peer; returns those that are new. */
  merge(crashes: readonly peerCalls.CrashRecord[]): peerCalls.CrashRecord[] {
    return crashes.filter(crash => this.add(crash));
  }

  /** Removes a fingerprint whose request completed, unless it is blocked. */
  clear(fingerprint: string, now: number): void {
    if (this.suspicion(fingerprint, now) === Suspicion.Suspect) {
      this.crashesByFingerprint.delete(fingerprint);
    }
  }

  /** Returns the latest crash records, to be sent to a peer. */
  recent(limit: number): peerCalls.CrashRecord[] {
    const all = [...this.crashesByFingerprint.values()].flatMap(crashes => [
      ...crashes.values(),
    ]);
    return all.sort((left, right) => right.at - left.at).slice(0, limit);
  }

  private countCrashes(fingerprint: string, now: number): number {
    const crashes = this.crashesByFingerprint.get(fingerprint);
    if (crashes === undefined) {
      return 0;
    }
    for (const [id, crash] of crashes) {
      if (now - crash.at > CRASH_LIFETIME_MILLISECONDS) {
        crashes.delete(id);
      }
    }
    if (crashes.size === 0) {
      this.crashesByFingerprint.delete(fingerprint);
    }
    return crashes.size;
  }

  private add(crash: peerCalls.CrashRecord): boolean {
    const crashes =
      this.crashesByFingerprint.get(crash.fingerprint) ??
      new Map<string, peerCalls.CrashRecord>();
    if (crashes.has(crash.death)) {
      return false;
    }
    crashes.set(crash.death, crash);
    this.crashesByFingerprint.delete(crash.fingerprint);
    this.crashesByFingerprint.set(crash.fingerprint, crashes);
    if (this.crashesByFingerprint.size > MAX_FINGERPRINTS) {
      this.crashesByFingerprint.delete(
        this.crashesByFingerprint.keys().next().value!,
      );
    }
    return true;
  }
}
