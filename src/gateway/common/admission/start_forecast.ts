/** Forecasts when a waiting generation starts, and when a refused caller may return. */

/** Shortest time after which a refused caller returns, in milliseconds. */
const MIN_RETURN_MILLISECONDS = 250;
/** Longest time after which a refused caller returns, in milliseconds; a forecast beyond it is no more than a guess. */
const MAX_RETURN_MILLISECONDS = 10_000;

/** What the forecast considers. */
export interface ForecastInput {
  /** Generations that the engines of the endpoint can run at once. */
  readonly places: number;
  readonly taken: number;
  /** Mean time for which a generation is in an engine; undefined if none has ended yet. */
  readonly servedMilliseconds: number | undefined;
  /** Generations that wait here and start before. */
  readonly ahead: number;
  /** Part of the places that become free which this gateway is expected to get, from 0 to 1. */
  readonly share: number;
}

/** Expected time until the generation starts, in milliseconds; undefined if nothing is known. */
export function expectedWait(input: ForecastInput): number | undefined {
  const {places, taken, servedMilliseconds, ahead, share} = input;
  const missing = ahead + 1 - Math.max(0, places - taken);
  if (missing <= 0) {
    return 0;
  }
  if (servedMilliseconds === undefined || places <= 0 || share <= 0) {
    return undefined;
  }
  return (missing * servedMilliseconds) / (places * share);
}

/** Time after which a caller that was refused may return, in milliseconds, before it is spread. */
export function returnDelay(
  waitMilliseconds: number,
  allowedMilliseconds: number,
): number {
  const excess = waitMilliseconds - Math.max(0, allowedMilliseconds);
  return Math.min(
    MAX_RETURN_MILLISECONDS,
    Math.max(MIN_RETURN_MILLISECONDS, excess),
  );
}
