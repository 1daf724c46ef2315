/**
 * Decides which requests a gateway accepts while it is shutting down, and when
 * refused callers should retry. In a rolling restart callers on open
 * connections keep sending requests, a refused caller may reach another gateway
 * that is shutting down, and for a while all gateways may be shutting down.
 */

/** Time to the first token on a busy engine, in milliseconds. */
const FIRST_TOKEN_MILLISECONDS = 600;
/**
 * Time after the stop signal during which a generation is accepted by its
 * expected length, in milliseconds. A generation that is accepted later and cut
 * off counts as lost by the gateway.
 */
const EXPECTED_LENGTH_WINDOW_MILLISECONDS = 2_800;
/** Factor that allows for generations that are longer or slower than expected. */
const LENGTH_MARGIN = 1.15;
/** Expected duration of a short call as a multiple of its latency objective; services complete most calls within one. */
const CALL_OBJECTIVE_FACTOR = 3;
/** Upper bound of the duration of a short call, in milliseconds. */
const MAX_CALL_MILLISECONDS = 1_500;
/** Retry delay while other gateways accept callers, in milliseconds: practically at once. */
const PEER_AVAILABLE_RETRY_MILLISECONDS = 50;
/** Time from the exit of a gateway until it accepts callers again in a rolling restart, in milliseconds. */
const RESTART_MILLISECONDS = 1_200;

/** What a gateway that is shutting down knows of its peers. */
export interface PeerAvailability {
  /** Number of peers that accept new callers. */
  readonly stayingCount: number;
  /** Time until the first peer that is shutting down exits, in milliseconds; Infinity when there is none. */
  readonly firstEndMilliseconds: number;
}

/** A generation that arrives during the grace period. */
export interface LateGeneration {
  readonly expectedTokens: number;
  /** Maximum output length allowed by the caller, in tokens; 0 when not given. */
  readonly maxTokens: number;
  /** Generation speed of the engines. */
  readonly millisecondsPerToken: number;
  /** Time that an engine takes for the maximum length if it just meets the objectives of the route; 0 if there are none. */
  readonly slowestMilliseconds?: number;
}

/** A request that arrives during the grace period, or still waits to be sent. */
export interface LateRequest {
  /** Time that its caller waits for the answer, in milliseconds. */
  readonly waitMilliseconds: number;
  readonly isRetryable: boolean;
  /** Whether it is likely to complete within the grace period. */
  readonly isLikelyInTime: boolean;
}

/** Time elapsed and remaining between the stop signal and the exit of a gateway. */
export interface GracePeriod {
  readonly sinceSignalMilliseconds: number;
  readonly leftMilliseconds: number;
}

/**
 * Whether a generation completes within the grace period. Soon after the stop
 * signal its expected length decides, since the load balancer still sends
 * callers who may find no other gateway; later its maximum length decides.
 */
export function generationEndsInTime(
  generation: LateGeneration,
  grace: GracePeriod,
): boolean {
  const {expectedTokens, maxTokens, millisecondsPerToken} = generation;
  const isEarly =
    grace.sinceSignalMilliseconds <= EXPECTED_LENGTH_WINDOW_MILLISECONDS;
  const longest = maxTokens > 0 ? maxTokens : Infinity;
  const tokens = isEarly ? expectedTokens : Math.max(expectedTokens, longest);
  const expected =
    FIRST_TOKEN_MILLISECONDS + tokens * millisecondsPerToken * LENGTH_MARGIN;
  const slowest = isEarly ? 0 : (generation.slowestMilliseconds ?? 0);
  const needed = Math.max(expected, slowest);
  return needed <= grace.leftMilliseconds;
}

/**
 * Whether a request may be sent to an instance. Late in the grace period, a
 * request that goes elsewhere at once, or must not be sent twice, is accepted
 * only if its caller stops waiting before the exit: how long an instance takes
 * is not known, and an answer that the exit cuts off is lost.
 */
export function mayBeSent(
  request: LateRequest,
  grace: GracePeriod,
  peers: PeerAvailability,
): boolean {
  const isEarly =
    grace.sinceSignalMilliseconds <= EXPECTED_LENGTH_WINDOW_MILLISECONDS;
  const isLikelyEnough =
    isEarly || (peers.stayingCount === 0 && request.isRetryable);
  return isLikelyEnough
    ? request.isLikelyInTime
    : request.waitMilliseconds <= grace.leftMilliseconds;
}

/** Whether a short call is likely to complete within the remaining time. */
export function callEndsInTime(
  objectiveMilliseconds: number,
  leftMilliseconds: number,
): boolean {
  const expected = Math.min(
    MAX_CALL_MILLISECONDS,
    objectiveMilliseconds * CALL_OBJECTIVE_FACTOR,
  );
  return expected <= leftMilliseconds;
}

/** Time after which a refused caller will find a gateway that accepts it, in milliseconds. */
export function retryAfterMilliseconds(
  leftMilliseconds: number,
  peers: PeerAvailability,
): number {
  if (peers.stayingCount > 0) {
    return PEER_AVAILABLE_RETRY_MILLISECONDS;
  }
  const firstEnd = Math.min(leftMilliseconds, peers.firstEndMilliseconds);
  return Math.max(0, firstEnd) + RESTART_MILLISECONDS;
}
