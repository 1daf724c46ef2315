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
export const RETURN_GRACE_MILLISECONDS = 1_800;
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
  private revisionSeen = 0;
  private positionReached = 0;
  private isSourceAway = false;
  private graceUntil = 0;

  /** Revision of the source up to which it has been read; 0 before the first. */
  get revision(): number {
    return this.revisionSeen;
  }

  /**
   * Orders the contents of the registries of several gateways: about the
   * revision at which the records in use changed last; 0 before the first.
   */
  get position(): number {
    return this.positionReached;
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
  noteSourceAway(): void {
    this.isSourceAway = true;
  }

  /** Takes a whole list unless it is older than what is known; gives whether it was taken. */
  takeList(
    snapshot: stateSource.Snapshot<readonly instanceTable.InstanceRecord[]>,
    now: number,
  ): boolean {
    this.noteSourceBack(now);
    if (snapshot.revision < this.revisionSeen) {
      return false;
    }
    this.revisionSeen = snapshot.revision;
    this.replaceAll(snapshot.value, now);
    return true;
  }

  /** Takes the changes since the revision seen. */
  takeChanges(
    snapshot: stateSource.Snapshot<readonly stateSource.InstanceChange[]>,
    now: number,
  ): void {
    this.noteSourceBack(now);
    if (snapshot.revision < this.revisionSeen) {
      return;
    }
    this.revisionSeen = snapshot.revision;
    for (const change of snapshot.value) {
      if (change.record === undefined) {
        this.lose(change.id, now);
        continue;
      }
      this.keep(change.record);
    }
  }

  /** Takes all records of a peer that is further; gives whether it was. */
  takePeer(
    position: number,
    records: readonly instanceTable.InstanceRecord[],
    now: number,
  ): boolean {
    if (position <= this.positionReached) {
      return false;
    }
    // A peer that started in the same outage lacks what lapsed in it.
    this.noteSourceBack(now);
    this.replaceAll(records, now);
    this.advance(position);
    return true;
  }

  /** Takes what a peer passed on; false when something between is missing here. */
  takeRelayed(change: RegistryChange): boolean {
    if (change.to <= this.positionReached) {
      return true;
    }
    if (change.from > this.positionReached || this.positionReached === 0) {
      return false;
    }
    for (const {id, record} of change.changes) {
      if (record === undefined) {
        this.drop(id);
      } else {
        this.keep(record);
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
    this.missing.forEach(id => this.drop(id));
    return true;
  }

  /** Ends a change of the records; undefined when it left them as they were. */
  settle(): RegistryChange | undefined {
    const from = this.positionReached;
    const isFirst = from === 0 && this.revisionSeen > 0;
    if (this.changed.size === 0 && !isFirst) {
      return undefined;
    }
    const to = Math.max(this.revisionSeen, from + EXPIRY_STEP);
    const changes = [...this.changed].map(([id, record]) => ({id, record}));
    this.changed.clear();
    this.positionReached = to;
    return {from, to, changes};
  }

  private advance(position: number): void {
    this.changed.clear();
    this.positionReached = position;
    this.revisionSeen = Math.max(this.revisionSeen, Math.floor(position));
  }

  private replaceAll(
    records: readonly instanceTable.InstanceRecord[],
    now: number,
  ): void {
    const listed = new Map(records.map(record => [record.id, record] as const));
    for (const id of [...this.records.keys()]) {
      if (!listed.has(id)) {
        this.lose(id, now);
      }
    }
    listed.forEach(record => this.keep(record));
  }

  private noteSourceBack(now: number): void {
    if (this.isSourceAway) {
      this.isSourceAway = false;
      this.graceUntil = now + RETURN_GRACE_MILLISECONDS;
    }
  }

  private keep(record: instanceTable.InstanceRecord): void {
    const known = this.records.get(record.id);
    if (JSON.stringify(known) !== JSON.stringify(record)) {
      this.changed.set(record.id, record);
    }
    this.records.set(record.id, record);
    this.missing.delete(record.id);
  }

  private lose(id: string, now: number): void {
    const known = this.records.get(id);
    const isLeaving = known?.state === instanceTable.InstanceState.Draining;
    if (now < this.graceUntil && known !== undefined && !isLeaving) {
      this.missing.add(id);
      return;
    }
    this.drop(id);
  }

  private drop(id: string): void {
    if (this.records.delete(id)) {
      this.changed.set(id, undefined);
    }
    this.missing.delete(id);
  }
}
