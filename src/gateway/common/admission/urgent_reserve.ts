/**
 * Keeps the last room in the memory of the engines for more urgent generations.
 * Meant for short urgent generations beside long ones: long ones that started
 * together fill the memory for seconds, in which none of them ends.
 */

/** Time for which a kind of generation is expected again, in milliseconds. */
const LIFETIME_MILLISECONDS = 10_000;
/** Weight of one generation in the mean size. */
const SAMPLE_WEIGHT = 0.2;

interface Kind {
  /** Mean memory that one needs at its end, in tokens. */
  size: number;
  at: number;
}

/** A generation that may have to leave room. */
export interface ReserveRequest {
  readonly urgency: number;
  /** Memory that it needs at its end, in tokens. */
  readonly memoryTokens: number;
  readonly engineId: string;
  /** More urgent generations that wait at peers. */
  readonly peersWaiting: number;
}

/** Sizes of the generations that arrived at this gateway for one endpoint, by urgency. */
export class UrgentReserve {
  private readonly kinds: (Kind | undefined)[] = [];

  record(urgency: number, memoryTokens: number, now: number): void {
    const kind = this.kinds[urgency];
    if (kind === undefined || now - kind.at > LIFETIME_MILLISECONDS) {
      this.kinds[urgency] = {size: memoryTokens, at: now};
      return;
    }
    kind.size += (memoryTokens - kind.size) * SAMPLE_WEIGHT;
    kind.at = now;
  }

  /** Whether the more urgent generations that wait at peers, and one more, still have room when the generation has started. `freeTokens` is asked only if more urgent ones are expected. */
  hasRoom(
    {urgency, memoryTokens, engineId, peersWaiting}: ReserveRequest,
    freeTokens: () => ReadonlyMap<string, number>,
    now: number,
  ): boolean {
    const size = this.largestAhead(urgency, now);
    if (size <= 0) {
      return true;
    }
    let rooms = 0;
    for (const [id, free] of freeTokens()) {
      const left = id === engineId ? free - memoryTokens : free;
      rooms += Math.max(0, Math.floor(left / size));
      if (rooms > peersWaiting) {
        return true;
      }
    }
    return false;
  }

  /** Mean size of the largest kind of generation that is more urgent; 0 if none came lately. */
  private largestAhead(urgency: number, now: number): number {
    let largest = 0;
    for (const kind of this.kinds.slice(0, urgency)) {
      if (kind !== undefined && now - kind.at <= LIFETIME_MILLISECONDS) {
        largest = Math.max(largest, kind.size);
      }
    }
    return largest;
  }
}
