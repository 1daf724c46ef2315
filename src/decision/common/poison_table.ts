/** Finds requests that end the endpoint instances that run them. */
import * as peerCalls from '../../protocol/common/peer_calls';

/** Deaths after which a fingerprint is refused. */
export const MAX_DEATHS = 2;
/** Time for which a death is held against a fingerprint, in milliseconds. */
const WITNESS_LIFETIME_MILLISECONDS = 6 * 3_600_000;
const MAX_FINGERPRINTS = 16_384;

/** How a fingerprint may be run. */
export enum Suspicion {
  None = 'none',
  /** Seen at one death: it runs where no other suspect runs. */
  Suspect = 'suspect',
  /** Seen at as many deaths as are allowed: it is refused. */
  Blocked = 'condemned',
}

/**
 * Collects deaths by fingerprint. A suspect's second try never shares an
 * endpoint with another suspect, so of those running at the first death only
 * the cause is seen at a second one.
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

  /** Adds what was seen here or by a peer; gives what was not known. */
  merge(witnesses: readonly peerCalls.CrashRecord[]): peerCalls.CrashRecord[] {
    return witnesses.filter(witness => this.add(witness));
  }

  /** Forgets a fingerprint that ran to its end, unless it is condemned. */
  clear(fingerprint: string, now: number): void {
    if (this.suspicion(fingerprint, now) === Suspicion.Suspect) {
      this.witnesses.delete(fingerprint);
    }
  }

  /** The latest witnesses, for a peer. */
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
