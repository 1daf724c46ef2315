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

// Guards against an instance that sends bytes without an event boundary until memory runs out.
test('events: an event beyond the maximum size is given up, and none of its bytes are held', t => {
  const splitter = new eventSplitter.EventSplitter();
  const chunk = Buffer.alloc(65_536, 'x');
  let held = 0;
  for (let count = 0; count < 64; count++) {
    t.is(splitter.push(chunk), undefined);
    held = Math.max(held, splitter.pendingBytes);
  }
  t.true(splitter.isOversized);
  t.true(held <= eventSplitter.MAX_EVENT_BYTES);
  t.is(splitter.pendingBytes, 0);
  t.is(splitter.push(Buffer.from('\n\nid: 1\n\n')), undefined);
});

// Guards against a search that starts anew at each chunk, whose work grows with the square of an event's size.
test('events: an event that arrives byte by byte is examined and copied a bounded number of times', t => {
  const splitter = new eventSplitter.EventSplitter();
  const byte = Buffer.from('x');
  let copied = 0;
  const original = byte.copy.bind(byte);
  byte.copy = ((...target: Parameters<typeof original>) => {
    copied++;
    return original(...target);
  }) as typeof byte.copy;
  const length = eventSplitter.MAX_EVENT_BYTES - 2;
  for (let count = 0; count < length; count++) {
    t.is(splitter.push(byte), undefined);
  }
  t.is(copied, length);
  const events = splitter.push(Buffer.from('\n\n'))!;
  t.is(events.bytes.length, eventSplitter.MAX_EVENT_BYTES);
});

test('events: an empty line may begin in one chunk and end in another', t => {
  for (const [chunks, count] of [
    [['id: 1\n', '\n'], 1],
    [['id: 1\r\n\r', '\n'], 1],
    [['id: 1\n\r', 'x\n', '\n'], 1],
    [['id: 1\n', 'x', '\n'], 0],
  ] as const) {
    const splitter = new eventSplitter.EventSplitter();
    const events = chunks
      .map(chunk => splitter.push(Buffer.from(chunk)))
      .filter(each => each !== undefined);
    t.is(events.length, count, JSON.stringify(chunks));
  }
});
