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
    'entries without a valid id are left out',
    ':8,xyz:3,91bd:4,:,e4:2',
    ['91bd'],
  ],
  [
    'an id of more than 32 digits is left out',
    `${'a'.repeat(33)}:1,${'b'.repeat(32)}:1,c:1`,
    ['b'.repeat(32)],
  ],
];

for (const [title, value, expected] of CASES) {
  test(`prompt parts: ${title}`, t => {
    t.deepEqual(decodeParts(value), expected);
  });
}

test('prompt parts: at most sixteen are decoded', t => {
  const ids = Array.from({length: 200}, (_, index) => index.toString(16));
  const value = ids.map(id => `${id}:1`).join();
  t.deepEqual(decodeParts(value), ids.slice(0, 16));
});
