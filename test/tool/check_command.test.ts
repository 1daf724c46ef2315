/** The command that checks a file: exit codes, output, secrets and hostile files. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as ava from 'ava';
import * as clipanion from 'clipanion';
import * as fastCheck from 'fast-check';
import * as findings from '../../src/gateway/common/configuration_check/findings';
import * as checkCommand from '../../src/tool/check_command';
import * as checkedFile from '../../src/tool/checked_file';
import * as checkRuns from '../support/check_runs';

const test = ava.default;
const {configurationText, declarationText, run, runJson, write} = checkRuns;
const EXAMPLES = path.join(__dirname, '../../../examples');
const PROGRAM = path.join(__dirname, '../../src/tool/main.js');

const WITH_WARNING = {
  services: [{name: 'ledger'}, {name: 'ledger'}],
};
const WITH_ERROR = {services: []};

for (const [title, overrides, code, output] of [
  ['without findings', {}, 0, '0 errors, 0 warnings\n'],
  [
    'with warnings alone',
    WITH_WARNING,
    0,
    'warning: service "ledger": can never be used: service "ledger" (number 2 of this name) replaces it\n0 errors, 1 warning\n',
  ],
  [
    'with an error',
    WITH_ERROR,
    1,
    'error: route "reads": service "ledger" does not exist\n1 error, 0 warnings\n',
  ],
  [
    'that gateways do not read',
    {version: 'x'},
    1,
    'error: configuration: version: saw a text, expected a number; the configuration is not read\n1 error, 0 warnings\n',
  ],
] as const) {
  test(`check: a configuration ${title} exits with ${code}`, async t => {
    const [file] = write(t, {'c.json': configurationText(overrides)});
    t.deepEqual(await run('check', file), {code, output, errors: ''});
  });
}

test('check: --json prints the findings and nothing else', async t => {
  const [file] = write(t, {'c.json': configurationText(WITH_ERROR)});
  const {code, output} = await run('check', file, '--json');
  t.is(code, 1);
  t.deepEqual(JSON.parse(output), {
    errorCount: 1,
    warningCount: 0,
    findings: [
      {
        severity: 'error',
        place: 'route "reads"',
        message: 'service "ledger" does not exist',
      },
    ],
  });
});

test('check: --against shows the differences by name, as text and as JSON', async t => {
  const [file, inForce, same] = write(t, {
    'c.json': configurationText({version: 2, tenants: []}),
    'in-force.json': configurationText(),
    'same.json': configurationText({version: 2, tenants: []}),
  });
  const text = await run('check', file, '--against', inForce);
  t.is(text.code, 0);
  t.is(
    text.output,
    [
      'difference: configuration: version changed from 1 to 2',
      'difference: customer "one": removed',
      '0 errors, 0 warnings',
      '',
    ].join('\n'),
  );
  const json = await runJson('check', file, '--against', inForce);
  t.is(json.differenceCount, 2);
  t.deepEqual(json.differences![1], {
    place: 'customer "one"',
    message: 'removed',
  });
  const equal = await run('check', file, '--against', same);
  t.is(
    equal.output,
    'no differences from the version in force\n0 errors, 0 warnings\n',
  );
});

test('check: a change whose version gateways would not take is found', async t => {
  const [file, inForce] = write(t, {
    'c.json': configurationText({tenants: []}),
    'in-force.json': configurationText(),
  });
  const {findings: found} = await runJson('check', file, '--against', inForce);
  t.deepEqual(found, [
    {
      severity: findings.Severity.Warning,
      place: 'configuration',
      message:
        'gateways do not take version 1: it is not above version 1, which is in force',
    },
  ]);
});

for (const [title, content, reason] of [
  ['text that is not JSON', '{"version": 1', 'not JSON'],
  ['no text', '', 'not JSON'],
  [
    'more than 16 MB',
    Buffer.alloc(16 * 1024 * 1024 + 1, ' '),
    'over 16777216 bytes',
  ],
] as const) {
  test(`check: a file with ${title} exits with 2, as FILE and with --against`, async t => {
    const [bad, good] = write(t, {
      'bad.json': content,
      'good.json': configurationText(),
    });
    const expected = {
      code: 2,
      output: '',
      errors: `rhubarbvane: ${bad}: ${reason}\n`,
    };
    t.deepEqual(await run('check', bad), expected);
    t.deepEqual(await run('check', good, '--against', bad), expected);
  });
}

test('check: a file of exactly 16 MB is read', async t => {
  const text = configurationText().padEnd(16 * 1024 * 1024);
  const [file] = write(t, {'c.json': text});
  t.is((await run('check', file)).code, 0);
});

test('check: a missing file, a directory and a device without end exit with 2', async t => {
  const [good] = write(t, {'c.json': configurationText()});
  const directory = path.dirname(good);
  const cases = [
    [path.join(directory, 'none.json'), 'cannot be read (ENOENT)'],
    [directory, 'cannot be read (EISDIR)'],
    ['/dev/zero', 'over 16777216 bytes'],
  ];
  for (const [file, reason] of cases) {
    const {code, errors} = await run('check', file);
    t.is(code, 2);
    t.is(errors, `rhubarbvane: ${file}: ${reason}\n`);
  }
});

test('check: a version in force that gateways would not read exits with 2', async t => {
  const [file, inForce] = write(t, {
    'c.json': configurationText(),
    'in-force.json': '{}',
  });
  const {code, errors} = await run('check', file, '--against', inForce);
  t.is(code, 2);
  t.is(errors, `rhubarbvane: ${inForce}: the schema refuses it\n`);
});

test('check: a configuration is not compared with declarations', async t => {
  const [file, declared] = write(t, {
    'c.json': configurationText(),
    'd.ini': declarationText(),
  });
  t.is((await run('check', file, '--against', declared)).code, 2);
  t.is((await run('check', declared, '--against', file)).code, 2);
});

test('check: no key of a customer is printed, whatever is wrong with it', async t => {
  const tenants = [
    {name: 'one', apiKeys: ['secret-1', 'secret-2']},
    {name: 'two', apiKeys: ['secret-1', ['secret-3'], {key: 'secret-4'}]},
    {name: 'three', apiKeys: 'secret-5'},
    {apiKeys: ['secret-6']},
    'secret-7',
  ];
  const [file, inForce] = write(t, {
    'c.json': configurationText({version: 2, tenants}),
    'in-force.json': configurationText(),
  });
  for (const format of [[], ['--json']]) {
    const {output, errors} = await run(
      'check',
      file,
      '--against',
      inForce,
      ...format,
    );
    t.regex(output, /customer \\?"two\\?" holds 1 of its keys too/);
    t.regex(output, /keys changed: 1 added, 0 removed/);
    t.notRegex(output + errors, /secret/);
  }
});

// Serial, since the time of other tests would count.
test.serial(
  'check: 100,000 routes of one host are checked and compared within a few seconds',
  async t => {
    const routes = Array.from({length: 100_000}, (_, index) => ({
      name: `route-${index}`,
      hostname: 'h.example',
      pathPrefix: `/${index % 50_000}/`,
      type: 'idempotent',
      service: index === 99_999 ? 'none' : 'ledger',
    }));
    const inForce = routes.map(each => ({...each, timeoutMs: 10}));
    const [file, before] = write(t, {
      'c.json': configurationText({version: 2, routes}),
      'in-force.json': configurationText({routes: inForce}),
    });
    const startedAt = performance.now();
    const report = await runJson('check', file, '--against', before);
    const milliseconds = performance.now() - startedAt;
    t.log(`${milliseconds.toFixed(0)} ms`);
    t.true(
      milliseconds < checkRuns.LARGE_FILE_MILLISECONDS,
      `${milliseconds} ms`,
    );
    t.deepEqual([report.errorCount, report.warningCount], [1, 50_000]);
    t.is(report.findings.length, 1_000);
    t.is(report.findings[0].place, 'route "route-99999"');
    t.is(report.differences!.length, 1_000);
  },
);

test('check: findings beyond 1,000 are counted and not printed', async t => {
  const routes = Array.from({length: 1_200}, () => 7);
  const [file] = write(t, {'c.json': configurationText({routes})});
  const {code, output} = await run('check', file);
  t.is(code, 1);
  const lines = output.trimEnd().split('\n');
  t.is(lines.length, 1_002);
  t.deepEqual(lines.slice(-2), [
    '200 more findings are not shown',
    '1200 errors, 0 warnings',
  ]);
});

for (const [description, line] of checkCommand.CheckCommand.usage.examples!) {
  // An example that is refused would teach a wrong form.
  test(`check: the example of the help "${description}" is accepted`, async t => {
    const configuration = fs.readFileSync(
      path.join(EXAMPLES, 'configuration.json'),
    );
    const paths = write(t, {
      'configuration.json': configuration,
      'in-force.json': configuration,
      'cooperative.ini': fs.readFileSync(
        path.join(EXAMPLES, 'cooperative.ini'),
      ),
    });
    const [program, ...args] = line.split(' ');
    t.is(program, 'rhubarbvane');
    const located = args.map(
      each => paths.find(file => path.basename(file) === each) ?? each,
    );
    const {code, output, errors} = await run(...located);
    t.deepEqual([code, errors], [0, ''], output);
    t.regex(output, /^0 errors, 0 warnings$|"errorCount":0,"warningCount":0/m);
  });
}

test('check: the program exits with the code of the command', t => {
  const [file] = write(t, {'c.json': configurationText(WITH_ERROR)});
  const {status, stdout, stderr} = childProcess.spawnSync(
    process.execPath,
    [PROGRAM, 'check', file],
    {encoding: 'utf8'},
  );
  t.is(status, 1);
  t.is(stderr, '');
  t.regex(stdout, /^error: .*\n1 error, 0 warnings\n$/);
});

test('check: a reader that closes the pipe early ends the command with its exit code', async t => {
  const [file] = write(t, {'c.json': configurationText(WITH_ERROR)});
  const closed = new stream.Writable({
    write: (_chunk, _encoding, done) => done(new Error('EPIPE')),
  });
  const cli = new clipanion.Cli({binaryName: 'rhubarbvane'});
  cli.register(checkCommand.CheckCommand);
  t.is(await cli.run(['check', file], {stdout: closed}), 1);
});

/** Objects with some of the fields, each of which has its own value or any JSON value. */
function fieldsOf(
  fields: Readonly<Record<string, fastCheck.Arbitrary<unknown>>>,
): fastCheck.Arbitrary<unknown> {
  const mixed = Object.entries(fields).map(
    ([name, value]) =>
      [name, fastCheck.oneof(value, value, fastCheck.jsonValue())] as const,
  );
  return fastCheck.record(Object.fromEntries(mixed), {requiredKeys: []});
}

