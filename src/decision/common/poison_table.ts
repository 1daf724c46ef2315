/** Detects requests that crash the endpoint instances executing them. */
import * as peerCalls from '../../protocol/common/peer_calls';

/** Number of crashes ("deaths") after which a fingerprint is refused. */
export const MAX_DEATHS = 2;
/** Time for which a crash counts against a fingerprint, in milliseconds. */
const WITNESS_LIFETIME_MILLISECONDS = 6 * 3_600_000;
const MAX_FINGERPRINTS = 16_384;

/** How a request with a fingerprint may be executed. */
export enum Suspicion {
  None = 'none',
  /** Was running at one crash: runs only where no other suspect runs. */
  Suspect = 'suspect',
  /** Has reached the allowed number of crashes: is refused. */
  Blocked = 'condemned',
}

/**
 * Counts crashes by fingerprint. A suspect never shares an endpoint instance
 * with another suspect when it is retried, so of the requests running at the
 * first crash only the cause is running at a second one.
 */
export class PoisonTable {
  private readonly witnesses = new Map<
    string,
    Map<string, peerCalls.CrashRecord>
  >();

  get size(): number {
    return this.witnesses.size;
  }

  suspicion(fingerprint: string, now: number): Suspicion {
    const deaths = this.countDeaths(fingerprint, now);
    if (deaths >= MAX_DEATHS) {
      return Suspicion.Blocked;
    }
    return deaths > 0 ? Suspicion.Suspect : Suspicion.None;
  }

  /** Adds crashes seen by this process or by a peer; returns those that were not known. */
  merge(witnesses: readonly peerCalls.CrashRecord[]): peerCalls.CrashRecord[] {
    return witnesses.filter(witness => this.add(witness));
  }

  /** Removes a fingerprint whose request completed, unless it is blocked. */
  clear(fingerprint: string, now: number): void {
    if (this.suspicion(fingerprint, now) === Suspicion.Suspect) {
      this.witnesses.delete(fingerprint);
    }
  }

  /** Returns the latest witnesses, to be sent to a peer. */
  recent(limit: number): peerCalls.CrashRecord[] {
    const all = [...this.witnesses.values()].flatMap(deaths => [
      ...deaths.values(),
    ]);
    return all.sort((left, right) => right.at - left.at).slice(0, limit);
  }

  private countDeaths(fingerprint: string, now: number): number {
    const deaths = this.witnesses.get(fingerprint);
    if (deaths === undefined) {
      return 0;
    }
    for (const [death, witness] of deaths) {
      if (now - witness.at > WITNESS_LIFETIME_MILLISECONDS) {
        deaths.delete(death);
      }
    }
    if (deaths.size === 0) {
      this.witnesses.delete(fingerprint);
    }
    return deaths.size;
  }

  private add(witness: peerCalls.CrashRecord): boolean {
    const deaths =
      this.witnesses.get(witness.fingerprint) ??
      new Map<string, peerCalls.CrashRecord>();
    if (deaths.has(witness.death)) {
      return false;
    }
    deaths.set(witness.death, witness);
    this.witnesses.delete(witness.fingerprint);
    this.witnesses.set(witness.fingerprint, deaths);
    if (this.witnesses.size > MAX_FINGERPRINTS) {
      this.witnesses.delete(this.witnesses.keys().next().value!);
    }
    return true;
  }
}
