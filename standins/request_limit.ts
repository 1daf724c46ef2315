/** The users' rules on the requests that an instance with a limit, or a cold instance, may get. */

/** Length of the windows in which requests are counted, in milliseconds. */
const WINDOW_MILLISECONDS = 4_000;
/** Share of the limit, and number of requests on top of it, that are allowed in a window. */
const ALLOWED_SHARE = 1.5;
const ALLOWANCE = 5;

/** Requests that an instance may get in a window. */
export function allowedRequests(requestsPerSecond: number): number {
  const seconds = WINDOW_MILLISECONDS / 1000;
  return ALLOWED_SHARE * requestsPerSecond * seconds + ALLOWANCE;
}

/** Requests that a cold instance may get in any second. */
export function allowedWhileCold(rampPerSecond: number): number {
  return ALLOWED_SHARE * rampPerSecond + ALLOWANCE;
}

/** Most requests in any window; `times` are in milliseconds and ascend. */
export function mostInWindow(
  times: readonly number[],
  windowMilliseconds = WINDOW_MILLISECONDS,
): number {
  let first = 0;
  let most = 0;
  times.forEach((at, index) => {
    while (times[first] <= at - windowMilliseconds) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
