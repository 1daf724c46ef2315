/** Settings of a gateway: the example file, values that templates leave empty, and errors. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as ava from 'ava';
import * as settingsFile from '../../src/base/node/settings_file';
import * as gatewaySettings from '../../src/gateway/node/gateway_settings';

const test = ava.default;
const EXAMPLE = path.join(__dirname, '../../../examples/gateway.ini');
const TEXT = fs.readFileSync(EXAMPLE, 'utf8');

function parse(text: string) {
  return settingsFile.parseSettings(
    'x.ini',
    text,
    gatewaySettings.gatewayFileSchema,
  );
}

test('gateway settings: the example is valid', t => {
  const read = gatewaySettings.readGatewaySettings(EXAMPLE);
  t.true(read.isOk(), read.isErr() ? read.error.message : '');
});

test('gateway settings: empty values, as templates leave them if the platform has none, take their defaults', t => {
  const text = TEXT.replace('ratio = 0.2', 'ratio =').replace(
    'grace_seconds = 8',
    'grace_seconds =',
  );
  const settings = parse(text)._unsafeUnwrap();
  t.is(settings.retries.ratio, 0.1);
  t.is(settings.shutdown.grace_seconds, 8);
});

test('gateway settings: a file without the section of hedges, or with an empty share, sends none', t => {
  const without = TEXT.replace(/\[hedging\]\nmax_share = 0\n/, '');
  t.notRegex(without, /hedging/);
  t.is(parse(without)._unsafeUnwrap().hedging?.max_share ?? 0, 0);
  const empty = TEXT.replace('max_share = 0', 'max_share =');
  t.is(parse(empty)._unsafeUnwrap().hedging?.max_share, 0);
});

for (const [title, from, to, message] of [
  [
    'a missing store',
    'store = 127.0.0.1:8742',
    '',
    /section \[platform\], key store: saw nothing, expected/,
  ],
  [
    'a wrong port',
    'callers = 127.0.0.1:8740',
    'callers = 127.0.0.1:99999',
    /section \[listen\], key callers: saw "127\.0\.0\.1:99999", expected/,
  ],
  [
    'a wrong number',
    'ratio = 0.2',
    'ratio = many',
    /section \[retries\], key ratio: saw "many", expected a number from 0 to 10/,
  ],
] as const) {
  test(`gateway settings: ${title} is reported with its section and key`, t => {
    const parsed = parse(TEXT.replace(from, to));
    t.regex(parsed._unsafeUnwrapErr().message, message);
  });
}
