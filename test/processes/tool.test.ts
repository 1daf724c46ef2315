import * as fs from 'node:fs';
import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as localDeployment from '../../standins/local_deployment';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;
const {ResultCode} = resultCode;

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 1,
    engines: 1,
    services: 1,
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

test('declarations can be compared, applied, watched and deleted, and invalid changes are refused', async t => {
  const {context} = t;
  const file = context.file('declarations.ini');
  t.is(
    (await context.runTool(['apply', file])).code,
    ResultCode.NothingChanged,
  );
  fs.appendFileSync(
    file,
    '\n[customer.new-office]\ntoken_sha256 = ' + 'a'.repeat(64) + '\n',
  );
  const dry = await context.runTool(['apply', '--dry-run', file]);
  t.is(dry.code, 0, dry.errors);
  t.regex(dry.output, /create customer new-office[\s\S]*would be accepted/);
  t.is(
    (await context.runTool(['get', 'customer', 'new-office'])).code,
    ResultCode.UnknownObject,
  );
  const watched = context.runTool(['watch', 'customer', '--count', '3']);
  const applied = await context.runTool([
    'apply',
    '--change-id',
    'change-0001',
    file,
  ]);
  t.regex(applied.output, /accepted as revision 2/);
  const got = await context.runTool([
    'get',
    'customer',
    'new-office',
    '--output',
    'json',
  ]);
  t.is((JSON.parse(got.output) as {version: number}).version, 2);
  t.is((await watched).output.trim().split('\n').length, 3);
  const stale = await context.runTool([
    'delete',
    'customer',
    'new-office',
    '--version',
    '1',
  ]);
  t.is(stale.code, ResultCode.Conflict);
  t.regex(stale.errors, /expected version 1, version 2 is in force/);
  t.is((await context.runTool(['delete', 'customer', 'new-office'])).code, 0);
  const used = await context.runTool(['delete', 'endpoint', 'report-engines']);
  t.is(used.code, ResultCode.InvalidDeclaration);
  t.regex(used.errors, /is used by route reports/);
});

test('generations and service calls can be sent, a repeated key returns the same answer, and refusals set the exit code', async t => {
  const {context} = t;
  const prompt = ['complete', '--model', localDeployment.MODEL, 'x [length=5]'];
  const whole = await context.runTool(prompt, 0, 'customer.token');
  t.is(whole.output.trim().split(' ').length, 5);
  const streamed = await context.runTool(
    [...prompt, '--stream'],
    0,
    'customer.token',
  );
  t.is(streamed.output.trim().split(' ').length, 5);
  const call = [
    'call',
    localDeployment.SERVICE_ROUTE,
    '/setback',
    '--data',
    '{}',
    '--output',
    'json',
  ];
  const filed = await context.runTool(call, 0, 'customer.token');
  t.is(filed.code, 0, filed.errors);
  const {key} = JSON.parse(filed.output) as {key: string};
  const again = await context.runTool(
    [...call, '--key', key],
    0,
    'customer.token',
  );
  t.is(again.output, filed.output);
  const refused = await context.runTool(['get'], 0, 'customer.token');
  t.not(refused.code, 0);
  const unknown = await context.runTool(
    ['complete', '--model', 'none', 'x'],
    0,
    'customer.token',
  );
  t.is(unknown.code, ResultCode.UnknownModel);
});
