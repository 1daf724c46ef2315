/**
 * Time average of the open requests to endpoints. Meant for gateways that each
 * send a few requests a second: the number that is open at one moment says
 * little of the load, but its average times the number of gateways estimates
 * the open requests of the fleet without messages between gateways.
 */

/** Time over which the average forgets, in milliseconds; a few answers a second fall within it. */
const FORGET_MILLISECONDS = 4_000;

interface EndpointOpen {
  open: number;
  average: number;
  /** Monotonic milliseconds as of which the average holds. */
  at: number;
}

/** Open requests of one gateway by endpoint. */
export class OpenAverage {
  private readonly endpoints = new Map<string, EndpointOpen>();

  /** Records that a request to the endpoint was sent (1) or has ended (-1). */
  change(endpoint: string, difference: 1 | -1, now: number): void {
    const entry = this.endpoints.get(endpoint) ?? {
      open: 0,
      average: 0,
      at: now,
    };
    this.endpoints.set(endpoint, entry);
    advance(entry, now);
    entry.open += difference;
  }

  /** Estimate of the open requests of all gateways to the endpoint, at least those of this one. */
  estimate(endpoint: string, gateways: number, now: number): number {
    const entry = this.endpoints.get(endpoint);
    if (entry === undefined) {
      return 0;
    }
    advance(entry, now);
    return Math.max(entry.open, entry.average * Math.max(1, gateways));
  }
}

function advance(entry: EndpointOpen, now: number): void {
  const weight = 1 - Math.exp((entry.at - now) / FORGET_MILLISECONDS);
  entry.average += (entry.open - entry.average) * weight;
  entry.at = now;
}
