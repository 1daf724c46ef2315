import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as jsonSlices from '../../src/platform/json_slices';

const test = ava.default;
const {JsonSlice} = jsonSlices;

/** Reads everything by slices as deep as it goes. */
function readDeep(slice: jsonSlices.JsonSlice): unknown {
  if (slice.isArray) {
    return [...slice.elements()].map(readDeep);
  }
  if (slice.isObject) {
    const members = [...slice.members()];
    return Object.fromEntries(
      members.map(([name, value]) => [name, readDeep(value)]),
    );
  }
  return slice.parse();
}

function read(text: string): unknown {
  return readDeep(JsonSlice.of(Buffer.from(text)));
}

test('JSON slices: any text has the same value as for JSON.parse, whatever its white space', t => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.json(),
      fastCheck.constantFrom('', ' ', '\n\t', '\r\n'),
      (text, space) => {
        const value: unknown = JSON.parse(text);
        const spaced = `${space}${JSON.stringify(value, null, space)}${space}`;
        t.deepEqual(read(spaced), JSON.parse(spaced));
      },
    ),
  );
});

test('JSON slices: a text that is damaged at any place is refused, or read as JSON.parse reads it', t => {
  const text = '{"a": [1, -2.5e3, {"b\\"": "x\\\\"}, []], "c": {"d": null}}';
  for (let at = 0; at < text.length; at++) {
    for (const damage of ['', ',', '"', ']', '}', '[', '{', ':', '\\', 'x']) {
      const damaged = text.slice(0, at) + damage + text.slice(at + 1);
      let expected: unknown;
      try {
        expected = JSON.parse(damaged);
      } catch {
        t.throws(() => read(damaged), {instanceOf: SyntaxError}, damaged);
        continue;
      }
      t.deepEqual(read(damaged), expected, damaged);
    }
    t.throws(() => read(text.slice(0, at)), {instanceOf: SyntaxError});
  }
});

test('JSON slices: values of long lists are those of JSON.parse, and a damaged one is refused', t => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fastCheck.jsonValue(), {maxLength: 20}),
      fastCheck.integer({min: 1, max: 400}),
      (some, count) => {
        const text = JSON.stringify(Array(count).fill(some).flat());
        const list = new jsonSlices.JsonList(JsonSlice.of(Buffer.from(text)));
        t.deepEqual([...list], JSON.parse(text));
      },
    ),
    {numRuns: 30},
  );
  const damaged = `[${'{"a":1},'.repeat(10_000)}{"a":tru}]`;
  const list = new jsonSlices.JsonList(JsonSlice.of(Buffer.from(damaged)));
  t.throws(() => [...list], {instanceOf: SyntaxError});
});

test('JSON slices: lists nested a million levels deep are refused', t => {
  const bytes = Buffer.from('['.repeat(1_000_000) + ']'.repeat(1_000_000));
  t.throws(() => JsonSlice.of(bytes), {instanceOf: SyntaxError});
});

test('JSON slices: the last of several members with one name counts', t => {
  t.deepEqual(read('{"a": 1, "a": 2}'), {a: 2});
});
