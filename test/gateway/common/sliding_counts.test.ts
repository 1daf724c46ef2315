/** Counts over a sliding window. */
import * as ava from 'ava';
import * as slidingCounts from '../../../src/gateway/common/sliding_counts';

const test = ava.default;

test('sliding counts: what is older than the window is not counted, whether or not something was added since', t => {
  const counts = new slidingCounts.SlidingCounts(1_000);
  counts.addRequest(0);
  counts.addRequest(500);
  counts.addExtraSend(500);
  t.deepEqual(counts.totals(900), {requests: 2, extraSends: 1});
  t.deepEqual(counts.totals(1_100), {requests: 1, extraSends: 1});
  t.deepEqual(counts.totals(10_000), {requests: 0, extraSends: 0});
});
