/**
 * Instances that said themselves that they are about to stop. Their registration
 * may say otherwise for seconds, and a gateway that is behind may bring an older
 * one back, so this is kept by incarnation.
 */
import * as instanceTable from './instance_table';

/** An instance that is about to stop, in a message between gateways: its incarnation with its address, age in milliseconds. */
export type RelayedLeaving = readonly [string, number];

/** Maximum number of incarnations; the first recorded are dropped first. */
const MAX_INSTANCES = 4_096;
/** Maximum number in a digest, and their maximum age in milliseconds; instances stop within two seconds. */
const MAX_RELAYED = 16;
const RELAY_MILLISECONDS = 5_000;
/** Time after which an instance without a start time counts as started again, in milliseconds; instances stop within seconds. */
const UNDATED_MILLISECONDS = 600_000;

/** Identifies one incarnation of an instance at its address. */
export function keyOf(record: instanceTable.InstanceRecord): string {
  return `${instanceTable.lifeOf(record)}@${record.address}`;
}

/** Id of the instance that a key identifies. */
export function idOf(key: string): string {
  return key.slice(0, key.lastIndexOf('/'));
}

/** Times at which instances said that they are about to stop. */
export class LeavingInstances {
  /** Monotonic milliseconds by key. */
  private readonly times = new Map<string, number>();
  private ownChanges = 0;

  get size(): number {
    return this.times.size;
  }

  /** Number of instances that said so to this gateway first. */
  get ownChangeCount(): number {
    return this.ownChanges;
  }

  /** Monotonic milliseconds at which the incarnation said that it is about to stop; undefined if it did not. */
  get(record: instanceTable.InstanceRecord, now: number): number | undefined {
    const at = this.times.get(keyOf(record));
    const isOver =
      at !== undefined &&
      record.startedAt === 0 &&
      now - at > UNDATED_MILLISECONDS;
    return isOver ? undefined : at;
  }

  /** Records that the instance said so to this gateway. */
  recordOwn(record: instanceTable.InstanceRecord, now: number): void {
    this.ownChanges += this.add(keyOf(record), now) ? 1 : 0;
  }

  /** Adds what peers were told; returns the keys that are new. */
  merge(relayed: readonly RelayedLeaving[], now: number): string[] {
    return relayed
      .filter(([key, age]) => this.add(key, now - age))
      .map(([key]) => key);
  }

  /** Returns the latest, to be sent to peers. */
  toRelay(now: number): RelayedLeaving[] {
    return [...this.times]
      .filter(([, at]) => now - at <= RELAY_MILLISECONDS)
      .slice(-MAX_RELAYED)
      .map(([key, at]) => [key, Math.ceil(now - at)]);
  }

  private add(key: string, at: number): boolean {
    if (this.times.has(key)) {
      return false;
    }
    this.times.set(key, at);
    if (this.times.size > MAX_INSTANCES) {
      this.times.delete(this.times.keys().next().value!);
    }
    return true;
  }
}
