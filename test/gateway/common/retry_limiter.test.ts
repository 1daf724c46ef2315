/** The retry budget, which gateways share without communicating. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as retryLimiter from '../../../src/gateway/common/retry_limiter';

const test = ava.default;
const POLICY = {windowMilliseconds: 10_000, ratio: 0.2, allowance: 54};

test('retries: when every request fails, all gateways together stay within the budget of any window', t => {
  const send = fastCheck.record({
    gateway: fastCheck.integer({min: 0, max: 3}),
    pause: fastCheck.integer({min: 0, max: 40}),
  });
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(send, {minLength: 500, maxLength: 2_000}),
      sends => {
        const limiters = Array.from(
          {length: 4},
          () => new retryLimiter.RetryLimiter(POLICY),
        );
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const {gateway, pause} of sends) {
          now += pause;
          limiters[gateway].recordRequest('e', now);
          requests.push(now);
          if (limiters[gateway].tryAcquire('e', 4, now)) {
            retries.push(now);
          }
        }
        for (const end of retries) {
          const within = (times: number[]) =>
            times.filter(
              at => at > end - POLICY.windowMilliseconds && at <= end,
            ).length;
          const bound = POLICY.ratio * within(requests) + POLICY.allowance;
          t.true(within(retries) <= bound);
        }
      },
    ),
    {seed: 11, numRuns: 20},
  );
});

test('retries: a used-up share is restored when the window has passed', t => {
  const limiter = new retryLimiter.RetryLimiter(POLICY);
  let spent = 0;
  while (limiter.tryAcquire('e', 4, 0)) {
    spent++;
  }
  t.true(spent > 0);
  t.false(limiter.tryAcquire('e', 4, 5_000));
  t.true(limiter.tryAcquire('e', 4, 11_000));
});

test('retries: one endpoint does not use the share of another', t => {
  const limiter = new retryLimiter.RetryLimiter(POLICY);
  while (limiter.tryAcquire('e', 4, 0)) {
    // Uses up the whole share.
  }
  t.true(limiter.tryAcquire('f', 4, 0));
});
