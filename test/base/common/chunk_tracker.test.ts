import * as ava from 'ava';
import * as chunkTracker from '../../../src/base/common/chunk_tracker';

const test = ava.default;
const BODY = '5\r\nhello\r\nA;name="5"\r\n0123456789\r\n001\r\n5\r\n0\r\n\r\n';

for (const size of [1, 2, 3, 7, BODY.length]) {
  test(`chunks: content is counted in parts of ${size} bytes`, t => {
    const tracker = new chunkTracker.ChunkTracker();
    for (let at = 0; at < BODY.length; at += size) {
      tracker.push(Buffer.from(BODY.slice(at, at + size)));
    }
    t.is(tracker.contentBytes, 16);
    t.is(tracker.missingBytes, 0);
  });
}

test('chunks: the rest of a chunk is known', t => {
  const tracker = new chunkTracker.ChunkTracker();
  tracker.push(Buffer.from('fF\r\nabc'));
  t.is(tracker.missingBytes, 252);
});
