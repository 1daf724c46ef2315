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

test('gateway settings: without the section, or with its value left empty, no evacuations are followed', t => {
  t.is(parse(TEXT)._unsafeUnwrap().evacuation.bound_milliseconds, 0);
  const empty = `${TEXT}\n[evacuation]\nbound_milliseconds =\n`;
  t.is(parse(empty)._unsafeUnwrap().evacuation.bound_milliseconds, 0);
  const given = `${TEXT}\n[evacuation]\nbound_milliseconds = 5000\n`;
  t.is(parse(given)._unsafeUnwrap().evacuation.bound_milliseconds, 5_000);
});

for (const [value, expected] of [
  ['', {}],
  ['{}', {}],
  ['{"galle":"south","jaffna":"north"}', {galle: 'south', jaffna: 'north'}],
  ['{"galle":{"region":"south","cost":2}}', {galle: 'south'}],
  ['{"galle":{"site":"south"},"jaffna":null}', {}],
] as const) {
  test(`gateway settings: regions "${value}" are read`, t => {
    const text = TEXT.replace('ip = ', `regions = ${value}\nip = `);
    const parsed = parse(text);
    t.deepEqual(parsed._unsafeUnwrap().instance.regions, expected);
  });
}

test('gateway settings: a file of an older release, without [placement], measures no speeds; the deployed file does', t => {
  t.false(parse(TEXT)._unsafeUnwrap().placement.measured_speeds);
  const empty = `${TEXT}\n[placement]\nmeasured_speeds =\n`;
  t.false(parse(empty)._unsafeUnwrap().placement.measured_speeds);
  const deployed = fs.readFileSync(
    path.join(__dirname, '../../../deploy/gateway.ini'),
    'utf8',
  );
  const section = deployed.slice(
    deployed.indexOf('[placement]'),
    deployed.indexOf('[admission]'),
  );
  const settings = parse(`${TEXT}\n${section}`)._unsafeUnwrap();
  t.true(settings.placement.measured_speeds);
});

test('gateway settings: fair shares are off without the section and where the setting is empty', t => {
  t.notRegex(TEXT, /admission/);
  t.is(parse(TEXT)._unsafeUnwrap().admission?.fair_shares, undefined);
  for (const [value, expected] of [
    ['', false],
    ['false', false],
    ['true', true],
  ] as const) {
    const text = `${TEXT}\n[admission]\nfair_shares = ${value}\n`;
    t.is(parse(text)._unsafeUnwrap().admission?.fair_shares, expected);
  }
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
    'regions that are not JSON',
    'ip = ',
    'regions = south\nip = ',
    /section \[instance\], key regions: saw "south", expected regions by data centre, as a JSON object/,
  ],
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

for (const value of [
  '['.repeat(20_000) + ']'.repeat(20_000),
  '{"a":'.repeat(20_000) + '1' + '}'.repeat(20_000),
  `{"galle":${'['.repeat(20_000)}${']'.repeat(20_000)}}`,
  '{"galle":1e400}',
  `{"galle":"${'x'.repeat(300_000)}"}`,
]) {
  test(`gateway settings: regions of ${value.length} characters like ${value.slice(0, 12)} are read or refused`, t => {
    t.notThrows(() => parse(`${TEXT}\n[instance]\nregions = ${value}\n`));
  });
}

for (const port of ['-1', '99999', '1e400', '9'.repeat(400), 'NaN']) {
  test(`gateway settings: the digest port ${port.slice(0, 8)} of ${port.length} characters is refused`, t => {
    const text = TEXT.replace(/digest_port = \d+/, `digest_port = ${port}`);
    t.not(text, TEXT);
    t.true(parse(text).isErr());
  });
}
