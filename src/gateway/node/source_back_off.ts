/** Pauses between calls to a source that fails. */
import * as deadline from '../../base/common/deadline';

/** Pause after the second failed call since the last successful watch, in milliseconds; doubled with each further failure. */
const MIN_BACKOFF_MILLISECONDS = 100;
const MAX_BACKOFF_MILLISECONDS = 1_000;
const MAX_DOUBLINGS = 8;

/** Waits after a number of failed calls in a row; not after the first one, since a lost connection is made again at once. */
export async function backOff(failures: number): Promise<void> {
  if (failures <= 1) {
    return;
  }
  const pause =
    MIN_BACKOFF_MILLISECONDS * 2 ** Math.min(failures - 2, MAX_DOUBLINGS);
  await deadline.delay(
    deadline.jittered(Math.min(MAX_BACKOFF_MILLISECONDS, pause)),
  );
}
