/** Only complete events are returned, however the stream is divided into chunks. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as eventSplitter from '../../../src/gateway/common/event_splitter';

const test = ava.default;

function makeText(count: number, lineEnd: string): string {
  return Array.from({length: count}, (_, index) =>
    ['weights: 1', `id: ${index}`, `data: piece ${index}`, '', ''].join(
      lineEnd,
    ),
  ).join('');
}

test('events: any division into chunks results in the same events, and never in part of one', t => {
  const lineEnds = fastCheck.constantFrom('\n', '\r\n');
  const cuts = fastCheck.array(fastCheck.integer({min: 0, max: 200}));
  fastCheck.assert(
    fastCheck.property(lineEnds, cuts, (lineEnd, positions) => {
      const bytes = Buffer.from(makeText(5, lineEnd));
      const splitter = new eventSplitter.EventSplitter();
      const bounds = [
        0,
        ...positions.filter(at => at < bytes.length),
        bytes.length,
      ].sort((a, b) => a - b);
      const ids: string[] = [];
      let received = '';
      for (let index = 1; index < bounds.length; index++) {
        const events = splitter.push(
          bytes.subarray(bounds[index - 1], bounds[index]),
        );
        if (events !== undefined) {
          t.is(events.ends[events.ends.length - 1], events.bytes.length);
          ids.push(...events.ids);
          received += events.bytes.toString();
        }
      }
      t.deepEqual(ids, ['0', '1', '2', '3', '4']);
      t.is(received, bytes.toString());
      t.is(splitter.pendingBytes, 0);
    }),
    {seed: 3, numRuns: 200},
  );
});

test('events: the bytes of an incomplete event are held back and counted until it is complete', t => {
  const splitter = new eventSplitter.EventSplitter();
  const events = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))!;
  t.deepEqual(events.ids, ['1']);
  t.is(events.bytes.toString(), 'id: 1\ndata: a\n\n');
  t.is(splitter.pendingBytes, 'id: 2\nda'.length);
  const completed = splitter.push(Buffer.from('ta: b\n\n'))!;
  t.deepEqual(completed.ids, ['2']);
  t.is(completed.bytes.toString(), 'id: 2\ndata: b\n\n');
  t.is(splitter.pendingBytes, 0);
});
