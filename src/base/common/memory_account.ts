/**
 * Account of the memory that others make a process hold, such as callers by
 * their connections and request bodies. Meant for more of them than the process
 * has memory for: the sum is bounded, and whoever takes most gives way first.
 */

/** Whoever makes the process hold memory. */
export abstract class MemoryHolder {
  /** Holders that compete as one, such as those of one customer. */
  abstract readonly group: string;
  /** Holders of a lower rank give way first; undefined while the holder cannot give way. */
  abstract readonly evictionRank: number | undefined;
  /** Called after the holder was removed from the account; releases what it holds. */
  abstract evict(): void;
}

/** Bounds of an account. */
export interface MemoryBounds {
  readonly maxBytes: number;
  readonly maxHolders: number;
  /** Bytes that only holders of at most `smallBytes` may take, so that they find room beside large ones. */
  readonly smallReserveBytes: number;
  readonly smallBytes: number;
}

/** What a holder has been charged. */
interface Charge {
  bytes: number;
  /** Orders the charges by the last sign of progress. */
  progress: number;
}

/** Charges of all holders. */
export class MemoryAccount {
  private readonly charges = new Map<MemoryHolder, Charge>();
  private readonly groups = new Map<string, number>();
  private sum = 0;
  private progressCount = 0;

  /** @param bounds If they are lowered later, holders are evicted when others need room. */
  constructor(public bounds: MemoryBounds) {}

  get totalBytes(): number {
    return this.sum;
  }

  get holderCount(): number {
    return this.charges.size;
  }

  /**
   * Sets the bytes of a holder and records that it made progress. If they
   * exceed a bound, other holders are evicted. Returns false, and leaves the
   * charge as it was, if there is no room even so, or if no other holder would
   * give way before this one.
   */
  charge(holder: MemoryHolder, bytes: number): boolean {
    const charge = this.charges.get(holder);
    const growth = bytes - (charge?.bytes ?? 0);
    while (growth > 0 && !this.hasRoom(holder, growth)) {
      const victim = this.findVictim(holder, growth);
      if (victim === undefined || victim === holder) {
        return false;
      }
      this.release(victim);
      victim.evict();
    }
    this.sum += growth;
    this.groups.set(holder.group, this.groupBytes(holder.group) + growth);
    const progress = ++this.progressCount;
    if (charge === undefined) {
      this.charges.set(holder, {bytes, progress});
    } else {
      charge.bytes = bytes;
      charge.progress = progress;
    }
    return true;
  }

  /** Forgets a holder that holds nothing any more. */
  release(holder: MemoryHolder): void {
    const charge = this.charges.get(holder);
    if (charge === undefined) {
      return;
    }
    this.charges.delete(holder);
    this.sum -= charge.bytes;
    const rest = this.groupBytes(holder.group) - charge.bytes;
    if (rest > 0) {
      this.groups.set(holder.group, rest);
    } else {
      this.groups.delete(holder.group);
    }
  }

  private groupBytes(group: string): number {
    return this.groups.get(group) ?? 0;
  }

  private hasRoom(holder: MemoryHolder, growth: number): boolean {
    const isNew = !this.charges.has(holder);
    const hasPlace =
      !isNew || this.charges.size < Math.max(1, this.bounds.maxHolders);
    return (
      hasPlace &&
      this.sum + growth <= this.limitFor(holder, growth) &&
      !this.exceedsGroupShare(holder, growth)
    );
  }

  private limitFor(holder: MemoryHolder, growth: number): number {
    const {maxBytes, smallBytes, smallReserveBytes} = this.bounds;
    const bytes = (this.charges.get(holder)?.bytes ?? 0) + growth;
    return bytes <= smallBytes ? maxBytes : maxBytes - smallReserveBytes;
  }

  /** Whether a group would take more with its large holders than it leaves free, so that others would find no room. */
  private exceedsGroupShare(holder: MemoryHolder, growth: number): boolean {
    const free = this.bounds.maxBytes - this.sum - growth;
    return (
      this.limitFor(holder, growth) < this.bounds.maxBytes &&
      this.groupBytes(holder.group) + growth > free
    );
  }

  /** Whoever gives way: the lowest rank, of that the group with the most bytes, of that the one without progress for longest. */
  private findVictim(
    holder: MemoryHolder,
    growth: number,
  ): MemoryHolder | undefined {
    const isOwnGroup = this.exceedsGroupShare(holder, growth);
    const ownBytes = this.groupBytes(holder.group) + growth;
    let victim: MemoryHolder | undefined;
    let least: readonly number[] = [];
    for (const [each, charge] of this.charges) {
      const rank = each.evictionRank;
      if (rank === undefined || (isOwnGroup && each.group !== holder.group)) {
        continue;
      }
      const isOwn = each.group === holder.group;
      const bytes = isOwn ? ownBytes : this.groupBytes(each.group);
      const progress = each === holder ? Infinity : charge.progress;
      const order = [rank, -bytes, progress];
      if (victim === undefined || isBefore(order, least)) {
        victim = each;
        least = order;
      }
    }
    return victim;
  }
}

function isBefore(left: readonly number[], right: readonly number[]): boolean {
  const index = left.findIndex((value, at) => value !== right[at]);
  return index >= 0 && left[index] < right[index];
}
