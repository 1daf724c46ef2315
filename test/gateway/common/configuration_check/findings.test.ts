/** Bounds of what a check prints, and texts of unknown origin in it. */
import * as ava from 'ava';
import * as quotedText from '../../../../src/base/common/quoted_text';
import * as findings from '../../../../src/gateway/common/configuration_check/findings';

const test = ava.default;

test('findings: errors are kept when warnings alone reach the limit', t => {
  const found = new findings.FindingList(3);
  for (let index = 0; index < 5; index++) {
    found.addWarning(`place ${index}`, 'warning');
  }
  found.addError('last', 'error');
  t.is(found.items.length, 3);
  t.is(found.items[0].place, 'last');
  t.deepEqual([found.errorCount, found.warningCount], [1, 5]);
});

for (const [title, text, expected] of [
  ['a quotation mark', 'a"b', '"a\\"b"'],
  ['an escape sequence', '\u001b[2J', '"\\u001b[2J"'],
  ['a control character of eight bits', '\u009b2J', '"\\u009b2J"'],
  ['an override of the direction', '\u202etxt', '"\\u202etxt"'],
  ['101 characters', 'a'.repeat(101), `"${'a'.repeat(100)}…"`],
] as const) {
  // Names come from files of others; printed as they are, they could rewrite the terminal.
  test(`findings: a name with ${title} is quoted without harm`, t => {
    t.is(quotedText.quote(text), expected);
  });
}

test('findings: entries of the same name have different places', t => {
  const entries = [{name: 'a'}, {name: 'a'}, {name: '__proto__'}];
  const places = new findings.Places('route', entries);
  t.deepEqual(
    entries.map(each => places.of(each)),
    ['route "a"', 'route "a" (number 2 of this name)', 'route "__proto__"'],
  );
});
