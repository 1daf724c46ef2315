/** Cold instances by registrations, answers and what peers tell, in any order. */
import * as ava from 'ava';
import * as instanceLimits from '../../../../src/gateway/common/limits/instance_limits';
import * as instanceRates from '../../../../src/gateway/common/limits/instance_rates';
import * as limitPolicy from '../../../../src/gateway/common/limits/limit_policy';
import * as warmUps from '../../../../src/gateway/common/limits/warm_ups';

const test = ava.default;
const LIFE = 'i-1/1';

// A time that starts anew with each look would keep the instance cold.
test('warm-ups: the time counts down from the arrival of the registration', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration(LIFE, 4_000, 7, 1_000);
  t.is(cold.leftMilliseconds(LIFE, 3_000), 2_000);
  t.true(cold.isCold(LIFE, 4_999));
  t.false(cold.isCold(LIFE, 5_000));
});

// The instance would be overrun after its second start, or stay at its ramp.
test('warm-ups: a later registration and a later answer set a new time, longer or shorter', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration(LIFE, 4_000, 7, 0);
  cold.recordAnswer(LIFE, 9_000, 1_000);
  t.is(cold.leftMilliseconds(LIFE, 1_000), 9_000);
  cold.recordAnswer(LIFE, 0, 2_000);
  t.false(cold.isCold(LIFE, 2_000));
  cold.recordRegistration(LIFE, 4_000, 8, 3_000);
  t.is(cold.leftMilliseconds(LIFE, 3_000), 4_000);
  cold.recordRegistration(LIFE, 0, 0, 3_500);
  t.false(cold.isCold(LIFE, 3_500));
});

test('warm-ups: an instance that was never cold is not recorded', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration(LIFE, 0, 0, 0);
  cold.recordAnswer(LIFE, 0, 0);
  t.is(cold.size, 0);
});

// A gateway that has just started reads old registrations as new ones.
test('warm-ups: of two gateways with the same registration the one that received it first knows best', t => {
  const early = new warmUps.WarmUps();
  const late = new warmUps.WarmUps();
  early.recordRegistration(LIFE, 4_000, 7, 0);
  late.recordRegistration(LIFE, 4_000, 7, 10_000);
  early.applyUpdate(LIFE, late.updateFor(LIFE, 10_000)!, 10_000);
  t.false(early.isCold(LIFE, 10_000));
  late.applyUpdate(LIFE, early.updateFor(LIFE, 10_000)!, 10_000);
  t.false(late.isCold(LIFE, 10_000));
});

// Old news would end a new cold time, or bring an old one back.
test('warm-ups: what peers know of an older registration changes nothing', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration(LIFE, 4_000, 8, 0);
  cold.applyUpdate(LIFE, [0, 0, 7, 0], 10);
  cold.applyUpdate(LIFE, [0, 0, 7, 1], 10);
  t.is(cold.leftMilliseconds(LIFE, 10), 3_990);
  cold.recordAnswer(LIFE, 0, 100);
  cold.applyUpdate(LIFE, [9_000, 200, 8, 1], 200);
  cold.applyUpdate(LIFE, [9_000, 0, 8, 0], 200);
  t.false(cold.isCold(LIFE, 200));
  cold.applyUpdate(LIFE, [9_000, 10, 8, 1], 200);
  t.true(cold.isCold(LIFE, 200));
});

test('warm-ups: a coordinator that has not read the registration takes it from its peer, and its own does not start the time anew', t => {
  const cold = new warmUps.WarmUps();
  cold.applyUpdate(LIFE, [4_000, 0, 7, 0], 0);
  cold.recordRegistration(LIFE, 4_000, 7, 1_000);
  t.is(cold.leftMilliseconds(LIFE, 1_000), 3_000);
});

// Every answer of a cold instance names its time, so that each would be a message to all.
test('warm-ups: peers are told of answers that say something new, and only of answers', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration(LIFE, 4_000, 7, 0);
  t.deepEqual(cold.toRelay(0), []);
  cold.recordAnswer(LIFE, 3_900, 100);
  cold.recordAnswer(LIFE, 3_500, 500);
  t.is(cold.ownChangeCount, 0);
  cold.recordAnswer(LIFE, 9_000, 600);
  t.is(cold.ownChangeCount, 1);
  t.deepEqual(cold.toRelay(700), [[LIFE, 8_900, 100, 7, 1]]);
  cold.recordAnswer(LIFE, 1_000, 8_600);
  t.deepEqual(cold.toRelay(11_000), []);
  const peer = new warmUps.WarmUps();
  peer.merge(cold.toRelay(700), 700);
  t.is(peer.leftMilliseconds(LIFE, 700), 8_900);
});

test('warm-ups: the table and what peers are told are bounded', t => {
  const cold = new warmUps.WarmUps();
  for (let index = 0; index < 10_000; index++) {
    cold.recordAnswer(`i-${index}/1`, 5_000, 0);
  }
  t.true(cold.size <= 4_096);
  t.is(cold.toRelay(0).length, 16);
});

test('warm-ups: a change is announced when an instance becomes cold or warm, not for each answer', t => {
  const cold = new warmUps.WarmUps();
  const changes: string[] = [];
  cold.onDidChange.subscribe(({leftMilliseconds, origin}) =>
    changes.push(`${leftMilliseconds} ${origin}`),
  );
  cold.recordRegistration(LIFE, 4_000, 7, 0);
  cold.recordAnswer(LIFE, 3_900, 100);
  cold.recordAnswer(LIFE, 0, 200);
  cold.applyUpdate(LIFE, [1_000, 0, 7, 1], 300);
  t.deepEqual(changes, ['4000 registration', '0 answer', '1000 peer']);
});

for (const [limit, ramp, expected] of [
  [undefined, 5, 4.25],
  [2, 5, 1.8],
  [60, 5, 4.25],
  [0, 5, 0.25],
  [2, undefined, 1.8],
] as const) {
  test(`rates: with a limit of ${limit} and a ramp of ${ramp}, ${expected} permits a second are issued`, t => {
    const limits = new instanceLimits.InstanceLimits();
    const cold = new warmUps.WarmUps();
    if (limit !== undefined) {
      const answer = {requestsPerSecond: limit, text: ''};
      limits.recordAnswer(LIFE, {limit: answer, isSuccess: true, sentAt: 0}, 0);
    }
    if (ramp !== undefined) {
      cold.recordRegistration(LIFE, 4_000, 7, 0);
    }
    const rates = new instanceRates.InstanceRates(limits, cold, () => 5);
    const allowance = rates.allowanceOf(LIFE, 0)!;
    t.is(limitPolicy.permitsPerSecond(allowance), expected);
  });
}

test('rates: a cold instance of a service without a ramp is not limited', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration(LIFE, 4_000, 7, 0);
  const limits = new instanceLimits.InstanceLimits();
  const rates = new instanceRates.InstanceRates(limits, cold, () => 0);
  t.is(rates.allowanceOf(LIFE, 0), undefined);
});
