/**
 * Part of the waiting generations of all gateways that waits at this one, as a
 * mean over the last seconds. Peers' numbers are up to 0.7 s old: while queues
 * grow, the parts that the gateways compute from single numbers add up to more
 * than everything, and while they shrink, to less.
 */

/** Time constant of the means, in milliseconds; about three times the age of a peer's numbers. */
const MEAN_MILLISECONDS = 2_000;
/** Shortest time between two samples, in milliseconds, so that a step with many attempts costs one. */
const SAMPLE_MILLISECONDS = 10;
/** Generations that count as waiting at each gateway, so that one at which nothing waited yet has a part. */
const BASE_GENERATIONS = 0.3;

/** Moving means of the generations that wait here and at peers. */
export class DemandShare {
  private own = 0;
  private peers = 0;
  private sampledAt = -Infinity;

  /** Whether a sample is due. */
  isDue(now: number): boolean {
    return now - this.sampledAt >= SAMPLE_MILLISECONDS;
  }

  /** Records how many generations wait here and at peers. */
  sample(own: number, peers: number, now: number): void {
    const weight = 1 - Math.exp((this.sampledAt - now) / MEAN_MILLISECONDS);
    this.own += (own - this.own) * weight;
    this.peers += (peers - this.peers) * weight;
    this.sampledAt = now;
  }

  /** Part of this gateway among those that have generations for the endpoint, from 0 to 1. */
  get(gatewayCount: number): number {
    return (
      (this.own + BASE_GENERATIONS) /
      (this.own + this.peers + BASE_GENERATIONS * gatewayCount)
    );
  }
}
