/** Leases in the object API, with fencing numbers that increase with each holder. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as objectStore from './object_store';

/** Part of the term that the holder does not use, so that it stops before another holder can start. */
const SAFETY_MARGIN_RATIO = 0.3;

const leaseRecordSchema = zod.z.object({
  holder: zod.z.string(),
  fencingNumber: zod.z.number(),
  /** Duration of the lease, in milliseconds. */
  termMilliseconds: zod.z.number(),
});
type LeaseRecord = zod.z.infer<typeof leaseRecordSchema>;

/**
 * Key of the lease on orders to engines. One lease for the whole deployment
 * keeps the load on the object API independent of the number of engines.
 */
export const ORDERS_LEASE_KEY = 'leases/orders';

/** Reads the current fencing number; 0 when the lease was never taken. Errors: Unreachable, Unknown. */
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

/** A version of another holder's record, and when this instance first read it. */
interface ObservedRecord {
  readonly version: number;
  /** Monotonic milliseconds. */
  readonly firstSeenAt: number;
}

/** Acquires and renews one lease. */
export class Lease {
  private currentFencingNumber = 0;
  private version = 0;
  /** Monotonic time in milliseconds until which the lease may be used; 0 when it is not held. */
  private validUntil = 0;
  private observedRecord: ObservedRecord | undefined;

  constructor(
    private readonly store: objectStore.ObjectStore,
    private readonly key: string,
    private readonly holder: string,
    private readonly termMilliseconds: number,
  ) {}

  /** Whether an order may be sent now. Must be checked right before each order. */
  get isHeld(): boolean {
    return performance.now() < this.validUntil;
  }

  /** Fencing number that each order under this lease carries. */
  get fencingNumber(): number {
    return this.currentFencingNumber;
  }

  /**
   * Acquires or renews the lease. Another holder's lease is taken over only
   * after its record stayed unchanged for its whole term, measured on this
   * instance's own clock. Resolves to whether the lease is held now.
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
      // If only the reply was lost, the next call takes the lease under a new fencing number.
      return this.isHeld;
    }
    this.version = written.value;
    this.currentFencingNumber = fencingNumber;
    // The term counts from before the write, since other instances read the record only after it.
    this.validUntil =
      startedAt + this.termMilliseconds * (1 - SAFETY_MARGIN_RATIO);
    return this.isHeld;
  }
}
