/**
 * How a limit or a ramp is turned into permits. For an instance that names a
 * limit the users allow one and a half times the limit and five more requests
 * in any four seconds, for a cold instance one and a half times its ramp and
 * five more in any second. The margins below leave room for two gateways that
 * issue permits for one instance: with a limit for a second, with a ramp for
 * as long as their views of the members differ.
 */

/** Share of the limit that is issued. */
const ISSUED_SHARE = 0.9;
/**
 * Share of the ramp that is issued. Within a second, a coordinator lets up to
 * 2 + 0.85 x 1.2 requests for each of the ramp pass and a deputy at half
 * strength 1 + 0.85 x 0.6, which is within the bound for ramps of up to 66.
 */
const ISSUED_RAMP_SHARE = 0.85;
/** Permits a second for an instance that takes nothing, so that the end of its limit is noticed. */
const MIN_PERMITS_PER_SECOND = 0.25;
/** Unused permits that are kept, and the time of accrual kept in addition for limits, in seconds: callers arrive unevenly. */
const BASE_CAPACITY = 2;
const CAPACITY_SECONDS = 0.4;

/** Time for which a permit under a limit is valid after its request, in milliseconds. */
const PERMIT_LIFETIME_MILLISECONDS = 500;
/** The same for a permit under a ramp. Permits issued before a window and used in it count against the bound of one second. */
const RAMP_PERMIT_LIFETIME_MILLISECONDS = 200;

/** What an instance takes from all gateways together, in requests per second; at least one of the two is set. */
export interface Allowance {
  /** Limit that the instance names. */
  readonly limit?: number;
  /** Ramp of a cold instance. */
  readonly ramp?: number;
}

/** Permits a second that are issued to all gateways together; of limit and ramp the smaller one counts. */
export function permitsPerSecond({limit, ramp}: Allowance): number {
  return Math.min(limitRate(limit), (ramp ?? Infinity) * ISSUED_RAMP_SHARE);
}

/** Permits that are kept at the most. */
export function bucketCapacity(allowance: Allowance): number {
  return allowance.ramp === undefined
    ? BASE_CAPACITY + permitsPerSecond(allowance) * CAPACITY_SECONDS
    : BASE_CAPACITY;
}

/** Time for which a permit is valid after its request, in milliseconds. */
export function permitLifetime({ramp}: Allowance): number {
  return ramp === undefined
    ? PERMIT_LIFETIME_MILLISECONDS
    : RAMP_PERMIT_LIFETIME_MILLISECONDS;
}

/** Permits a second that one gateway uses without a coordinator, by its shares of limits and of ramps. */
export function sharePerSecond(
  {limit, ramp}: Allowance,
  limitShare: number,
  rampShare: number,
): number {
  const ofLimit = limitRate(limit) * limitShare;
  return ramp === undefined
    ? ofLimit
    : Math.min(ofLimit, ramp * ISSUED_RAMP_SHARE * rampShare);
}

function limitRate(limit: number | undefined): number {
  return limit === undefined
    ? Infinity
    : Math.max(MIN_PERMITS_PER_SECOND, limit * ISSUED_SHARE);
}
