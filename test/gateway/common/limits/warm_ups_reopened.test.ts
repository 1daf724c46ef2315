/** Times at which cold instances become warm. */
import * as ava from 'ava';
import * as warmUps from '../../../../src/gateway/common/limits/warm_ups';

const test = ava.default;

test('warm-ups: an instance of a reopened data centre counts as cold although its registration says that it is warm', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration('i/1', 0, 3, 0);
  cold.extend('i/1', 1_000, 100);
  t.is(cold.leftMilliseconds('i/1', 100), 1_000);
  t.false(cold.isCold('i/1', 1_100));
});

test('warm-ups: reopening does not shorten the time that an instance has named', t => {
  const cold = new warmUps.WarmUps();
  cold.recordAnswer('i/1', 5_000, 0);
  cold.extend('i/1', 1_000, 100);
  t.is(cold.leftMilliseconds('i/1', 100), 4_900);
});

test('warm-ups: a later registration of an instance of a reopened data centre still counts', t => {
  const cold = new warmUps.WarmUps();
  cold.recordRegistration('i/1', 0, 3, 0);
  cold.extend('i/1', 1_000, 100);
  cold.recordRegistration('i/1', 8_000, 4, 200);
  t.is(cold.leftMilliseconds('i/1', 200), 8_000);
});
