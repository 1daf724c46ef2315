/**
 * Instances that asked this gateway to retry later. Meant for
 * instances that turn requests away for seconds while others of their service
 * take them, and for services whose only instances do so.
 */
import * as instanceTable from '../instance_table';
import * as instanceAvailability from './instance_availability';

/** Maximum number of incarnations; the least recently updated are dropped first. */
const MAX_BACK_OFFS = 4_096;
/** Time after the end of a back-off within which its instance takes as many requests again as before, in milliseconds. */
const RETURN_MILLISECONDS = 1_000;

interface BackOff {
  /** Monotonic milliseconds of the first answer that asked for it. */
  readonly since: number;
  readonly until: number;
}

/** Back-offs by incarnation. Only answers to this gateway count, so peers are not told. */
export class BackOffs {
  private readonly backOffs = new Map<string, BackOff>();

  get size(): number {
    return this.backOffs.size;
  }

  /** Records an answer; returns whether the instance was not in back-off before and is now. The longest time counts, since answers overtake each other. */
  record(life: string, milliseconds: number, now: number): boolean {
    const known = this.backOffs.get(life);
    const isActive = known !== undefined && now < known.until;
    const until = now + milliseconds;
    if (milliseconds <= 0 || (isActive && until <= known.until)) {
      return false;
    }
    this.backOffs.delete(life);
    this.backOffs.set(life, {since: isActive ? known.since : now, until});
    if (this.backOffs.size > MAX_BACK_OFFS) {
      this.backOffs.delete(this.backOffs.keys().next().value!);
    }
    return !isActive;
  }

  isActive(life: string, now: number): boolean {
    return now < (this.backOffs.get(life)?.until ?? -Infinity);
  }

  /** The back-off of the incarnation, also while it returns; undefined if there is none. */
  get(life: string, now: number): BackOff | undefined {
    const backOff = this.backOffs.get(life);
    if (backOff !== undefined && now >= backOff.until + RETURN_MILLISECONDS) {
      this.backOffs.delete(life);
      return undefined;
    }
    return backOff;
  }
}

/** Excludes instances until the time that they named, and admits ever more open requests in the second after it. */
export class BackOffRule extends instanceAvailability.AvailabilityRule {
  constructor(private readonly backOffs: BackOffs) {
    super();
  }

  check(
    {record, openRequests}: instanceTable.Instance,
    _: instanceAvailability.AvailabilityRequest,
    now: number,
  ): instanceAvailability.Unavailability | undefined {
    const backOff = this.backOffs.get(instanceTable.lifeOf(record), now);
    if (backOff === undefined) {
      return undefined;
    }
    // The first request is admitted at the end, the others in equal steps.
    const step = RETURN_MILLISECONDS / Math.max(1, record.slots);
    const until =
      backOff.until + Math.min(RETURN_MILLISECONDS, openRequests * step);
    return now >= until
      ? undefined
      : {
          reason: instanceAvailability.UnavailableReason.BackOff,
          since: backOff.since,
          until,
        };
  }
}
