/** The stored journal of running streams. */
import * as ava from 'ava';
import * as streamJournal from '../../../../src/gateway/common/versions/stream_journal';
import * as streamVersions from '../../../../src/gateway/common/versions/stream_versions';

const test = ava.default;
const {StreamJournal, parseStreams} = streamJournal;
const NOW = 1_000_000;
const DUE = NOW + 1_000;

test('stream journal: short streams are not stored, so that they cost no call', t => {
  const journal = new StreamJournal();
  journal.add('a', 'v1', NOW);
  t.is(journal.pending(NOW + 100), undefined);
  journal.complete('a');
  t.is(journal.pending(DUE), undefined);
});

test('stream journal: a stream is stored once, with those that are still open', t => {
  const journal = new StreamJournal();
  journal.add('a', 'v1', NOW);
  const first = journal.pending(DUE)!;
  t.deepEqual(first, [['a', 'v1', NOW]]);
  journal.markStored(first);
  t.is(journal.pending(DUE), undefined);
  journal.add('b', 'v2', DUE);
  t.deepEqual(
    journal.pending(DUE + 1_000)!.map(([id]) => id),
    ['a', 'b'],
  );
  journal.complete('a');
  t.deepEqual(
    journal.pending(DUE + 1_000)!.map(([id]) => id),
    ['b'],
  );
});

test('stream journal: what an earlier process stored is kept by the first write', t => {
  const journal = new StreamJournal();
  journal.add('b', 'v2', NOW);
  journal.restore([['a', 'v1', NOW - 5_000]]);
  t.deepEqual(
    journal.pending(DUE)!.map(([id]) => id),
    ['a', 'b'],
  );
});

test('stream journal: it is bounded, and forgets streams that cannot be resumed any more', t => {
  const journal = new StreamJournal();
  for (let index = 0; index < 2 * streamJournal.MAX_STREAMS; index++) {
    journal.add(`s-${index}`, 'v1', NOW);
  }
  t.is(journal.pending(DUE)!.length, streamJournal.MAX_STREAMS);
  const later = NOW + streamVersions.STREAM_LIFETIME_MILLISECONDS + 1;
  t.is(journal.pending(later), undefined);
});

test('stream journal: content of another kind holds no streams', t => {
  for (const content of [undefined, 3, {streams: 'a'}, {streams: [['a']]}]) {
    t.deepEqual(parseStreams(content, NOW), []);
  }
  t.deepEqual(parseStreams({streams: [['a', 'v1', 0]]}, NOW), []);
});
