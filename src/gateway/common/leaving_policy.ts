/**
 * Decides which generations a gateway still takes when it is about to end.
 * Answers rolling restarts: callers on open connections keep sending, and one
 * that is refused may meet another gateway that ends.
 */

/** Time to the first token on a busy engine, in milliseconds. */
const FIRST_TOKEN_MILLISECONDS = 600;
/** Time between tokens on a busy engine, in milliseconds. */
const TOKEN_MILLISECONDS = 12;

/** Whether a generation of the expected length ends within the time left. */
export function endsInTime(
  expectedTokens: number,
  leftMilliseconds: number,
): boolean {
  const expected =
    FIRST_TOKEN_MILLISECONDS + expectedTokens * TOKEN_MILLISECONDS;
  return expected <= leftMilliseconds;
}
