/** Limits as replicas write them. */
import * as ava from 'ava';
import * as limitCodec from '../../src/platform/limit_codec';

const test = ava.default;

test('limit codec: decimal numbers are rates', t => {
  const rates = ['2.0', '3', '0', '.5', '7.', ' 1.9 '].map(
    text => limitCodec.decodeLimit(text)?.requestsPerSecond,
  );
  t.deepEqual(rates, [2, 3, 0, 0.5, 7, 1.9]);
});

test('limit codec: other values are a limit that cannot be read, and their text is bounded', t => {
  const values = [
    '-1',
    'NaN',
    '1e400',
    '1e3',
    '',
    'fast',
    '2, 3',
    '9'.repeat(400),
  ];
  for (const value of values) {
    const limit = limitCodec.decodeLimit(value);
    t.truthy(limit, value);
    t.is(limit!.requestsPerSecond, undefined, value);
    t.true(limit!.text.length <= 40);
  }
});

test('limit codec: an answer without the header names no limit', t => {
  t.is(limitCodec.decodeLimit(undefined), undefined);
});
