/** The check of declaration files. */
import * as ava from 'ava';
import * as checkRuns from '../support/check_runs';

const test = ava.default;
const {declarationText, run, runJson, write, TOKEN} = checkRuns;

for (const [title, text, expected] of [
  ['without findings', declarationText(), []],
  [
    'with an endpoint that is not declared',
    declarationText('desk, office'),
    ['route "notices": endpoints: office is not declared'],
  ],
  // Names of unknown files must not rewrite the terminal or fill it.
  [
    'with an escape sequence as the name of an endpoint',
    declarationText('desk, \u001b[2J'),
    ['route "notices": endpoints: \\u001b[2J is not declared'],
  ],
  [
    'with a very long name of an endpoint',
    declarationText(`desk, ${'x'.repeat(100_000)}`),
    [`route "notices": endpoints: ${'x'.repeat(389)}…`],
  ],
  [
    'with a token instead of its hash',
    declarationText('desk', 'secret'),
    [
      'customer "one": token_sha256: expected 64 hexadecimal digits in lower case',
    ],
  ],
  [
    'with a token on a line of its own',
    `${declarationText()}\n[customer.two]\nsecret-token`,
    [
      'customer "two": token_sha256: expected Invalid input: expected string, received undefined',
      'customer "two": a key: unknown key',
    ],
  ],
  [
    'with a token before all sections',
    `sk-secret-1\n${declarationText()}`,
    ['a key: unknown key'],
  ],
  [
    'with a token of lower-case letters and digits before all sections',
    `secret1\n${declarationText()}`,
    ['a key: unknown key'],
  ],
  [
    'with a token as a section',
    `${declarationText()}\n[sk-secret-1]\na = 1`,
    ['a key: unknown key'],
  ],
  // Numbers with a fraction cannot be encoded; without the check they ended the program with a stack trace.
  [
    'with fractions of tokens',
    `${declarationText()}\nrepeatable = true\n[model.m]\ncontext_tokens = 1.5\n[customer.two]\ntoken_sha256 = ${'b'.repeat(64)}\nmax_outstanding_tokens = 1.5`,
    [
      'model "m": context_tokens: expected a whole number from 1 to 100000000',
      'customer "two": max_outstanding_tokens: expected a whole number from 0 to 1000000000000',
    ],
  ],
  [
    'with an unknown key and an unknown kind',
    `${declarationText()}\nrepeatabel = true\n[routes.x]\nmodel = m`,
    ['route "notices": repeatabel: unknown key', 'routes: unknown key'],
  ],
  [
    'with one token of two customers',
    `${declarationText()}\n[customer.two]\ntoken_sha256 = ${TOKEN}`,
    ['customer "two": has the same token as customer "one"'],
  ],
] as const) {
  test(`check: declarations ${title} have ${expected.length} errors`, async t => {
    const [file] = write(t, {'d.ini': text});
    const {code, output} = await run('check', file);
    t.is(code, expected.length === 0 ? 0 : 1);
    t.deepEqual(output.trimEnd().split('\n'), [
      ...expected.map(each => `error: ${each}`),
      `${expected.length} ${expected.length === 1 ? 'error' : 'errors'}, 0 warnings`,
    ]);
    t.notRegex(output, /secret|aaaa/);
  });
}

test('check: declarations are compared with those in force, which stay where the file does not name them', async t => {
  const [file, inForce] = write(t, {
    'd.ini': [
      '[customer.one]',
      `token_sha256 = ${'b'.repeat(64)}`,
      'weight = 3',
      '[route.notices]',
      'customers = one',
      'endpoints = desk',
      '[model.m]',
      'context_tokens = 9',
    ].join('\n'),
    'in-force.ini': declarationText(),
  });
  const report = await runJson('check', file, '--against', inForce);
  t.deepEqual(report.findings, []);
  t.deepEqual(
    report.differences!.map(({place, message}) => `${place}: ${message}`),
    [
      'model "m": added',
      'customer "one": token_sha256 changed',
      'customer "one": weight changed from 1 to 3',
      'route "notices": customers changed from "*" to "one"',
    ],
  );
});

test('check: lists of declarations that differ behind the part that is shown are different', async t => {
  const names = Array.from({length: 200}, (_, index) => `name-${index}`);
  const [file, inForce] = write(t, {
    'd.ini': declarationText([...names, 'last'].join(', ')),
    'in-force.ini': declarationText(names.join(', ')),
  });
  const {differences} = await runJson('check', file, '--against', inForce);
  t.deepEqual(differences, [
    {
      place: 'route "notices"',
      message: 'endpoints changed, too long to show',
    },
  ]);
});

for (const [title, text] of [
  ['a section nested 200,000 levels deep', `[${'a.'.repeat(200_000)}a]\nb = 1`],
  ['names of the prototype', '[route.__proto__]\na = 1\n[constructor]\nb = 1'],
  ['bytes', '\u0000\u0001\u0002'],
] as const) {
  test(`check: declarations with ${title} are refused`, async t => {
    const [file] = write(t, {'d.ini': text});
    const {code, errors} = await run('check', file);
    t.true(code === 1 || code === 2, `${code} ${errors}`);
    t.notRegex(errors, /Internal|at .*\.js/);
  });
}

// Serial, since the time of other tests would count.
test.serial(
  'check: 100,000 declared routes are checked within a few seconds',
  async t => {
    const routes = Array.from(
      {length: 100_000},
      (_, index) =>
        `[route.r${index}]\ncustomers = one\nendpoints = ${index === 0 ? 'none' : 'desk'}`,
    );
    const [file] = write(t, {
      'd.ini': [declarationText(), ...routes].join('\n'),
    });
    const startedAt = performance.now();
    const report = await runJson('check', file);
    const milliseconds = performance.now() - startedAt;
    t.log(`${milliseconds.toFixed(0)} ms`);
    t.true(
      milliseconds < checkRuns.LARGE_FILE_MILLISECONDS,
      `${milliseconds} ms`,
    );
    t.deepEqual(
      report.findings.map(each => each.place),
      ['route "r0"'],
    );
  },
);
