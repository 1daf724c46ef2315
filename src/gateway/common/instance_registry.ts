/**
 * Registered instances as of the newest revision seen. Entries that vanish
 * around an outage of their source are kept until their instances had time to
 * register again.
 */
import * as instanceTable from './instance_table';
import * as stateSource from './state_source';

/**
 * Time after the source's return for which missing entries are kept, in
 * milliseconds. Live instances are registered again within about two seconds;
 * an instance that left must get no work two seconds after it was seen to.
 */
export const RECOVERY_GRACE_MILLISECONDS = 1_800;
/**
 * What the position advances by when kept entries are dropped without a new
 * revision; less than one, so that the next revision is still later.
 */
const EXPIRY_STEP = 0.5;

/** Changes that lead from one position of a registry to a later one. */
export interface RegistryChange {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly stateSource.InstanceChange[];
}

/** Records by id, and what is kept though it is missing. */
export class InstanceRegistry {
  private readonly records = new Map<string, instanceTable.InstanceRecord>();
  private readonly missing = new Set<string>();
  private readonly changed = new Map<
    string,
    instanceTable.InstanceRecord | undefined
  >();
  private lastRevision = 0;
  private lastPosition = 0;
  private isSourceUnreachable = false;
  private graceUntil = 0;

  /** Revision of the source up to which it has been read; 0 before the first. */
  get revision(): number {
    return this.lastRevision;
  }

  /**
   * Orders the contents of the registries of several gateways: about the
   * revision at which the records in use changed last; 0 before the first.
   */
  get position(): number {
    return this.lastPosition;
  }

  /** Time at which missing entries stop being kept; undefined when none is. */
  get graceEnd(): number | undefined {
    return this.missing.size > 0 ? this.graceUntil : undefined;
  }

  /** Records in use. */
  values(): instanceTable.InstanceRecord[] {
    return [...this.records.values()];
  }

  /** Notes that the source does not answer. */
  markSourceUnreachable(): void {
    this.isSourceUnreachable = true;
  }

  /** Takes a whole list unless it is older than what is known; gives whether it was taken. */
  applyList(
    snapshot: stateSource.Snapshot<readonly instanceTable.InstanceRecord[]>,
    now: number,
  ): boolean {
    this.markSourceReachable(now);
    if (snapshot.revision < this.lastRevision) {
      return false;
    }
    this.lastRevision = snapshot.revision;
    this.replaceAll(snapshot.value, now);
    return true;
  }

  /** Takes the changes since the revision seen. */
  applyChanges(
    snapshot: stateSource.Snapshot<readonly stateSource.InstanceChange[]>,
    now: number,
  ): void {
    this.markSourceReachable(now);
    if (snapshot.revision < this.lastRevision) {
      return;
    }
    this.lastRevision = snapshot.revision;
    for (const change of snapshot.value) {
      if (change.record === undefined) {
        this.handleMissing(change.id, now);
        continue;
      }
      this.upsert(change.record);
    }
  }

  /** Takes all records of a peer that is further; gives whether it was. */
  applyPeerState(
    position: number,
    records: readonly instanceTable.InstanceRecord[],
    now: number,
  ): boolean {
    if (position <= this.lastPosition) {
      return false;
    }
    // A peer that started in the same outage lacks what lapsed in it.
    this.markSourceReachable(now);
    this.replaceAll(records, now);
    this.advance(position);
    return true;
  }

  /** Takes what a peer passed on; false when something between is missing here. */
  applyRelayed(change: RegistryChange): boolean {
    if (change.to <= this.lastPosition) {
      return true;
    }
    if (change.from > this.lastPosition || this.lastPosition === 0) {
      return false;
    }
    for (const {id, record} of change.changes) {
      if (record === undefined) {
        this.delete(id);
      } else {
        this.upsert(record);
      }
    }
    this.advance(change.to);
    return true;
  }

  /** Drops the missing entries whose time is over; gives whether there were any. */
  expire(now: number): boolean {
    if (this.missing.size === 0 || now < this.graceUntil) {
      return false;
    }
    this.missing.forEach(id => this.delete(id));
    return true;
  }

  /** Ends a change of the records; undefined when it left them as they were. */
  commit(): RegistryChange | undefined {
    const from = this.lastPosition;
    const isFirst = from === 0 && this.lastRevision > 0;
    if (this.changed.size === 0 && !isFirst) {
      return undefined;
    }
    const to = Math.max(this.lastRevision, from + EXPIRY_STEP);
    const changes = [...this.changed].map(([id, record]) => ({id, record}));
    this.changed.clear();
    this.lastPosition = to;
    return {from, to, changes};
  }

  private advance(position: number): void {
    this.changed.clear();
    this.lastPosition = position;
    this.lastRevision = Math.max(this.lastRevision, Math.floor(position));
  }

  private replaceAll(
    records: readonly instanceTable.InstanceRecord[],
    now: number,
  ): void {
    const listed = new Map(records.map(record => [record.id, record] as const));
    for (const id of [...this.records.keys()]) {
      if (!listed.has(id)) {
        this.handleMissing(id, now);
      }
    }
    listed.forEach(record => this.upsert(record));
  }

  private markSourceReachable(now: number): void {
    if (this.isSourceUnreachable) {
      this.isSourceUnreachable = false;
      this.graceUntil = now + RECOVERY_GRACE_MILLISECONDS;
    }
  }

  private upsert(record: instanceTable.InstanceRecord): void {
    const known = this.records.get(record.id);
    if (JSON.stringify(known) !== JSON.stringify(record)) {
      this.changed.set(record.id, record);
    }
    this.records.set(record.id, record);
    this.missing.delete(record.id);
  }

  private handleMissing(id: string, now: number): void {
    const known = this.records.get(id);
    const isLeaving = known?.state === instanceTable.InstanceState.Draining;
    if (now < this.graceUntil && known !== undefined && !isLeaving) {
      this.missing.add(id);
      return;
    }
    this.delete(id);
  }

  private delete(id: string): void {
    if (this.records.delete(id)) {
      this.changed.set(id, undefined);
    }
    this.missing.delete(id);
  }
}
