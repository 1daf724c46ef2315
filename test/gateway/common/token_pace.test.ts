/** The pace of engines as seen in whole streams. */
import * as ava from 'ava';
import * as tokenPace from '../../../src/gateway/common/token_pace';

const test = ava.default;

test('pace: assumed slow until a stream was seen, and by endpoint', t => {
  const pace = new tokenPace.TokenPace();
  t.is(pace.get('writers'), 12);
  pace.add('writers', 8_000, 1_000);
  t.is(pace.get('writers'), 8);
  t.is(pace.get('others'), 12);
});

test('pace: follows slower engines over some streams, and ignores short answers', t => {
  const pace = new tokenPace.TokenPace();
  pace.add('writers', 8_000, 1_000);
  pace.add('writers', 5_000, 12);
  t.is(pace.get('writers'), 8);
  for (let stream = 0; stream < 20; stream++) {
    pace.add('writers', 16_000, 1_000);
  }
  t.true(pace.get('writers') > 15.5);
});
