/** Keeps a part of the source's state up to date: reads it, watches it, and reads it again after a failure. */
import * as deadline from '../../base/common/deadline';
import * as sourceBackOff from './source_back_off';

/** Interval of checks whether this gateway has to watch the source again, in milliseconds. */
const DUTY_CHECK_INTERVAL_MILLISECONDS = 200;

/** State that is read and watched. */
export interface FollowedState {
  hasState(): boolean;
  /** Whether this gateway has to watch the source, rather than peers on its behalf. */
  isOnDuty(): boolean;
  isOver(): boolean;
  /** Reads the state; returns whether that succeeded. */
  read(): Promise<boolean>;
  /** Waits for changes; returns whether that succeeded. */
  watch(): Promise<boolean>;
}

/**
 * Reads once, then watches, and reads again after a failure. Only a successful
 * watch resets the backoff: otherwise a source that answers reads but drops
 * watches would be called without pause.
 */
export async function follow(state: FollowedState): Promise<void> {
  let failures = 0;
  let isCurrent = false;
  while (!state.isOver()) {
    if (!isCurrent || !state.hasState()) {
      isCurrent = await state.read();
      failures += isCurrent ? 0 : 1;
    } else if (!state.isOnDuty()) {
      await deadline.delay(DUTY_CHECK_INTERVAL_MILLISECONDS);
      // When this gateway has to watch again, it first reads the state.
      isCurrent = !state.isOnDuty();
      continue;
    } else {
      isCurrent = await state.watch();
      failures = isCurrent ? 0 : failures + 1;
    }
    if (!isCurrent) {
      await sourceBackOff.backOff(failures);
    }
  }
}
