/** Generations that arrive at a gateway in its grace time. */
import * as ava from 'ava';
import * as leavingPolicy from '../../../src/gateway/common/leaving_policy';

const test = ava.default;

for (const [title, tokens, left, expected] of [
  ['a tag of a few tokens is served until the last moments', 12, 1_000, true],
  ['a tag is refused in the last moments', 12, 500, false],
  ['a draft of middle length is served at the beginning', 400, 6_000, true],
  ['a long draft is refused at once', 2_000, 6_000, false],
] as const) {
  test(`leaving: ${title}`, t => {
    t.is(leavingPolicy.endsInTime(tokens, left), expected);
  });
}
