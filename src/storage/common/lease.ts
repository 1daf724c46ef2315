/** Leases in the object API, with fencing numbers that rise with each holder. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as objectStore from './object_store';

/** Part of the lease that the holder does not use, so that it stops before others may start. */
const SAFETY_MARGIN_RATIO = 0.3;

const leaseRecordSchema = zod.z.object({
  holder: zod.z.string(),
  fencingNumber: zod.z.number(),
  /** Length of the lease, in milliseconds. */
  termMilliseconds: zod.z.number(),
});
type LeaseRecord = zod.z.infer<typeof leaseRecordSchema>;

/**
 * Key of the lease on orders to engines. One lease for the deployment costs
 * the object API the same whatever the number of engines.
 */
export const ORDERS_LEASE_KEY = 'leases/orders';

/** Reads the fencing number in force; 0 when the lease was never taken. Errors: Unreachable, Unknown. */
export async function readFencingNumber(
  store: objectStore.ObjectStore,
  key: string,
): Promise<neverthrow.Result<number, objectStore.StoreError>> {
  const read = await store.read(key);
  if (read.isErr()) {
    return read.error === objectStore.StoreError.NotFound
      ? neverthrow.ok(0)
      : neverthrow.err(read.error);
  }
  return neverthrow.ok(
    leaseRecordSchema.parse(JSON.parse(read.value.value)).fencingNumber,
  );
}

/** Another holder's record as first seen here. */
interface ObservedRecord {
  readonly version: number;
  /** Monotonic milliseconds. */
  readonly firstSeenAt: number;
}

/** Holds, or waits for, one lease. */
export class Lease {
  private currentFencingNumber = 0;
  private version = 0;
  /** Monotonic milliseconds until which the lease may be used; 0 when not held. */
  private validUntil = 0;
  private observedRecord: ObservedRecord | undefined;

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly key: string,
    private readonly holder: string,
    private readonly termMilliseconds: number,
  ) {}

  /** Whether an order may be given now. To be asked right before each order. */
  get isHeld(): boolean {
    return performance.now() < this.validUntil;
  }

  /** Number that each order under this lease carries. */
  get fencingNumber(): number {
    return this.currentFencingNumber;
  }

  /**
   * Takes or renews the lease. Another holder's lease is taken only after its
   * record stayed unchanged for its whole term on this instance's own clock.
   * Gives whether the lease is held now.
   */
  async acquire(): Promise<boolean> {
    const startedAt = performance.now();
    const read = await this.store.read(this.key);
    if (read.isErr()) {
      return read.error === objectStore.StoreError.NotFound
        ? this.write(startedAt, 0, 1)
        : this.isHeld;
    }
    const record = leaseRecordSchema.parse(JSON.parse(read.value.value));
    if (record.holder === this.holder && read.value.version === this.version) {
      return this.write(startedAt, read.value.version, record.fencingNumber);
    }
    if (
      record.holder !== this.holder &&
      !this.hasExpired(record, read.value.version)
    ) {
      this.validUntil = 0;
      return false;
    }
    return this.write(startedAt, read.value.version, record.fencingNumber + 1);
  }

  private hasExpired(record: LeaseRecord, version: number): boolean {
    const now = performance.now();
    if (this.observedRecord?.version !== version) {
      this.observedRecord = {version, firstSeenAt: now};
      return false;
    }
    return now - this.observedRecord.firstSeenAt > record.termMilliseconds;
  }

  private async write(
    startedAt: number,
    expectedVersion: number,
    fencingNumber: number,
  ): Promise<boolean> {
    const record: LeaseRecord = {
      holder: this.holder,
      fencingNumber,
      termMilliseconds: this.termMilliseconds,
    };
    const written = await this.store.write(
      this.key,
      JSON.stringify(record),
      expectedVersion,
    );
    if (written.isErr()) {
      // A write whose reply was lost is settled by the next call, under a new number.
      return this.isHeld;
    }
    this.version = written.value;
    this.currentFencingNumber = fencingNumber;
    // The term counts from before the write, since others see it from some time after.
    this.validUntil =
      startedAt + this.termMilliseconds * (1 - SAFETY_MARGIN_RATIO);
    return this.isHeld;
  }
}
