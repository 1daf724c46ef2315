/** Endpoint instances as seen by a gateway: their registered records and their observed behavior. */

/** Registered state of an instance. */
export enum InstanceState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Registration of an instance. */
export interface InstanceRecord {
  readonly id: string;
  readonly endpoint: string;
  /** IP and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: InstanceState;
  readonly slots: number;
  /** Time for which the instance stays slow after its start, as of its registration. */
  readonly warmUpMilliseconds: number;
  /** Start of this incarnation in Unix milliseconds; 0 when not given. Distinguishes incarnations with the same id. */
  readonly startedAt: number;
}

/** Weight of one outcome in the moving average of the failure rate. */
const OUTCOME_WEIGHT = 0.15;

/** Minimum failure rate assigned to an instance that accepts no connections. */
const UNREACHABLE_FAILURE_RATE = 0.9;

/** An instance with its statistics at this gateway. */
export interface Instance {
  record: InstanceRecord;
  /** Monotonic milliseconds at which this gateway first saw this incarnation. */
  readonly firstSeenAt: number;
  /** Monotonic milliseconds at which draining was seen; undefined while ready. */
  drainingAt: number | undefined;
  /** Number of requests of this gateway without a complete response. */
  openRequests: number;
  /** Moving average of the share of requests that the instance failed. */
  failureRate: number;
  /** Monotonic milliseconds of the last failure; 0 before the first. */
  lastFailureAt: number;
  /** Monotonic milliseconds of the last complete response; 0 before the first. */
  lastSuccessAt: number;
}

/** Changes made by one update of the table. */
export interface InstanceChanges {
  readonly added: readonly Instance[];
  readonly drained: readonly Instance[];
  readonly removed: readonly Instance[];
}

/** Instances as of the latest known state of the registry. */
export class InstanceTable {
  private rows = new Map<string, Instance>();
  private byEndpoint = new Map<string, Instance[]>();

  get size(): number {
    return this.rows.size;
  }

  get(id: string): Instance | undefined {
    return this.rows.get(id);
  }

  all(): Iterable<Instance> {
    return this.rows.values();
  }

  /** All instances of the endpoint, including draining ones. */
  forEndpoint(endpoint: string): readonly Instance[] {
    return this.byEndpoint.get(endpoint) ?? [];
  }

  /** Replaces the whole content; rows of known incarnations keep their statistics. */
  replace(records: readonly InstanceRecord[], now: number): InstanceChanges {
    const next = new Map<string, Instance>();
    const added: Instance[] = [];
    const drained: Instance[] = [];
    for (const record of records) {
      const known = this.rows.get(record.id);
      const row = isSameIncarnation(known, record)
        ? known
        : createRow(record, now);
      if (row !== known) {
        added.push(row);
      }
      if (updateState(row, record, now)) {
        drained.push(row);
      }
      next.set(record.id, row);
    }
    const removed = [...this.rows.values()].filter(
      row => next.get(row.record.id) !== row,
    );
    removed.forEach(row => (row.drainingAt ??= now));
    this.rows = next;
    this.index();
    return {added, drained, removed};
  }

  private index(): void {
    this.byEndpoint = new Map();
    for (const row of this.rows.values()) {
      const rows = this.byEndpoint.get(row.record.endpoint) ?? [];
      rows.push(row);
      this.byEndpoint.set(row.record.endpoint, rows);
    }
  }
}

/** Records the outcome of a request at the instance. */
export function recordOutcome(
  row: Instance,
  isFailure: boolean,
  now: number,
): void {
  row.failureRate += OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - row.failureRate);
  if (isFailure) {
    row.lastFailureAt = now;
  } else {
    row.lastSuccessAt = now;
  }
}

/** Records that no connection could be made, which weighs more than one failed request. */
export function recordUnreachable(row: Instance, now: number): void {
  row.failureRate = Math.max(row.failureRate, UNREACHABLE_FAILURE_RATE);
  row.lastFailureAt = now;
}

/** Whether the instance has completed no response since its last failure. */
export function isSuspect(row: Instance): boolean {
  return row.lastFailureAt > row.lastSuccessAt;
}

function isSameIncarnation(
  known: Instance | undefined,
  record: InstanceRecord,
): known is Instance {
  return (
    known !== undefined &&
    known.record.startedAt === record.startedAt &&
    known.record.address === record.address &&
    known.record.endpoint === record.endpoint
  );
}

function createRow(record: InstanceRecord, now: number): Instance {
  return {
    record,
    firstSeenAt: now,
    drainingAt: undefined,
    openRequests: 0,
    failureRate: 0,
    lastFailureAt: 0,
    lastSuccessAt: 0,
  };
}

/** Updates the record; returns whether the instance began to drain with it. */
function updateState(
  row: Instance,
  record: InstanceRecord,
  now: number,
): boolean {
  row.record = record;
  if (record.state !== InstanceState.Draining) {
    row.drainingAt = undefined;
    return false;
  }
  if (row.drainingAt !== undefined) {
    return false;
  }
  row.drainingAt = now;
  return true;
}
