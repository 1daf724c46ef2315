/** Remembers refused requests, so that a caller that returns goes ahead of new ones of the same rank. */

/** Time for which a refusal is remembered, in milliseconds; longer than any delay that callers are asked to keep. */
const LIFETIME_MILLISECONDS = 15_000;
/** Requests that are remembered; the oldest are forgotten first. */
const MAX_REQUESTS = 2_048;
/** Callers with the same request that are remembered. */
const MAX_SAME_REQUESTS = 64;

/** Refusals of this gateway by the fingerprint of the request. */
export class RefusedCallers {
  /** Times of the first arrivals, and the time of the last refusal. */
  private readonly requests = new Map<
    string,
    {readonly arrivals: number[]; at: number}
  >();

  get size(): number {
    return this.requests.size;
  }

  /** Records a refusal of a request that first arrived at the time. */
  add(fingerprint: string, firstArrivedAt: number, now: number): void {
    const entry = this.requests.get(fingerprint) ?? {arrivals: [], at: now};
    entry.at = now;
    entry.arrivals.push(firstArrivedAt);
    if (entry.arrivals.length > MAX_SAME_REQUESTS) {
      entry.arrivals.shift();
    }
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, entry);
    if (this.requests.size > MAX_REQUESTS) {
      this.requests.delete(this.requests.keys().next().value!);
    }
  }

  /** Takes the time of the first arrival of a request that was refused; undefined for a new one. */
  take(fingerprint: string, now: number): number | undefined {
    const entry = this.requests.get(fingerprint);
    if (entry === undefined) {
      return undefined;
    }
    const isOld = now - entry.at > LIFETIME_MILLISECONDS;
    const arrivedAt = isOld ? undefined : entry.arrivals.shift();
    if (isOld || entry.arrivals.length === 0) {
      this.requests.delete(fingerprint);
    }
    return arrivedAt;
  }
}
