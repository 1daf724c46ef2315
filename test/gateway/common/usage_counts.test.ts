/** Counts for the log: what was not counted is 0, and keys are bounded. */
import * as ava from 'ava';
import * as usageCounts from '../../../src/gateway/common/usage_counts';

const test = ava.default;

enum Event {
  First = 'first',
  Second = 'second',
}

test('usage counts: events are counted by key, and again from 0 once they were taken', t => {
  const counts = new usageCounts.UsageCounts(Object.values(Event));
  counts.record('a', Event.First);
  counts.record('a', Event.First);
  counts.record('b', Event.Second);
  t.deepEqual(
    [...counts.take()],
    [
      ['a', {first: 2, second: 0}],
      ['b', {first: 0, second: 1}],
    ],
  );
  t.is(counts.take().size, 0);
});

test('usage counts: keys beyond the bound are left out, and those counted go on', t => {
  const counts = new usageCounts.UsageCounts(Object.values(Event));
  for (let key = 0; key < 1_000; key++) {
    counts.record(`k${key}`, Event.First);
  }
  counts.record('k0', Event.First);
  const taken = counts.take();
  t.is(taken.size, 256);
  t.is(taken.get('k0')?.first, 2);
});
