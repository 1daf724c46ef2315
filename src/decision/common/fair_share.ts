/** Weighted fair queueing of output tokens between customers. */

const MAX_CUSTOMERS = 4_096;

/**
 * Virtual time of each customer: served tokens divided by weight. A customer
 * that returns after a pause starts at the current virtual time, so that it
 * cannot accumulate unused service.
 */
export class FairShare {
  private readonly virtualTimes = new Map<string, number>();
  private currentVirtualTime = 0;

  /** Virtual time of the customer; under contention the lowest comes first. */
  virtualTime(customer: string): number {
    return Math.max(
      this.currentVirtualTime,
      this.virtualTimes.get(customer) ?? 0,
    );
  }

  /** Adds served tokens to the customer's virtual time. */
  charge(customer: string, tokens: number, weight: number): void {
    const after = this.virtualTime(customer) + tokens / Math.max(0.001, weight);
    this.virtualTimes.delete(customer);
    this.virtualTimes.set(customer, after);
    if (this.virtualTimes.size > MAX_CUSTOMERS) {
      this.virtualTimes.delete(this.virtualTimes.keys().next().value!);
    }
  }

  /** Raises the current virtual time to that of the least served active customer. */
  advance(activeCustomers: Iterable<string>): void {
    let lowest = Infinity;
    for (const customer of activeCustomers) {
      lowest = Math.min(lowest, this.virtualTime(customer));
    }
    if (lowest !== Infinity) {
      this.currentVirtualTime = Math.max(this.currentVirtualTime, lowest);
    }
  }
}
