/**
 * Divides free places among gateways that see the same ones. Their views are
 * up to 0.7 s old, so each may take only its part within the time that others
 * need to see it. Meant for bursts that arrive at several gateways at once.
 * While customers compete, the largest one also starts its generations evenly:
 * those of a burst would end together, and no place would become free for
 * others between the ends of two bursts.
 */
import * as rateBucket from '../rate_bucket';

/** Time in which a start becomes known to the peers, in milliseconds. */
const PERIOD_MILLISECONDS = 100;
/** Share of the places up to which nothing is divided: there is enough for everybody. */
export const PLENTY_SHARE = 0.5;
/** Places that a gateway may take while starts are even, as a share of its part; above 1 because parts are estimates. */
const PART_SHARE = 1.1;

/** Rate of starts, as a share of the rate at which places become free; above 1 so that none stays free for long. */
const PACE_SHARE = 1.2;
/** Starts at once within the pace. */
const PACE_BURST = 2;

/** Places of an endpoint as one gateway sees them. */
export interface PlacesView {
  readonly places: number;
  readonly taken: number;
  /** Places taken by runs of this gateway. */
  readonly ownRuns: number;
  /** Part of the demand of all gateways that arrives at this one, from 0 to 1. */
  readonly demandShare: number;
  /** Gateways, with this one, that have generations at the endpoint. */
  readonly gatewayCount: number;
  /** Undefined unless starts are to be even. */
  readonly even: EvenStarts | undefined;
}

/** What even starts depend on. */
export interface EvenStarts {
  /** Places that become free per second, summed over all engines. */
  readonly freedPerSecond: number;
  /** Mean part of the demand of all gateways that arrived at this one, from 0 to 1. */
  readonly meanShare: number;
}

/** Starts of one gateway in the present period. */
export class RoomSplit {
  private periodStart = -Infinity;
  private started = 0;
  private budget = 0;
  private pace: rateBucket.RateBucket | undefined;

  /** Whether this gateway may take one more place; does not depend on order or kind. */
  mayStart(view: PlacesView, now: number): boolean {
    const {places, taken, demandShare, gatewayCount, even} = view;
    if (even !== undefined) {
      return this.mayStartEvenly(even, view, now);
    }
    this.pace = undefined;
    if (gatewayCount <= 1 || taken < places * PLENTY_SHARE) {
      return true;
    }
    if (now - this.periodStart >= PERIOD_MILLISECONDS) {
      this.periodStart = now;
      this.started = 0;
      const share = Math.max(demandShare, 1 / gatewayCount);
      this.budget = Math.max(1, Math.ceil((places - taken) * share));
    }
    return this.started < this.budget;
  }

  /** Records a start. */
  recordStart(): void {
    this.started++;
  }

  /** Records that a run of this gateway ended: peers do not know of its place yet. */
  recordEnd(): void {
    this.budget++;
  }

  /**
   * Keeps to the part of this gateway, whose own runs it knows without delay,
   * unless there is enough for everybody, and takes a token of the pace; what it
   * is for may still be held back, which costs one start.
   */
  private mayStartEvenly(
    {freedPerSecond, meanShare}: EvenStarts,
    {places, taken, ownRuns}: PlacesView,
    now: number,
  ): boolean {
    const part = Math.ceil(places * meanShare * PART_SHARE);
    const isShort = taken >= places * PLENTY_SHARE;
    if (isShort && ownRuns >= Math.max(1, part)) {
      return false;
    }
    const perSecond = freedPerSecond * meanShare;
    this.pace ??= new rateBucket.RateBucket(now, 1);
    return this.pace.take(1, perSecond * PACE_SHARE, PACE_BURST, now) > 0;
  }
}
