/** Measures store writes and CPU time of claims. */
import * as neverthrow from 'neverthrow';
import * as claimService from '../../src/entry/node/claim_service';
import * as objectStore from '../../src/storage/common/object_store';
import * as fits from './fit';

const STORE_MILLISECONDS = 5;
const KEY_TIME = Date.now();

/** An object store in memory that answers after a delay and counts calls. */
class DelayedStore extends objectStore.ObjectStore {
  private readonly objects = new Map<string, objectStore.VersionedValue>();
  writes = 0;
  reads = 0;
  writtenBytes = 0;

  async read(key: string) {
    this.reads++;
    await pause();
    const seen = this.objects.get(key);
    return seen === undefined
      ? neverthrow.err(objectStore.StoreError.NotFound)
      : neverthrow.ok(seen);
  }

  async readIfChanged(key: string, version: number) {
    const read = await this.read(key);
    return read.map(seen => (seen.version === version ? {} : {changed: seen}));
  }

  async write(key: string, value: string, expectedVersion: number) {
    this.writes++;
    this.writtenBytes += value.length;
    await pause();
    const current = this.objects.get(key)?.version ?? 0;
    if (current !== expectedVersion) {
      return neverthrow.err(objectStore.StoreError.VersionMismatch);
    }
    this.objects.set(key, {value, version: current + 1});
    return neverthrow.ok(current + 1);
  }

  async remove() {
    return neverthrow.ok(undefined);
  }

  async list() {
    return neverthrow.ok([]);
  }
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, STORE_MILLISECONDS));
}

interface ClaimCost {
  readonly writes: number;
  readonly microseconds: number;
}

/** Claims and completes the given number of actions, spread over one second. */
async function claimFor(actions: number): Promise<ClaimCost> {
  const store = new DelayedStore();
  const claims = new claimService.ClaimService(store, () => 1);
  const before = process.cpuUsage();
  const pending = Array.from({length: actions}, async (_, index) => {
    await new Promise(resolve => setTimeout(resolve, (index * 1000) / actions));
    const key = `customer-${index % 50}/key-${index}`;
    await claims.claim(KEY_TIME, key, `attempt-${index}`, 'digest');
    const answer = {
      status: 201,
      contentType: 'application/json',
      bodyBase64: 'e30=',
    };
    await claims.complete(KEY_TIME, key, `attempt-${index}`, answer);
  });
  await Promise.all(pending);
  claims.dispose();
  const used = process.cpuUsage(before);
  return {writes: store.writes, microseconds: used.user + used.system};
}

/** Measures the slopes of claims at one entry. */
export async function measure(): Promise<fits.Slope[]> {
  const sizes = [50, 100, 200, 400];
  const costs: ClaimCost[] = [];
  await claimFor(50);
  for (const size of sizes) {
    costs.push(await claimFor(size));
  }
  return [
    fits.fit(
      'store writes by action claimed and completed, one entry, within a second',
      'writes',
      sizes,
      costs.map(cost => cost.writes),
    ),
    fits.fit(
      'entry time by action claimed and completed',
      'microseconds',
      sizes,
      costs.map(cost => cost.microseconds),
    ),
  ];
}
