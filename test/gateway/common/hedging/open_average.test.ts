/** Estimate of the requests that all gateways have open at an endpoint. */
import * as ava from 'ava';
import * as openAverage from '../../../../src/gateway/common/hedging/open_average';

const test = ava.default;

/** One request a second that is open for the time, for a minute. */
function load(openMilliseconds: number): openAverage.OpenAverage {
  const average = new openAverage.OpenAverage();
  for (let second = 0; second < 60; second++) {
    average.change('e', 1, second * 1_000);
    average.change('e', -1, second * 1_000 + openMilliseconds);
  }
  return average;
}

test('open average: one open request at each of many gateways is not taken for one at all times', t => {
  const average = load(100);
  average.change('e', 1, 60_000);
  const estimate = average.estimate('e', 24, 60_000);
  t.true(estimate > 1.5 && estimate < 3.5, String(estimate));
});

test('open average: gateways whose requests stay open are counted', t => {
  const estimate = load(900).estimate('e', 24, 59_900);
  t.true(estimate > 20 && estimate <= 24, String(estimate));
});

test('open average: a burst of this gateway counts at once', t => {
  const average = new openAverage.OpenAverage();
  for (let count = 0; count < 30; count++) {
    average.change('e', 1, 0);
  }
  t.is(average.estimate('e', 1, 0), 30);
  t.is(average.estimate('f', 1, 0), 0);
});

test('open average: load that has ended is forgotten', t => {
  t.true(load(900).estimate('e', 24, 90_000) < 0.1);
});
