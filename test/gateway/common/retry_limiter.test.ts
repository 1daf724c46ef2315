/** The retry budget, which gateways share without communicating. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as retryArrivals from '../../../standins/retry_arrivals';
import * as retryLimiter from '../../../src/gateway/common/retry_limiter';

const test = ava.default;
const POLICY = {windowMilliseconds: 10_000, ratio: 0.2, allowance: 54};
const GATEWAYS = 4;

function createLimiter(
  startedAt: number,
  {
    isFirstStart = false,
    gateways = GATEWAYS,
    policy = POLICY as retryLimiter.RetryPolicy,
  } = {},
): retryLimiter.RetryLimiter {
  return new retryLimiter.RetryLimiter(
    policy,
    {startedAt, isFirstStart},
    () => gateways,
  );
}

/** Repeats of one limiter until it allows no more. */
function spendAll(
  limiter: retryLimiter.RetryLimiter,
  endpoint: string,
  now: number,
): number {
  let spent = 0;
  while (limiter.tryAcquire(endpoint, now)) {
    spent++;
  }
  return spent;
}

const LOAD = fastCheck.array(
  fastCheck.record({
    gateway: fastCheck.integer({min: 0, max: GATEWAYS - 1}),
    pause: fastCheck.integer({min: 0, max: 40}),
    isRestart: fastCheck.integer({min: 0, max: 200}).map(draw => draw === 0),
  }),
  {minLength: 500, maxLength: 2_000},
);

test('retries: when every request fails and gateways restart, all together stay within the budget of any window', t => {
  fastCheck.assert(
    fastCheck.property(LOAD, steps => {
      const limiters = Array.from({length: GATEWAYS}, () =>
        createLimiter(0, {isFirstStart: true}),
      );
      const arrivals = new retryArrivals.RetryArrivals(POLICY);
      let now = 0;
      for (const {gateway, pause, isRestart} of steps) {
        now += pause;
        if (isRestart) {
          limiters[gateway] = createLimiter(now);
        }
        limiters[gateway].recordRequest('e', now);
        arrivals.recordRequest(now);
        const repeats = spendAll(limiters[gateway], 'e', now);
        for (let repeat = 0; repeat < repeats; repeat++) {
          arrivals.recordRepeat(now);
        }
      }
      const {repeats, allowed} = arrivals.worstWindow();
      t.true(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
    }),
    {seed: 11, numRuns: 20},
  );
});

test('retries: requests that end at once leave no more than the budget for the next window', t => {
  const limiters = Array.from({length: GATEWAYS}, () => createLimiter(0));
  const arrivals = new retryArrivals.RetryArrivals(POLICY);
  for (let now = 0; now < 20_000; now += 10) {
    limiters[(now / 10) % GATEWAYS].recordRequest('e', now);
    arrivals.recordRequest(now);
  }
  for (let now = 20_000; now < 40_000; now += 100) {
    for (const limiter of limiters) {
      const repeats = spendAll(limiter, 'e', now);
      for (let repeat = 0; repeat < repeats; repeat++) {
        arrivals.recordRepeat(now);
      }
    }
  }
  const {repeats, allowed} = arrivals.worstWindow();
  t.true(arrivals.repeatCount > POLICY.allowance / 2);
  t.true(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});

test('retries: a restarted gateway gets its share of the allowance as time passes', t => {
  const limiter = createLimiter(0);
  t.is(spendAll(limiter, 'e', 0), 0);
  const early = spendAll(limiter, 'e', 5_000);
  t.true(early > 0);
  const share = POLICY.allowance / GATEWAYS;
  t.true(early + spendAll(limiter, 'e', 10_000) <= share);
  t.true(spendAll(limiter, 'e', 20_000) > 0);
});

test('retries: a gateway that is the first to run has its share at once', t => {
  t.true(spendAll(createLimiter(0, {isFirstStart: true}), 'e', 0) > 0);
});

test('retries: a gateway that does not know the others repeats only for the requests that it received', t => {
  const limiter = createLimiter(0, {gateways: Infinity});
  t.is(spendAll(limiter, 'e', 60_000), 0);
  let repeats = 0;
  for (let request = 0; request < 5_000; request++) {
    limiter.recordRequest('e', 60_000 + request);
    repeats += limiter.tryAcquire('e', 60_000 + request) ? 1 : 0;
  }
  t.true(repeats > 500);
  t.true(repeats <= POLICY.ratio * 5_000, `${repeats} repeats`);
});

test('retries: 200 gateways with less than one repeat each stay within the budget and use half of it', t => {
  const limiters = Array.from({length: 200}, () =>
    createLimiter(0, {gateways: 200}),
  );
  const arrivals = new retryArrivals.RetryArrivals(POLICY);
  for (let now = 0; now < 30_000; now += 5) {
    const limiter = limiters[(now / 5) % limiters.length];
    limiter.recordRequest('e', now);
    arrivals.recordRequest(now);
    if (limiter.tryAcquire('e', now)) {
      arrivals.recordRepeat(now);
    }
  }
  const {repeats, allowed} = arrivals.worstWindow();
  t.true(arrivals.repeatCount >= (POLICY.ratio * 6_000) / 2);
  t.true(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});

test('retries: a change of the policy does not restore what was spent', t => {
  const limiter = createLimiter(0, {isFirstStart: true});
  t.true(spendAll(limiter, 'e', 0) > 0);
  limiter.setPolicy({...POLICY, windowMilliseconds: 5_000});
  t.is(spendAll(limiter, 'e', 0), 0);
});

test('retries: rejected continuations are charged, and are not sent while they exceed what is set aside for them', t => {
  const limiter = createLimiter(0, {isFirstStart: true});
  const left = limiter.left('e', 0);
  t.true(limiter.mayContinue('e', 0));
  limiter.chargeRejection('e', 0);
  t.is(limiter.left('e', 0), left - 1);
  let rejected = 1;
  while (limiter.mayContinue('e', 0)) {
    limiter.chargeRejection('e', 0);
    rejected++;
  }
  t.false(limiter.tryAcquire('e', 0));
  t.true(rejected <= POLICY.allowance / GATEWAYS);
  t.true(limiter.mayContinue('e', 10_000));
});

test('retries: one endpoint does not use the share of another', t => {
  const limiter = createLimiter(0, {isFirstStart: true});
  spendAll(limiter, 'e', 0);
  t.true(limiter.tryAcquire('f', 0));
});

test('retries: endpoints beyond the bound do not restore the share of others', t => {
  const limiter = createLimiter(0, {isFirstStart: true});
  spendAll(limiter, 'e', 0);
  for (let index = 0; index < 5_000; index++) {
    limiter.recordRequest(`other-${index}`, 0);
  }
  t.is(spendAll(limiter, 'e', 0), 0);
});
