/** Chunks are joined, and taken bytes are not changed by later ones. */
import * as ava from 'ava';
import * as growingBuffer from '../../../src/base/common/growing_buffer';

const test = ava.default;

test('growing buffer: chunks of all sizes are joined in their order', t => {
  const joined = new growingBuffer.GrowingBuffer();
  const chunks = ['a', '', 'bcd', 'e'.repeat(1000), 'f'];
  chunks.forEach(chunk => joined.append(Buffer.from(chunk)));
  t.is(joined.length, chunks.join('').length);
  t.is(joined.take().toString(), chunks.join(''));
  t.is(joined.length, 0);
});

test('growing buffer: bytes that were taken stay as they are when further ones are added', t => {
  const joined = new growingBuffer.GrowingBuffer();
  joined.append(Buffer.from('first'));
  const taken = joined.take();
  joined.append(Buffer.from('other'));
  t.is(taken.toString(), 'first');
});

test('growing buffer: what is taken keeps little unused memory', t => {
  const joined = new growingBuffer.GrowingBuffer();
  for (let count = 0; count < 70_000; count++) {
    joined.append(Buffer.from('x'));
  }
  const taken = joined.take();
  t.is(taken.length, 70_000);
  t.true(taken.buffer.byteLength < 1.5 * taken.length);
});
