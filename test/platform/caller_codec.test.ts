/** Decoding of callers' requests, including malformed headers. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as ava from 'ava';
import * as callerCodec from '../../src/platform/caller_codec';

const test = ava.default;

function decodeParts(value: string | undefined): readonly string[] {
  const request = new http.IncomingMessage(new net.Socket());
  if (value !== undefined) {
    request.headers['x-rhubarbvane-prompt-prefix'] = value;
  }
  return callerCodec.decodeCallerRequest(request).sharedParts;
}

const CASES: readonly (readonly [
  string,
  string | undefined,
  readonly string[],
])[] = [
  [
    'the last part is left out',
    '5c1e07a2:800,91bd3f06:410,e4:250',
    ['5c1e07a2', '91bd3f06'],
  ],
  ["a single part is the request's own", '5c1e07a2:800', []],
  ['no header has no parts', undefined, []],
  ['an empty header has no parts', '', []],
  [
    'spaces and capitals do not matter',
    ' 5C1E :8 , 91BD:4, e4:2',
    ['5c1e', '91bd'],
  ],
  [
    'a part that is listed twice counts once, at its first position',
    'a:1,b:1,a:1,c:1',
    ['a', 'b'],
  ],
];

for (const [title, value, expected] of CASES) {
  test(`prompt parts: ${title}`, t => {
    t.deepEqual(decodeParts(value), expected);
  });
}

// Guards against a part that is never judged because of where it stands.
test('prompt parts: all of the longest list are decoded', t => {
  const ids = Array.from({length: 4_000}, (_, index) => index.toString(16));
  const value = ids.map(id => `${id}:1`).join();
  t.deepEqual(decodeParts(value), ids.slice(0, -1));
});

// Guards against a part that is never judged because of what its id is like.
test('prompt parts: ids that are long, empty or not hexadecimal have keys of bounded length that tell them apart', t => {
  const odd = ['a'.repeat(33), 'a'.repeat(34), 'xyz', '', 'x'.repeat(4_000)];
  const value = [...odd, 'c'].map(id => `${id}:1`).join();
  const keys = decodeParts(value);
  t.is(new Set(keys).size, odd.length);
  t.true(keys.every(key => key.length === 32 && key.startsWith('x')));
  t.deepEqual(decodeParts(value.toUpperCase()), keys);
  t.deepEqual(decodeParts(`0:1,${value}`), ['0', ...keys]);
});
