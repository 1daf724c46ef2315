/**
 * Decides which requests a gateway still takes when it is about to end, and when
 * those that it refuses come back. Answers rolling restarts: callers on open
 * connections keep sending, one that is refused may meet another gateway that
 * ends, and for a while all of them may be about to end.
 */

/** Time to the first token on a busy engine, in milliseconds. */
const FIRST_TOKEN_MILLISECONDS = 600;
/**
 * Time after the stop signal in which a generation is taken by its expected
 * length, in milliseconds. One taken later and cut counts as lost by the gateway.
 */
const EXPECTED_LENGTH_WINDOW_MILLISECONDS = 2_800;
/** Part by which a generation may be longer or slower than expected. */
const LENGTH_MARGIN = 1.15;
/** Objectives that a short call has to end in; services answer most calls within one. */
const CALL_OBJECTIVE_FACTOR = 3;
/** Time that is enough for every short call, in milliseconds. */
const MAX_CALL_MILLISECONDS = 1_500;
/** When to come back if other gateways take callers: at once. */
const PEER_AVAILABLE_RETRY_MILLISECONDS = 50;
/** Time from the end of a gateway until it takes callers again, in milliseconds; measured in rolling restarts. */
const RESTART_MILLISECONDS = 1_200;

/** What a gateway that is about to end knows of the others. */
export interface PeerAvailability {
  /** Peers that take new callers. */
  readonly stayingCount: number;
  /** Time until the first peer that is about to end has ended, in milliseconds; Infinity when there is none. */
  readonly firstEndMilliseconds: number;
}

/** A generation that arrives in the grace time. */
export interface LateGeneration {
  readonly expectedTokens: number;
  /** Longest output that the caller allows, in tokens; 0 when not given. */
  readonly maxTokens: number;
  /** Pace of the engines. */
  readonly millisecondsPerToken: number;
}

/** Where a gateway stands between its stop signal and its end. */
export interface GracePeriod {
  readonly sinceSignalMilliseconds: number;
  readonly leftMilliseconds: number;
}

/**
 * Whether a generation ends within the grace time: soon after the stop signal
 * by its expected length, since the balancer still sends callers who may find
 * no other gateway; later by the longest that it can become.
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
  const needed =
    FIRST_TOKEN_MILLISECONDS + tokens * millisecondsPerToken * LENGTH_MARGIN;
  return needed <= grace.leftMilliseconds;
}

/** Whether a short call is likely to end within the time left. */
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

/** When a refused caller finds a gateway that takes it, in milliseconds. */
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
