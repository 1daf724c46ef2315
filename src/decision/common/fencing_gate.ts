/** Refuses orders of lease holders that were superseded. */

/** Remembers the highest fencing number. */
export class FencingGate {
  private highest: number | undefined;

  /** Whether the gate knows a number; before that no order may pass. */
  get isInitialized(): boolean {
    return this.highest !== undefined;
  }

  /** Learns a number from the lease itself, as after a restart. */
  observe(fencingNumber: number): void {
    this.highest = Math.max(this.highest ?? 0, fencingNumber);
  }

  /** Whether an order with the number may pass. */
  admit(fencingNumber: number): boolean {
    if (this.highest === undefined || fencingNumber < this.highest) {
      return false;
    }
    this.highest = fencingNumber;
    return true;
  }
}
