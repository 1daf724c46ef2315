/** The generation speed of engines, measured on complete streams. */
import * as ava from 'ava';
import * as tokenPace from '../../../src/gateway/common/token_pace';

const test = ava.default;

test('pace: each endpoint is assumed slow until its first stream is complete', t => {
  const pace = new tokenPace.TokenPace();
  t.is(pace.get('writers'), 12);
  pace.add('writers', 8_000, 1_000);
  t.is(pace.get('writers'), 8);
  t.is(pace.get('others'), 12);
});

test('pace: the average follows slower engines over several streams, and ignores short streams', t => {
  const pace = new tokenPace.TokenPace();
  pace.add('writers', 8_000, 1_000);
  pace.add('writers', 5_000, 12);
  t.is(pace.get('writers'), 8);
  for (let stream = 0; stream < 20; stream++) {
    pace.add('writers', 16_000, 1_000);
  }
  t.true(pace.get('writers') > 15.5);
});
