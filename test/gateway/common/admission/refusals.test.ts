/** When refused callers may return, and how they are recognized. */
import * as ava from 'ava';
import * as refusedCallers from '../../../../src/gateway/common/admission/refused_callers';
import * as startForecast from '../../../../src/gateway/common/admission/start_forecast';

const test = ava.default;
const FULL = {
  places: 24,
  taken: 24,
  servedMilliseconds: 1_500,
  ahead: 0,
  share: 1,
};

// Guards against refusals while places are free or nothing is known.
test('forecast: no wait with free places, the time of the next free ones otherwise', t => {
  t.is(startForecast.expectedWait({...FULL, taken: 23}), 0);
  t.is(startForecast.expectedWait({...FULL, ahead: 15}), 1_000);
  t.is(startForecast.expectedWait({...FULL, ahead: 15, share: 0.5}), 2_000);
  t.is(
    startForecast.expectedWait({...FULL, servedMilliseconds: undefined}),
    undefined,
  );
});

// Guards against callers that return at once, or never.
test('forecast: a caller returns when the wait fits its objective, within bounds', t => {
  t.is(startForecast.returnDelay(3_000, 600), 2_400);
  t.is(startForecast.returnDelay(0, 600), 250);
  t.is(startForecast.returnDelay(1e9, 600), 10_000);
});

// Guards against a table that grows with callers, and places that one refusal gives twice.
test('refused callers: each refusal is taken once, for a time, from a bounded table', t => {
  const refused = new refusedCallers.RefusedCallers();
  refused.add('a', 10, 20);
  t.is(refused.take('b', 30), undefined);
  t.is(refused.take('a', 30), 10);
  t.is(refused.take('a', 30), undefined);
  refused.add('a', 10, 20);
  t.is(refused.take('a', 60_000), undefined);
  for (let index = 0; index < 10_000; index++) {
    refused.add(String(index), 0, 0);
  }
  t.true(refused.size <= 2_048);
});
