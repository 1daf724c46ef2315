/** Limits retries to a share of successes, so that they cannot multiply an overload. */

/** Retries earned by one success. */
const RETRIES_PER_SUCCESS = 0.1;
/** Retries that may be saved up, and that a new source starts with. */
const MAX_SAVED_RETRIES = 10;
const MAX_SOURCES = 4_096;

/** Budgets of retries by source, which is a customer or an endpoint instance. */
export class RetryBudget {
  private readonly balances = new Map<string, number>();

  /** Earns a share of a retry. */
  recordSuccess(source: string): void {
    this.set(
      source,
      Math.min(MAX_SAVED_RETRIES, this.get(source) + RETRIES_PER_SUCCESS),
    );
  }

  /** Takes a retry from each source, or from none; gives whether the retry may go ahead. */
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
