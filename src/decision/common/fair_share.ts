/** Weighted fair sharing of output between customers. */

const MAX_CUSTOMERS = 4_096;

/**
 * Virtual time of each customer: tokens served over weight. A customer that
 * comes back after a pause starts at the present virtual time, so that it
 * cannot save up service.
 */
export class FairShare {
  private readonly virtualTimes = new Map<string, number>();
  private currentVirtualTime = 0;

  /** Order of the customer under contention; lower goes first. */
  virtualTime(customer: string): number {
    return Math.max(
      this.currentVirtualTime,
      this.virtualTimes.get(customer) ?? 0,
    );
  }

  /** Charges a customer for tokens. */
  charge(customer: string, tokens: number, weight: number): void {
    const after = this.virtualTime(customer) + tokens / Math.max(0.001, weight);
    this.virtualTimes.delete(customer);
    this.virtualTimes.set(customer, after);
    if (this.virtualTimes.size > MAX_CUSTOMERS) {
      this.virtualTimes.delete(this.virtualTimes.keys().next().value!);
    }
  }

  /** Raises the present virtual time to that of the least served customer with work. */
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
