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
  /**
   * Version of its software, which has no order; empty when not given. Not the
   * version of the weights. Undefined if a gateway of an older build told of
   * the instance.
   */
  readonly softwareVersion?: string;
}

/** Identifies one incarnation of an instance. */
export function lifeOf({id, startedAt}: InstanceRecord): string {
  return `${id}/${startedAt}`;
}

/** Version of the instance's software, to be compared with others; an unknown one equals none but its own. */
export function versionOf({id, softwareVersion}: InstanceRecord): string {
  return softwareVersion ?? `unknown at ${id}`;
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
  private instances = new Map<string, Instance>();
  private byEndpoint = new Map<string, Instance[]>();

  get size(): number {
    return this.instances.size;
  }

  get(id: string): Instance | undefined {
    return this.instances.get(id);
  }

  all(): Iterable<Instance> {
    return this.instances.values();
  }

  /** All instances of the endpoint, including draining ones. */
  forEndpoint(endpoint: string): readonly Instance[] {
    return this.byEndpoint.get(endpoint) ?? [];
  }

  /** Replaces the whole content; instances whose incarnation is unchanged keep their statistics. */
  replace(records: readonly InstanceRecord[], now: number): InstanceChanges {
    const next = new Map<string, Instance>();
    const added: Instance[] = [];
    const drained: Instance[] = [];
    for (const record of records) {
      const existing = this.instances.get(record.id);
      const instance = isSameIncarnation(existing, record)
        ? existing
        : createInstance(record, now);
      if (instance !== existing) {
        added.push(instance);
      }
      if (updateState(instance, record, now)) {
        drained.push(instance);
      }
      next.set(record.id, instance);
    }
    const removed = [...this.instances.values()].filter(
      instance => next.get(instance.record.id) !== instance,
    );
    removed.forEach(instance => (instance.drainingAt ??= now));
    this.instances = next;
    this.index();
    return {added, drained, removed};
  }

  private index(): void {
    this.byEndpoint = new Map();
    for (const instance of this.instances.values()) {
      const instances = this.byEndpoint.get(instance.record.endpoint) ?? [];
      instances.push(instance);
      this.byEndpoint.set(instance.record.endpoint, instances);
    }
  }
}

/** Records the outcome of a request at the instance. */
export function recordOutcome(
  instance: Instance,
  isFailure: boolean,
  now: number,
): void {
  instance.failureRate +=
    OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - instance.failureRate);
  if (isFailure) {
    instance.lastFailureAt = now;
  } else {
    instance.lastSuccessAt = now;
  }
}

/** Records that no connection could be made, which weighs more than one failed request. */
export function recordUnreachable(instance: Instance, now: number): void {
  instance.failureRate = Math.max(
    instance.failureRate,
    UNREACHABLE_FAILURE_RATE,
  );
  instance.lastFailureAt = now;
}

/** Whether the instance has completed no response since its last failure. */
export function isSuspect(instance: Instance): boolean {
  return instance.lastFailureAt > instance.lastSuccessAt;
}

function isSameIncarnation(
  existing: Instance | undefined,
  record: InstanceRecord,
): existing is Instance {
  return (
    existing !== undefined &&
    existing.record.startedAt === record.startedAt &&
    existing.record.address === record.address &&
    existing.record.endpoint === record.endpoint
  );
}

function createInstance(record: InstanceRecord, now: number): Instance {
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

/** Updates the record; returns whether the instance has started to drain. */
function updateState(
  instance: Instance,
  record: InstanceRecord,
  now: number,
): boolean {
  instance.record = record;
  if (record.state !== InstanceState.Draining) {
    instance.drainingAt = undefined;
    return false;
  }
  if (instance.drainingAt !== undefined) {
    return false;
  }
  instance.drainingAt = now;
  return true;
}
