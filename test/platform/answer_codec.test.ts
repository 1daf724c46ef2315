/** Decoding of what replicas say of themselves, with values that are no times or flags. */
import * as ava from 'ava';
import * as answerCodec from '../../src/platform/answer_codec';

const test = ava.default;
const HOUR_MILLISECONDS = 3_600_000;

for (const [value, warmUp, retryAfter] of [
  ['0', 0, 0],
  ['0.2', 0.2, 200],
  [' 3 ', 3, 3_000],
  ['100000', 100_000, HOUR_MILLISECONDS],
  ['9'.repeat(300), HOUR_MILLISECONDS, HOUR_MILLISECONDS],
  ['-1', undefined, undefined],
  ['NaN', undefined, undefined],
  ['Infinity', undefined, undefined],
  ['1e400', undefined, undefined],
  ['1e3', undefined, undefined],
  ['0x10', undefined, undefined],
  ['', undefined, undefined],
  ['3 s', undefined, undefined],
  ['3, 4', undefined, undefined],
  ['9'.repeat(400), undefined, undefined],
  ['Fri, 04 Dec 2026 17:00:00 GMT', undefined, undefined],
] as const) {
  // A wrong time would exclude an instance, or let it be overrun.
  test(`answers: the time "${value.slice(0, 12)}" of ${value.length} characters is read as ${warmUp} and ${retryAfter} ms`, t => {
    const statements = answerCodec.decodeStatements({
      'x-rhubarbvane-warmup-ms': value,
      'retry-after': value,
    });
    t.is(statements.warmUp!.milliseconds, warmUp);
    t.is(statements.retryAfter!.milliseconds, retryAfter);
    t.true(statements.warmUp!.text.length <= 40);
  });
}

for (const [value, isLeaving] of [
  ['1', true],
  ['0', false],
  ['', false],
  ['yes', false],
  ['1, 1', false],
] as const) {
  // An instance would be given up for a value that means nothing.
  test(`answers: an instance that sends "${value}" as its notice ${isLeaving ? 'leaves' : 'stays'}`, t => {
    const {leaving} = answerCodec.decodeStatements({'server-leaving': value});
    t.deepEqual(leaving, {isLeaving, text: value});
  });
}

test('answers: an answer without headers says nothing', t => {
  t.deepEqual(answerCodec.decodeStatements({}), {
    limit: undefined,
    warmUp: undefined,
    retryAfter: undefined,
    leaving: undefined,
  });
});
