/** Time for which this thread was ready to run but the kernel ran others. */
import * as fs from 'node:fs';

/** The kernel's account of this thread: nanoseconds on a processor, nanoseconds ready but not running, number of turns. */
const SCHEDULER_STATISTICS = '/proc/thread-self/schedstat';
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Times read together, in milliseconds. */
export interface ThreadTimes {
  /** Monotonic time. */
  readonly now: number;
  /** Sum of the times that the thread waited for a processor. */
  readonly waited: number;
}

/** Reads the times of this thread; `waited` is 0 where the kernel keeps no account. */
export function readThreadTimes(): ThreadTimes {
  for (;;) {
    const waited = readWaited();
    const now = performance.now();
    // A wait between the two reads would be counted in the wrong interval.
    if (waited === readWaited()) {
      return {now, waited};
    }
  }
}

function readWaited(): number {
  if (!fs.existsSync(SCHEDULER_STATISTICS)) {
    return 0;
  }
  const fields = fs.readFileSync(SCHEDULER_STATISTICS, 'latin1').split(' ');
  return Number(fields[1]) / NANOSECONDS_PER_MILLISECOND;
}
