/** Limits retries to a share of successes, so that they cannot amplify an overload. */

/** Retries added to the budget by one success. */
const RETRIES_PER_SUCCESS = 0.1;
/** Maximum balance of a source, which is also its initial balance. */
const MAX_SAVED_RETRIES = 10;
const MAX_SOURCES = 4_096;

/** Retry budgets by source, which is a customer or an endpoint instance. */
export class RetryBudget {
  private readonly balances = new Map<string, number>();

  /** Adds the share of a retry earned by one success. */
  recordSuccess(source: string): void {
    this.set(
      source,
      Math.min(MAX_SAVED_RETRIES, this.get(source) + RETRIES_PER_SUCCESS),
    );
  }

  /** Takes one retry from every source, or from none if any has too little; returns whether the retry is allowed. */
  tryAcquire(sources: readonly string[]): boolean {
    if (sources.some(source => this.get(source) < 1)) {
      return false;
    }
    sources.forEach(source => this.set(source, this.get(source) - 1));
    return true;
  }

  private get(source: string): number {
    return this.balances.get(source) ?? MAX_SAVED_RETRIES;
  }

  private set(source: string, value: number): void {
    this.balances.delete(source);
    this.balances.set(source, value);
    if (this.balances.size > MAX_SOURCES) {
      this.balances.delete(this.balances.keys().next().value!);
    }
  }
}
