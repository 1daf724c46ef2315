/** Tokens that accrue at a rate. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as rateBucket from '../../../src/gateway/common/rate_bucket';

const test = ava.default;
const RATE = 4;
const CAPACITY = 3;

test('rate bucket: it starts empty and accrues whole tokens up to its capacity', t => {
  const bucket = new rateBucket.RateBucket(0);
  t.is(bucket.take(1, RATE, CAPACITY, 0), 0);
  t.is(bucket.millisecondsToNext(RATE), 250);
  t.is(bucket.take(1, RATE, CAPACITY, 250), 1);
  t.is(bucket.take(9, RATE, CAPACITY, 60_000), CAPACITY);
  t.is(bucket.take(1, RATE, CAPACITY, 60_000), 0);
});

test('rate bucket: no schedule gets more than the capacity and the rate give', t => {
  const step = fastCheck.tuple(
    fastCheck.integer({min: 0, max: 2_000}),
    fastCheck.integer({min: 0, max: 5}),
  );
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step), steps => {
      const bucket = new rateBucket.RateBucket(0, CAPACITY);
      let now = 0;
      let taken = 0;
      for (const [milliseconds, wanted] of steps) {
        now += milliseconds;
        taken += bucket.take(wanted, RATE, CAPACITY, now);
      }
      return taken <= CAPACITY + (RATE * now) / 1000;
    }),
    {seed: 20_261_204},
  );
  t.pass();
});
