/** Account of the bytes that are held for slow readers. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as deliveryBuffers from '../../../src/gateway/common/delivery_buffers';

const test = ava.default;
const {DeliveryBuffers, HeldAnswer} = deliveryBuffers;

/** An answer whose held bytes a test sets. */
class FakeAnswer extends HeldAnswer {
  bytes = 0;
  isCut = false;

  measure(): number {
    return this.bytes;
  }

  cutOff(): void {
    this.isCut = true;
  }
}

function hold(
  buffers: deliveryBuffers.DeliveryBuffers,
  answer: FakeAnswer,
  bytes: number,
): void {
  answer.bytes = bytes;
  buffers.update(answer);
}

test('delivery buffers: a fifth of the memory for all answers, and an eighth of that for one', t => {
  const buffers = new DeliveryBuffers(160);
  t.is(buffers.maxTotalBytes, 32_000_000);
  t.is(buffers.maxAnswerBytes, 4_000_000);
});

test('delivery buffers: beyond the sum the answer with the most bytes is cut off, not the one that grew last', t => {
  const buffers = new DeliveryBuffers(5);
  const [small, large, last] = [0, 1, 2].map(() => new FakeAnswer());
  hold(buffers, small, 200_000);
  hold(buffers, large, 600_000);
  hold(buffers, last, 200_000);
  t.false(large.isCut);
  hold(buffers, last, 200_001);
  t.true(large.isCut);
  t.false(small.isCut);
  t.false(last.isCut);
  t.is(buffers.totalBytes, 400_001);
});

test('delivery buffers: an answer that was read since its last update is not cut off for what it held before', t => {
  const buffers = new DeliveryBuffers(5);
  const [read, other] = [new FakeAnswer(), new FakeAnswer()];
  hold(buffers, read, 900_000);
  read.bytes = 100_000;
  hold(buffers, other, 500_000);
  t.false(read.isCut);
  t.false(other.isCut);
  t.is(buffers.totalBytes, 600_000);
});

test('delivery buffers: an answer larger than the sum is cut off itself', t => {
  const buffers = new DeliveryBuffers(5);
  const [small, large] = [new FakeAnswer(), new FakeAnswer()];
  hold(buffers, small, 10);
  hold(buffers, large, 2_000_000);
  t.true(large.isCut);
  t.false(small.isCut);
  t.is(buffers.totalBytes, 10);
});

test('delivery buffers: an answer that has ended, or is read up, leaves nothing behind', t => {
  const buffers = new DeliveryBuffers(5);
  const [ended, read] = [new FakeAnswer(), new FakeAnswer()];
  hold(buffers, ended, 10);
  hold(buffers, read, 10);
  buffers.remove(ended);
  buffers.remove(ended);
  hold(buffers, read, 0);
  t.is(buffers.totalBytes, 0);
  t.is(buffers.answerCount, 0);
});

test('delivery buffers: the sum stays within its bound and equals what the answers hold', t => {
  const step = fastCheck.record({
    answer: fastCheck.integer({min: 0, max: 9}),
    bytes: fastCheck.integer({min: 0, max: 400_000}),
  });
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(step, {minLength: 50, maxLength: 300}),
      steps => {
        const buffers = new DeliveryBuffers(5);
        const answers = Array.from({length: 10}, () => new FakeAnswer());
        for (const {answer, bytes} of steps) {
          if (!answers[answer].isCut) {
            hold(buffers, answers[answer], bytes);
          }
          const sum = answers
            .filter(each => !each.isCut)
            .reduce((total, each) => total + each.bytes, 0);
          t.is(buffers.totalBytes, sum);
          t.true(sum <= buffers.maxTotalBytes);
        }
      },
    ),
    {seed: 17, numRuns: 50},
  );
});
