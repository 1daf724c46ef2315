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

/** Records by id, and what is kept though it is missing. */
export class InstanceRegistry {
  private readonly records = new Map<string, instanceTable.InstanceRecord>();
  private readonly missing = new Set<string>();
  private revisionSeen = 0;
  private isSourceAway = false;
  private graceUntil = 0;

  /** Revision that the records are as of; 0 before the first. */
  get revision(): number {
    return this.revisionSeen;
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
    const listed = new Map(
      snapshot.value.map(record => [record.id, record] as const),
    );
    for (const id of [...this.records.keys()]) {
      if (!listed.has(id)) {
        this.lose(id, now);
      }
    }
    listed.forEach(record => this.keep(record));
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

  /** Drops the missing entries whose time is over; gives whether there were any. */
  expire(now: number): boolean {
    if (this.missing.size === 0 || now < this.graceUntil) {
      return false;
    }
    this.missing.forEach(id => this.records.delete(id));
    this.missing.clear();
    return true;
  }

  private noteSourceBack(now: number): void {
    if (this.isSourceAway) {
      this.isSourceAway = false;
      this.graceUntil = now + RETURN_GRACE_MILLISECONDS;
    }
  }

  private keep(record: instanceTable.InstanceRecord): void {
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
    this.records.delete(id);
    this.missing.delete(id);
  }
}
