/** Limits as instances name them in answers that overtake each other. */
import * as ava from 'ava';
import * as instanceLimits from '../../../../src/gateway/common/limits/instance_limits';

const test = ava.default;
const LIFE = 'i-1/1';

function answer(
  requestsPerSecond: number | undefined,
  sentAt: number,
  isSuccess = true,
): instanceLimits.LimitObservation {
  const limit = {requestsPerSecond, text: String(requestsPerSecond)};
  return {limit, sentAt, isSuccess};
}

function answerWithout(
  sentAt: number,
  isSuccess = true,
): instanceLimits.LimitObservation {
  return {limit: undefined, sentAt, isSuccess};
}

test('instance limits: the latest answer counts', t => {
  const limits = new instanceLimits.InstanceLimits();
  limits.recordAnswer(LIFE, answer(2, 0), 10);
  limits.recordAnswer(LIFE, answer(3, 5), 20);
  t.is(limits.get(LIFE), 3);
  t.is(limits.get('i-1/2'), undefined);
});

test('instance limits: a limit ends with an answer to a request that was sent after it was named', t => {
  const limits = new instanceLimits.InstanceLimits();
  limits.recordAnswer(LIFE, answer(2, 0), 10);
  limits.recordAnswer(LIFE, answerWithout(5), 20);
  t.is(limits.get(LIFE), 2);
  limits.recordAnswer(LIFE, answerWithout(15), 30);
  t.is(limits.get(LIFE), undefined);
});

test('instance limits: failures and rejections without a limit end none', t => {
  const limits = new instanceLimits.InstanceLimits();
  limits.recordAnswer(LIFE, answer(2, 0), 10);
  limits.recordAnswer(LIFE, answerWithout(15, false), 30);
  t.is(limits.get(LIFE), 2);
});

test('instance limits: a limit that cannot be read changes nothing', t => {
  const limits = new instanceLimits.InstanceLimits();
  limits.recordAnswer(LIFE, answer(undefined, 0), 10);
  t.is(limits.get(LIFE), undefined);
  limits.recordAnswer(LIFE, answer(2, 15), 20);
  limits.recordAnswer(LIFE, answer(undefined, 25), 30);
  t.is(limits.get(LIFE), 2);
});

test('instance limits: changes are announced once', t => {
  const limits = new instanceLimits.InstanceLimits();
  const changes: instanceLimits.LimitChange[] = [];
  limits.onDidChange.subscribe(change => changes.push(change));
  limits.recordAnswer(LIFE, answerWithout(0), 5);
  limits.recordAnswer(LIFE, answer(2, 0), 10);
  limits.recordAnswer(LIFE, answer(2, 12), 20);
  limits.recordAnswer(LIFE, answerWithout(25), 30);
  t.deepEqual(changes, [
    {life: LIFE, requestsPerSecond: 2, previous: undefined},
    {life: LIFE, requestsPerSecond: undefined, previous: 2},
  ]);
});

test('instance limits: peers are told of the latest limits and ends, and a limit that has ended does not come back', t => {
  const limits = new instanceLimits.InstanceLimits();
  limits.recordAnswer(LIFE, answer(2, 0), 10);
  t.deepEqual(limits.toRelay(15), [[LIFE, 2, 5]]);
  limits.recordAnswer(LIFE, answerWithout(20), 25);
  t.deepEqual(limits.toRelay(30), [[LIFE, null, 10]]);
  limits.merge([[LIFE, 2, 25]], 30);
  t.is(limits.get(LIFE), undefined);
  limits.merge([[LIFE, 3, 5]], 30);
  t.is(limits.get(LIFE), 3);
});

test('instance limits: ends are forgotten after a while, limits are not', t => {
  const limits = new instanceLimits.InstanceLimits();
  limits.recordAnswer('i-1/1', answer(2, 0), 10);
  limits.recordAnswer('i-2/1', answer(2, 0), 10);
  limits.recordAnswer('i-2/1', answerWithout(20), 25);
  limits.toRelay(100_000);
  t.is(limits.size, 1);
  t.is(limits.get('i-1/1'), 2);
  t.deepEqual(limits.toRelay(100_000), []);
});

test('instance limits: the table and what peers are told are bounded', t => {
  const limits = new instanceLimits.InstanceLimits();
  for (let index = 0; index < 10_000; index++) {
    limits.recordAnswer(`i-${index}/1`, answer(2, 0), 10);
  }
  t.true(limits.size <= 4_096);
  t.is(limits.toRelay(20).length, 16);
});
