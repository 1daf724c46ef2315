/**
 * Registered instances as of the latest revision read. Entries that disappear
 * around an outage of the source are kept until their instances have had time
 * to register again.
 */
import * as instanceTable from './instance_table';
import * as stateSource from './state_source';

/**
 * Time after the source becomes reachable again for which missing entries are
 * kept, in milliseconds. Live instances register again within about two
 * seconds; an instance that left must get no work two seconds after its
 * departure was seen.
 */
export const RECOVERY_GRACE_MILLISECONDS = 1_800;
/**
 * Time after the source was restored from a copy for which its lists are not
 * believed where they contradict a departure that is known here, in
 * milliseconds. By then instances have written their state again, and the
 * entries of those that have left have lapsed.
 */
export const DISTRUST_MILLISECONDS = 8_000;
/** Maximum number of departures that are remembered; the oldest are forgotten first. */
const MAX_DEPARTED = 4_096;
/**
 * Step of the position when kept entries expire without a new revision; less
 * than one, so that the next revision is still greater.
 */
const EXPIRY_STEP = 0.5;

/** Changes between two positions of a registry. */
export interface RegistryChange {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly stateSource.InstanceChange[];
}

/** Instance records by id, including missing ones that are kept for now. */
export class InstanceRegistry {
  private readonly records = new Map<string, instanceTable.InstanceRecord>();
  private readonly missing = new Set<string>();
  private readonly changed = new Map<
    string,
    instanceTable.InstanceRecord | undefined
  >();
  /** Incarnations that were removed. */
  private readonly departed = new Set<string>();
  private lastRevision = 0;
  private lastPosition = 0;
  /** Whether nothing has been committed in this era of the source. */
  private isEraNew = false;
  private distrustUntil = -Infinity;
  private isSourceUnreachable = false;
  private graceUntil = 0;

  /** Revision up to which the source has been read; 0 before the first read. */
  get revision(): number {
    return this.lastRevision;
  }

  /**
   * Orders the contents of the registries of several gateways: roughly the
   * revision at which the records last changed; 0 before the first change.
   */
  get position(): number {
    return this.lastPosition;
  }

  /** Time at which missing entries expire; undefined when there are none. */
  get graceEnd(): number | undefined {
    return this.missing.size > 0 ? this.graceUntil : undefined;
  }

  /** All records, including missing ones that are kept for now. */
  values(): instanceTable.InstanceRecord[] {
    return [...this.records.values()];
  }

  /**
   * Forgets the revision and the position, since the source was restored from a
   * copy and counts anew. Records are kept until the source has been read again.
   */
  enterEra(now: number): void {
    this.lastRevision = 0;
    this.lastPosition = 0;
    this.isEraNew = true;
    this.isSourceUnreachable = false;
    this.graceUntil = now + RECOVERY_GRACE_MILLISECONDS;
    this.distrustUntil = now + DISTRUST_MILLISECONDS;
  }

  /** Records that the source was silent for so long that entries may have lapsed. */
  markSourceUnreachable(): void {
    this.isSourceUnreachable = true;
  }

  /** Applies a full list unless it is older than the revision read; returns whether it was applied. */
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

  /** Applies the changes since the revision read. */
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

  /** Applies all records of a peer if its position is greater; returns whether they were applied. */
  applyPeerState(
    position: number,
    records: readonly instanceTable.InstanceRecord[],
    now: number,
  ): boolean {
    if (position <= this.lastPosition) {
      return false;
    }
    // A peer that started during the same outage lacks the entries that expired during it, so the grace period applies here too.
    this.markSourceReachable(now);
    this.replaceAll(records, now);
    this.advance(position);
    return true;
  }

  /** Applies a change relayed by a peer; returns false when changes before it are missing. */
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

  /** Removes missing entries after the grace period; returns whether there were any. */
  expire(now: number): boolean {
    if (this.missing.size === 0 || now < this.graceUntil) {
      return false;
    }
    this.missing.forEach(id => this.delete(id));
    return true;
  }

  /** Advances the position past the pending changes and returns them; undefined when there are none. */
  commit(): RegistryChange | undefined {
    const position = this.lastPosition;
    const isFirst = position === 0 && this.lastRevision > 0;
    if (this.changed.size === 0 && !isFirst) {
      return undefined;
    }
    const to = Math.max(this.lastRevision, position + EXPIRY_STEP);
    // What changed since the previous era adds to no position of this one.
    const from = this.isEraNew ? to : position;
    this.isEraNew = false;
    const changes = [...this.changed].map(([id, record]) => ({id, record}));
    this.changed.clear();
    this.lastPosition = to;
    return {from, to, changes};
  }

  private advance(position: number): void {
    this.changed.clear();
    this.isEraNew = false;
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
    for (const record of listed.values()) {
      if (this.isRevivedByCopy(record, now)) {
        this.missing.delete(record.id);
      } else {
        this.upsert(record);
      }
    }
  }

  /** Whether a list shows an instance as ready that is known to have left, since the copy that the source was restored from is older. */
  private isRevivedByCopy(
    record: instanceTable.InstanceRecord,
    now: number,
  ): boolean {
    const isReady = record.state === instanceTable.InstanceState.Ready;
    if (!isReady || now >= this.distrustUntil) {
      return false;
    }
    const current = this.records.get(record.id);
    const isDraining =
      current !== undefined &&
      current.state === instanceTable.InstanceState.Draining &&
      instanceTable.lifeOf(current) === instanceTable.lifeOf(record);
    return isDraining || this.departed.has(instanceTable.lifeOf(record));
  }

  private markSourceReachable(now: number): void {
    // A further outage must not prolong the time of entries that are due.
    this.expire(now);
    if (this.isSourceUnreachable) {
      this.isSourceUnreachable = false;
      this.graceUntil = now + RECOVERY_GRACE_MILLISECONDS;
    }
  }

  private upsert(record: instanceTable.InstanceRecord): void {
    const current = this.records.get(record.id);
    this.departed.delete(instanceTable.lifeOf(record));
    if (JSON.stringify(current) !== JSON.stringify(record)) {
      this.changed.set(record.id, record);
    }
    this.records.set(record.id, record);
    this.missing.delete(record.id);
  }

  private handleMissing(id: string, now: number): void {
    const current = this.records.get(id);
    const isLeaving = current?.state === instanceTable.InstanceState.Draining;
    if (now < this.graceUntil && current !== undefined && !isLeaving) {
      this.missing.add(id);
      return;
    }
    this.delete(id);
  }

  private delete(id: string): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      this.records.delete(id);
      this.changed.set(id, undefined);
      this.recordDeparture(record);
    }
    this.missing.delete(id);
  }

  private recordDeparture(record: instanceTable.InstanceRecord): void {
    this.departed.add(instanceTable.lifeOf(record));
    if (this.departed.size > MAX_DEPARTED) {
      this.departed.delete(this.departed.keys().next().value!);
    }
  }
}
