/** Bounds the connections that carry requests of callers to instances. */

/** Bounds for the connections to all instances. */
export interface InstanceConnectionBounds {
  /** Connections that carry requests of callers. */
  readonly maxOpen: number;
  /** Connections that are kept open without a request. */
  readonly maxIdle: number;
  /** Called when a request is not sent for lack of a connection. */
  readonly onDidRefuse: (customer: string | undefined) => void;
}

export const UNBOUNDED: InstanceConnectionBounds = {
  maxOpen: Infinity,
  maxIdle: Infinity,
  onDidRefuse: () => undefined,
};

/** Counts the connections, each of which carries one request. */
export class InstanceConnections {
  private open = 0;
  private readonly openByCustomer = new Map<string, number>();

  constructor(private readonly bounds: InstanceConnectionBounds) {}

  /**
   * Takes a connection for a customer until `closed` resolves; returns false if
   * it may not have another one. A customer may take as many as it leaves free,
   * so that others find some; all requests without a customer may take them all.
   */
  tryOpen(customer: string | undefined, closed: Promise<void>): boolean {
    const free = this.bounds.maxOpen - this.open;
    const own = customer === undefined ? 0 : this.openOf(customer);
    if (free <= own) {
      this.bounds.onDidRefuse(customer);
      return false;
    }
    this.record(customer, 1);
    void closed.then(() => this.record(customer, -1));
    return true;
  }

  private openOf(customer: string): number {
    return this.openByCustomer.get(customer) ?? 0;
  }

  private record(customer: string | undefined, difference: 1 | -1): void {
    this.open += difference;
    if (customer === undefined) {
      return;
    }
    const open = this.openOf(customer) + difference;
    if (open > 0) {
      this.openByCustomer.set(customer, open);
    } else {
      this.openByCustomer.delete(customer);
    }
  }
}
