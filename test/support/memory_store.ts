/** An object store in memory with scripted faults, for tests of code that uses a store. */
import * as neverthrow from 'neverthrow';
import * as objectStore from '../../src/storage/common/object_store';

/** Fault of one call. */
export enum StoreFault {
  None = 'none',
  /** The call does not reach the store. */
  Unreachable = 'unreachable',
  /** The call is lost, and its sender cannot tell whether it took effect. */
  Dropped = 'dropped',
  /** The call takes effect, but its reply is lost. */
  ReplyLost = 'reply-lost',
  /** A read returns the state before the last write. */
  Stale = 'stale',
}

/** Holds objects in memory; each call has the next of the scripted faults. */
export class MemoryStore extends objectStore.ObjectStore {
  readonly objects = new Map<string, objectStore.VersionedValue[]>();
  readonly writes: string[] = [];
  faults: StoreFault[] = [];
  /** Fault of every call after the scripted ones. */
  defaultFault = StoreFault.None;
  /** Runs before each write takes effect. */
  onWillWrite: (key: string) => void = () => undefined;

  async read(key: string) {
    const fault = this.nextFault();
    if (fault !== StoreFault.None && fault !== StoreFault.Stale) {
      return neverthrow.err(errorOf(fault));
    }
    const versions = this.objects.get(key) ?? [];
    const index = versions.length - (fault === StoreFault.Stale ? 2 : 1);
    const seen = versions[Math.max(0, index)];
    return seen === undefined
      ? neverthrow.err(objectStore.StoreError.NotFound)
      : neverthrow.ok(seen);
  }

  async readIfChanged(key: string, version: number) {
    const read = await this.read(key);
    return read.map(seen => (seen.version === version ? {} : {changed: seen}));
  }

  async write(key: string, value: string, expectedVersion: number) {
    const fault = this.nextFault();
    if (fault === StoreFault.Unreachable || fault === StoreFault.Dropped) {
      return neverthrow.err(errorOf(fault));
    }
    this.onWillWrite(key);
    const versions = this.objects.get(key) ?? [];
    const current = versions.at(-1)?.version ?? 0;
    if (current !== expectedVersion) {
      return neverthrow.err(objectStore.StoreError.VersionMismatch);
    }
    this.objects.set(key, [...versions, {value, version: current + 1}]);
    this.writes.push(key);
    return fault === StoreFault.ReplyLost
      ? neverthrow.err(errorOf(fault))
      : neverthrow.ok(current + 1);
  }

  async remove(key: string) {
    this.objects.delete(key);
    return neverthrow.ok(undefined);
  }

  async list(prefix: string) {
    return neverthrow.ok(
      [...this.objects.keys()].filter(key => key.startsWith(prefix)),
    );
  }

  private nextFault(): StoreFault {
    return this.faults.shift() ?? this.defaultFault;
  }
}

function errorOf(fault: StoreFault): objectStore.StoreError {
  return fault === StoreFault.Unreachable
    ? objectStore.StoreError.Unreachable
    : objectStore.StoreError.Unknown;
}
