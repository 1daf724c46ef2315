/** Rejects orders of lease holders that have been superseded. */

/** Tracks the highest fencing number seen. */
export class FencingGate {
  private highest: number | undefined;

  /** Whether a fencing number is known; until then every order is rejected. */
  get isInitialized(): boolean {
    return this.highest !== undefined;
  }

  /** Adds a number read from the lease itself, for example after a restart. */
  observe(fencingNumber: number): void {
    this.highest = Math.max(this.highest ?? 0, fencingNumber);
  }

  /** Whether an order with the number is accepted; an accepted number becomes the highest. */
  admit(fencingNumber: number): boolean {
    if (this.highest === undefined || fencingNumber < this.highest) {
      return false;
    }
    this.highest = fencingNumber;
    return true;
  }
}
