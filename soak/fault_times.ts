/** When gateways, replicas and the store had faults. */

/** What a fault impairs. */
export enum FaultKind {
  /** A process that is killed or paused, a replica, or the store. */
  Disturbance = 'disturbance',
  /** The connections between a gateway and its callers. */
  CallerPath = 'caller path',
  /** The connections between a gateway and the store. */
  StorePath = 'store path',
  /** A planned stop and the start after it. */
  Stop = 'stop',
  /** Settings that are read again. */
  Reload = 'reload',
  /** History of the store that is dropped. */
  Compaction = 'compaction',
}

/** Subject of faults that affect all replicas. */
export const ALL_REPLICAS = 'all replicas';

/** A time that may not have ended yet. */
export interface TimeRange {
  readonly from: number;
  to: number;
}

interface Fault {
  /** Name of a gateway or a replica; undefined for the store. */
  readonly subject: string | undefined;
  readonly kind: FaultKind;
  readonly range: TimeRange;
}

/** Records faults, all times in monotonic milliseconds. */
export class FaultTimes {
  private readonly faults: Fault[] = [];

  /** Records the start of a fault; call the returned function when it ends. */
  begin(
    subject: string | undefined,
    at: number,
    kind = FaultKind.Disturbance,
  ): (at: number) => void {
    const range: TimeRange = {from: at, to: Infinity};
    this.faults.push({subject, kind, range});
    return endsAt => (range.to = endsAt);
  }

  /** Times of the subject's faults of the kinds that overlap the given time. */
  between(
    subject: string | undefined,
    from: number,
    to: number,
    kinds: readonly FaultKind[] = Object.values(FaultKind),
  ): TimeRange[] {
    return this.faults
      .filter(
        fault =>
          fault.subject === subject &&
          kinds.includes(fault.kind) &&
          fault.range.from <= to &&
          fault.range.to >= from,
      )
      .map(fault => fault.range);
  }

  /** Whether the subject had a fault of one of the kinds in the time. */
  had(
    subject: string | undefined,
    from: number,
    to: number,
    kinds?: readonly FaultKind[],
  ): boolean {
    return this.between(subject, from, to, kinds).length > 0;
  }
}