test('check: any value in the place of any field is survived, and no file differs from itself', t => {
  const name = fastCheck.constantFrom('a', 'b', '__proto__', 'constructor');
  const amount = fastCheck.integer({min: -1, max: 3});
  const flag = fastCheck.boolean();
  const regions = fastCheck.array(name, {maxLength: 3});
  const key = fastCheck.constantFrom('secret-1', 'secret-2', 'secret-3');
  const listOf = (entry: fastCheck.Arbitrary<unknown>) =>
    fastCheck.array(entry, {maxLength: 4});
  const route = fieldsOf({
    name,
    hostname: name,
    pathPrefix: fastCheck.constantFrom('/a/', '/a/b/', 'a'),
    type: fastCheck.constantFrom('idempotent', 'streaming', 'constructor'),
    service: name,
    split: listOf(fieldsOf({service: name, wt: amount})),
    timeoutMs: amount,
    sloMs: amount,
    attempts: amount,
    public: flag,
    resumable: flag,
    regionsAllowed: regions,
  });
  const spec = fieldsOf({
    version: amount,
    routes: listOf(route),
    services: listOf(
      fieldsOf({
        name,
        rampPerS: amount,
        warmupS: amount,
        runtime: fieldsOf({kvCap: amount}),
      }),
    ),
    tenants: listOf(
      fieldsOf({name, apiKeys: listOf(key), regionsAllowed: regions}),
    ),
    limits: fieldsOf({maxHeaderBytes: amount, maxBodyBytes: amount}),
  });
  const form = new checkedFile.ConfigurationForm();
  fastCheck.assert(
    fastCheck.property(spec, value => {
      const file = {path: 'c.json', text: JSON.stringify(value)};
      const {found} = form.check(file)._unsafeUnwrap();
      t.notRegex(JSON.stringify(found.items), /secret/);
      const compared = form.check(file, file);
      if (compared.isOk()) {
        t.is(compared.value.differences!.total, 0);
      }
    }),
    {numRuns: 500},
  );
});
