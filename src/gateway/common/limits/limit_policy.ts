/**
 * How a limit is turned into permits. The users allow one and a half times the
 * limit and five more requests in any four seconds; the margins below leave
 * room for two gateways that issue permits for one instance for a second.
 */

/** Share of the limit that is issued. */
const ISSUED_SHARE = 0.9;
/** Permits a second for an instance that takes nothing, so that the end of its limit is noticed. */
const MIN_PERMITS_PER_SECOND = 0.25;
/** Unused permits that are kept, and the time of accrual kept in addition, in seconds: callers arrive unevenly. */
const BASE_CAPACITY = 2;
const CAPACITY_SECONDS = 0.4;

/** Time for which a permit is valid after its request, in milliseconds. */
export const PERMIT_LIFETIME_MILLISECONDS = 500;

/** Permits a second that are issued to all gateways together for a limit in requests a second. */
export function permitsPerSecond(limit: number): number {
  return Math.max(MIN_PERMITS_PER_SECOND, limit * ISSUED_SHARE);
}

/** Permits that a bucket with this rate holds at the most. */
export function bucketCapacity(rate: number): number {
  return BASE_CAPACITY + rate * CAPACITY_SECONDS;
}
