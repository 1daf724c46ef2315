/** Checks the repeats that arrive at each service against the retry budget of all gateways, faults or not. */
import * as retryArrivals from '../standins/retry_arrivals';

/** Budget in the gateways' settings. */
export const RETRY_POLICY = {
  windowMilliseconds: 10_000,
  ratio: 0.2,
  allowance: 50,
};

/** Requests of callers and arrivals at replicas, by service. */
export class BudgetRule {
  private readonly services = new Map<string, retryArrivals.RetryArrivals>();

  recordRequest(service: string, at: number): void {
    this.arrivalsOf(service).recordRequest(at);
  }

  /** Records an arrival at any replica; not of a run that goes on from a copy and is accepted. */
  recordArrival(service: string, attempt: string, at: number): void {
    this.arrivalsOf(service).recordArrival(attempt, at);
  }

  /** What each service with too many repeats got. */
  violations(): string[] {
    return [...this.services].flatMap(([service, arrivals]) => {
      const {from, repeats, allowed} = arrivals.worstWindow();
      return repeats > allowed
        ? [
            `${service} got ${repeats} repeats in a window from ${Math.round(from)} ms, ${allowed} allowed`,
          ]
        : [];
    });
  }

  private arrivalsOf(service: string): retryArrivals.RetryArrivals {
    const arrivals =
      this.services.get(service) ??
      new retryArrivals.RetryArrivals(RETRY_POLICY);
    this.services.set(service, arrivals);
    return arrivals;
  }
}
