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
