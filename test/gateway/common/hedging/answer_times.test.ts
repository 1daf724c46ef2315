/** The time within which most answers of a route arrive. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as pureRand from 'pure-rand';
import * as answerTimes from '../../../../src/gateway/common/hedging/answer_times';

const test = ava.default;
const {AnswerTimes, RouteAnswerTimes, BLOCK_ANSWERS} = answerTimes;

/** Uniform random numbers between 0 and 1. */
function uniformSource(seed: number): () => number {
  const generator = pureRand.xoroshiro128plus(seed);
  return () =>
    pureRand.unsafeUniformIntDistribution(0, 999_999, generator) / 1_000_000;
}

test('answer times: there is no quantile before 20 answers', t => {
  const times = new AnswerTimes();
  for (let count = 1; count < BLOCK_ANSWERS; count++) {
    times.add(10, count);
  }
  t.is(BLOCK_ANSWERS, 20);
  t.is(times.quantile(19), undefined);
  times.add(10, 20);
  t.is(times.quantile(20), 10);
});

test('answer times: about 5 of 100 answers take longer than the quantile', t => {
  const draw = uniformSource(7);
  let longer = 0;
  const rounds = 400;
  for (let round = 0; round < rounds; round++) {
    const times = new AnswerTimes();
    for (let count = 0; count < 180; count++) {
      times.add(-Math.log(1 - draw()), 0);
    }
    longer += Math.exp(-times.quantile(0)!) / rounds;
  }
  t.log(`${(100 * longer).toFixed(2)}% of answers take longer`);
  t.true(longer > 0.04 && longer < 0.06);
});

// A spell must not raise the delay, since hedges would then come too late just when they are needed.
test('answer times: a slow spell of 600 ms at 100 answers a second leaves the quantile as it is', t => {
  const times = new AnswerTimes();
  const draw = uniformSource(3);
  let now = 0;
  const addFor = (milliseconds: number, factor: number) => {
    const end = now + milliseconds;
    for (; now < end; now += 10) {
      times.add((80 + 40 * draw()) * factor, now);
    }
  };
  addFor(3_000, 1);
  t.true(times.quantile(now)! <= 120);
  addFor(600, 2.5);
  t.true(times.quantile(now)! <= 120);
  addFor(200, 1);
  t.true(times.quantile(now)! <= 120);
});

test('answer times: a lasting change is known after 100 answers', t => {
  const times = new AnswerTimes();
  for (let count = 0; count < 180; count++) {
    times.add(10, count);
  }
  for (let count = 0; count < 100; count++) {
    times.add(50, 180 + count);
  }
  t.is(times.quantile(280), 50);
});

test('answer times: answers of more than five minutes ago are not used', t => {
  const times = new AnswerTimes();
  for (let count = 0; count < 20; count++) {
    times.add(10, 0);
  }
  t.is(times.quantile(299_000), 10);
  t.is(times.quantile(301_000), undefined);
  for (let count = 0; count < 20; count++) {
    times.add(30, 302_000);
  }
  t.is(times.quantile(302_000), 30);
});

test('answer times: the quantile is never outside the range of the answers', t => {
  const answers = fastCheck.array(fastCheck.integer({min: 0, max: 5_000}), {
    minLength: 20,
    maxLength: 400,
  });
  fastCheck.assert(
    fastCheck.property(answers, list => {
      const times = new AnswerTimes();
      list.forEach(each => times.add(each, 0));
      const quantile = times.quantile(0)!;
      t.true(quantile >= Math.min(...list) && quantile <= Math.max(...list));
    }),
    {seed: 5, numRuns: 100},
  );
});

test('answer times: routes are separate, and their number is bounded', t => {
  const routes = new RouteAnswerTimes();
  for (let count = 0; count < 20; count++) {
    routes.add('a', 10, 0);
    routes.add('b', 90, 0);
  }
  t.is(routes.quantile('a', 0), 10);
  t.is(routes.quantile('b', 0), 90);
  for (let index = 0; index < 1_000; index++) {
    routes.add(`route-${index}`, 10, 0);
  }
  t.is(routes.size, 256);
  t.is(routes.quantile('a', 0), undefined);
});
