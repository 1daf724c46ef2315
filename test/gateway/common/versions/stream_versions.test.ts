/** Streams and the versions that began them. */
import * as ava from 'ava';
import * as streamVersions from '../../../../src/gateway/common/versions/stream_versions';

const test = ava.default;
const {STREAM_LIFETIME_MILLISECONDS, StreamVersions} = streamVersions;

test('stream versions: the version that began a stream is kept', t => {
  const streams = new StreamVersions();
  streams.record('a', 'v1', 0);
  streams.record('a', 'v2', 1);
  t.is(streams.find('a', 2), 'v1');
  t.is(streams.find('b', 2), undefined);
});

test('stream versions: a stream is forgotten some time after it was last resumed', t => {
  const streams = new StreamVersions();
  streams.record('a', 'v1', 0);
  t.is(streams.find('a', STREAM_LIFETIME_MILLISECONDS), 'v1');
  t.is(streams.find('a', 2 * STREAM_LIFETIME_MILLISECONDS), 'v1');
  t.is(streams.find('a', 3 * STREAM_LIFETIME_MILLISECONDS + 1), undefined);
});

test('stream versions: the table is bounded, and so are ids', t => {
  const streams = new StreamVersions();
  for (let index = 0; index < 40_000; index++) {
    streams.record(`a${index}`, 'v1', index);
  }
  streams.record('x'.repeat(65), 'v1', 40_000);
  streams.record('', 'v1', 40_000);
  t.true(streams.size <= 16_384);
  t.is(streams.find('a39999', 40_000), 'v1');
  t.is(streams.find('x'.repeat(65), 40_000), undefined);
});

test('stream versions: each stream is shared once, the latest if there are many', t => {
  const streams = new StreamVersions();
  streams.record('a', 'v1', 0, false);
  streams.record('b', 'v1', 1, true);
  streams.record('c', 'v1', 2, false);
  t.deepEqual(streams.share(1), [['c', 'v1']]);
  t.deepEqual(streams.share(5), [['a', 'v1']]);
  t.deepEqual(streams.share(5), []);
});
