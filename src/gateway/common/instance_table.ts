/** Endpoint instances as seen by a gateway: their registered records and their observed behavior. */
import * as rxjs from 'rxjs';
import * as leavingInstances from './leaving_instances';

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
  /** Revision at which the registration named that time; absent if it names none, and from older builds. */
  readonly warmUpRevision?: number;
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

/** Time in which the failure rate halves without requests, in milliseconds. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_000;

/** Weight of a success after rejections, which are a state of the instance rather than chance. */
const RECOVERY_WEIGHT = 0.5;
/** Time without an answer after which an instance that rejected requests gets one, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 1_000;
/** Failure rate below which an instance is chosen as often as others. */
const MIN_PROBED_RATE = 0.02;

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
  /** Moving average of the share of requests that the instance failed, as of the last request; see `failureRateOf`. */
  failureRate: number;
  /** Monotonic milliseconds of the last change of the failure rate; 0 before the first. */
  failureRateAt: number;
  /** Whether the last failure was an answer that the request was not run. */
  hasRejectedLast: boolean;
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
  /** Fires with registrations that name another time until their instances are warm than before. */
  readonly onDidChangeWarmUp = new rxjs.Subject<InstanceRecord>();
  /** Instances that said themselves that they are about to stop. */
  readonly leaving = new leavingInstances.LeavingInstances();
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
      if (hasOtherWarmUp(existing, instance, record)) {
        this.onDidChangeWarmUp.next(record);
      }
      const leavingAt = this.leaving.get(record, now);
      if (updateState(instance, record, leavingAt, now)) {
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

  /** Marks an instance as draining that says that it is about to stop; returns whether it was not draining before. */
  markLeaving(instance: Instance, now: number): boolean {
    this.leaving.recordOwn(instance.record, now);
    const wasReady = instance.drainingAt === undefined;
    instance.drainingAt ??= now;
    return wasReady;
  }

  /** Adds what peers were told by instances; returns those that are known here. */
  mergeLeaving(
    relayed: readonly leavingInstances.RelayedLeaving[],
    now: number,
  ): Instance[] {
    const added = this.leaving.merge(relayed, now);
    return added
      .map(key => ({key, instance: this.get(leavingInstances.idOf(key))}))
      .filter(
        ({key, instance}) =>
          instance !== undefined &&
          leavingInstances.keyOf(instance.record) === key,
      )
      .map(({instance}) => instance!);
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

/** Share of requests that the instance is expected to fail; an instance that gets no requests may have recovered. */
export function failureRateOf(
  {failureRate, failureRateAt}: Instance,
  now: number,
): number {
  const halfLives = (now - failureRateAt) / FAILURE_HALF_LIFE_MILLISECONDS;
  return failureRate * 0.5 ** Math.max(0, halfLives);
}

/** Records the outcome of a request at the instance. */
export function recordOutcome(
  instance: Instance,
  isFailure: boolean,
  now: number,
): void {
  const rate = failureRateOf(instance, now);
  const isRecovery = !isFailure && instance.hasRejectedLast;
  const weight = isRecovery ? RECOVERY_WEIGHT : OUTCOME_WEIGHT;
  instance.failureRate = rate + weight * ((isFailure ? 1 : 0) - rate);
  instance.failureRateAt = now;
  instance.hasRejectedLast &&= !isFailure;
  if (isFailure) {
    instance.lastFailureAt = now;
  } else {
    instance.lastSuccessAt = now;
  }
}

/** Records that the instance answered that it did not run a request. */
export function recordRejection(instance: Instance, now: number): void {
  recordOutcome(instance, true, now);
  instance.hasRejectedLast = true;
}

/** Records that no connection could be made, which weighs more than one failed request. */
export function recordUnreachable(instance: Instance, now: number): void {
  instance.failureRate = Math.max(
    failureRateOf(instance, now),
    UNREACHABLE_FAILURE_RATE,
  );
  instance.failureRateAt = now;
  instance.hasRejectedLast = false;
  instance.lastFailureAt = now;
}

/**
 * Whether the next request is to find out if the instance still rejects
 * requests. A rejected request is sent elsewhere at once, whereas an instance
 * that is avoided until its failure rate has aged stays idle for many seconds.
 */
export function isDueForProbe(instance: Instance, now: number): boolean {
  const lastAt = Math.max(instance.lastFailureAt, instance.lastSuccessAt);
  return (
    instance.hasRejectedLast &&
    instance.openRequests === 0 &&
    now - lastAt >= PROBE_INTERVAL_MILLISECONDS &&
    failureRateOf(instance, now) > MIN_PROBED_RATE
  );
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

/** Whether the record names another time until the instance is warm than what is known of it; called before `updateState`. */
function hasOtherWarmUp(
  existing: Instance | undefined,
  instance: Instance,
  record: InstanceRecord,
): boolean {
  const known = instance === existing ? instance.record : undefined;
  return (
    record.warmUpMilliseconds !== (known?.warmUpMilliseconds ?? 0) ||
    record.warmUpRevision !== known?.warmUpRevision
  );
}

function createInstance(record: InstanceRecord, now: number): Instance {
  return {
    record,
    firstSeenAt: now,
    drainingAt: undefined,
    openRequests: 0,
    failureRate: 0,
    failureRateAt: 0,
    hasRejectedLast: false,
    lastFailureAt: 0,
    lastSuccessAt: 0,
  };
}

/** Updates the record; returns whether the instance has started to drain. Its own word counts more than its record. */
function updateState(
  instance: Instance,
  record: InstanceRecord,
  leavingAt: number | undefined,
  now: number,
): boolean {
  instance.record = record;
  if (record.state !== InstanceState.Draining && leavingAt === undefined) {
    instance.drainingAt = undefined;
    return false;
  }
  if (instance.drainingAt !== undefined) {
    return false;
  }
  instance.drainingAt = leavingAt ?? now;
  return true;
}
