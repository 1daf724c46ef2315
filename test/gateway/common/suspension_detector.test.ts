/** Suspensions of the process and of its machine. */
import * as ava from 'ava';
import * as suspensionDetector from '../../../src/gateway/common/suspension_detector';

const test = ava.default;

function detector(): suspensionDetector.SuspensionDetector {
  return new suspensionDetector.SuspensionDetector(1_000, 50_000);
}

test('suspension: regular and delayed checks are none', t => {
  const each = detector();
  t.is(each.check(1_200, 50_200), undefined);
  t.is(each.check(2_600, 51_600), undefined);
});

test('suspension: a stopped process is seen by both clocks, once', t => {
  const each = detector();
  t.is(each.check(5_000, 54_000), 4_000);
  t.is(each.check(5_200, 54_200), undefined);
});

test('suspension: a suspended machine is seen by the time of day alone', t => {
  const each = detector();
  t.is(each.check(1_200, 58_000), 8_000);
  t.is(each.check(1_400, 58_200), undefined);
});

test('suspension: a clock that is set back is none', t => {
  const each = detector();
  t.is(each.check(1_200, 20_000), undefined);
  t.is(each.check(1_400, 20_200), undefined);
});
