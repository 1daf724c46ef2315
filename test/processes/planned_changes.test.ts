import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as localDeployment from '../../standins/local_deployment';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;
const LENGTH = 80;
/** Tokens of a stream that lasts long enough to observe a process leaving. */
const LONG_LENGTH = 600;

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 2,
    services: 2,
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

test('a leaving endpoint gets no new work while the platform lists it as live, and finishes its streams', async t => {
  const [entry] = t.context.entries;
  const [leaving] = t.context.engines;
  const before = await Promise.all(
    Array.from({length: 4}, (_, index) =>
      callers.openStream(
        entry.url,
        callers.generation(LONG_LENGTH, `before ${index}`),
      ),
    ),
  );
  const runCount = (await callers.runsOf(leaving.endpoint.url)).length;
  t.true(runCount > 0);
  leaving.side.signal('SIGTERM');
  await callers.until(async () => {
    const status = await t.context.runTool(['status']);
    return /engine-0 \(.*\): leaving/.test(status.output);
  });
  leaving.side.signal('SIGTERM');
  const after = await Promise.all(
    Array.from({length: 8}, (_, index) =>
      callers.openStream(
        t.context.entries[index % 2].url,
        callers.generation(LENGTH, `after ${index}`),
      ),
    ),
  );
  t.is((await callers.runsOf(leaving.endpoint.url)).length, runCount);
  for (const {reader, ended} of before) {
    await ended;
    t.true(callers.isOneRun(reader.texts, LONG_LENGTH));
  }
  for (const {reader, ended} of after) {
    await ended;
    t.true(callers.isOneRun(reader.texts, LENGTH));
  }
  t.is(await leaving.side.exited, 0);
});

test('no request is interrupted or refused while every process is replaced under load', async t => {
  const deployment = t.context;
  const entries = [...deployment.entries];
  const outcomes: string[] = [];
  let isLoading = true;
  // Like a load balancer, this uses only entries that are ready.
  const caller = async (number: number) => {
    for (let round = 0; isLoading; round++) {
      const entry = entries[(number + round) % entries.length];
      const {reader, ended} = await callers.openStream(
        entry.url,
        callers.generation(LENGTH, `load ${number} ${round}`),
      );
      await ended;
      const isComplete =
        reader.isDone && callers.isOneRun(reader.texts, LENGTH);
      outcomes.push(
        isComplete
          ? 'whole'
          : `${reader.status} ${reader.body} ${reader.errorCode}`,
      );
    }
  };
  const load = Array.from({length: 8}, (_, number) => caller(number));
  for (const [index, pair] of deployment.engines.entries()) {
    const replacement = await deployment.startEngine(`new-engine-${index}`);
    for (const entry of entries) {
      await localDeployment.waitUntilReady(entry.url);
    }
    await callers.until(async () => {
      const status = await deployment.runTool(['status']);
      return status.output.includes(`new-engine-${index}`);
    });
    pair.side.signal('SIGTERM');
    t.is(await pair.side.exited, 0);
    await deployment.unregister(pair.side.name);
    t.true(replacement.side.url !== '');
  }
  for (const index of [0, 1]) {
    const old = entries[index];
    const replacement = await deployment.startEntry(`new-entry-${index}`);
    await localDeployment.waitUntilReady(replacement.url);
    entries[index] = replacement;
    old.signal('SIGTERM');
    t.is(await old.exited, 0);
    await deployment.unregister(old.name);
  }
  isLoading = false;
  await Promise.all(load);
  t.true(outcomes.length > 8);
  t.deepEqual(
    outcomes.filter(outcome => outcome !== 'whole'),
    [],
  );
});

test('after a wind-down date accepted requests finish, and new ones are refused as not run until the date is withdrawn', async t => {
  const [first, second] = t.context.entries;
  const accepted = await Promise.all(
    [first, second].map(entry =>
      callers.openStream(entry.url, callers.generation(200, entry.name)),
    ),
  );
  const date = new Date().toISOString();
  const result = await t.context.runTool([
    'wind-down',
    'route',
    'reports',
    '--at',
    date,
  ]);
  t.is(result.code, 0, result.errors);
  await callers.until(async () => {
    const status = JSON.parse(
      (await t.context.runTool(['status', '--output', 'json'])).output,
    ) as {revision: number; lowestRevision: number};
    return status.lowestRevision === 2;
  });
  for (const entry of [first, second]) {
    const refused = await callers.complete(
      entry.url,
      callers.generation(10, 'late'),
    );
    t.is(refused.status, 410);
    t.is(
      refused.headers['rhubarbvane-result'],
      String(resultCode.ResultCode.RouteWoundDown),
    );
    t.is(refused.headers['rhubarbvane-work'], resultCode.WorkState.NotRun);
  }
  for (const {reader, ended} of accepted) {
    await ended;
    t.true(callers.isOneRun(reader.texts, 200));
  }
  const withdrawn = await t.context.runTool([
    'wind-down',
    'route',
    'reports',
    '--never',
  ]);
  t.is(withdrawn.code, 0, withdrawn.errors);
  const answer = await callers.complete(
    first.url,
    callers.generation(10, 'again'),
  );
  t.is(answer.status, 200);
});

test('a drained endpoint finishes running work, and a new request is refused as not run', async t => {
  const [entry] = t.context.entries;
  const running = await callers.openStream(
    entry.url,
    callers.generation(200, 'running'),
  );
  const drained = await t.context.runTool(['drain', 'report-engines']);
  t.is(drained.code, 0, drained.errors);
  await callers.until(async () => {
    const status = await t.context.runTool(['status']);
    return (
      status.output
        .split('\n')
        .filter(line => /report-engines.*leaving/.test(line)).length === 2
    );
  });
  const refused = await callers.complete(
    entry.url,
    callers.generation(10, 'late'),
  );
  t.is(refused.status, 503);
  t.is(refused.headers['rhubarbvane-work'], resultCode.WorkState.NotRun);
  await running.ended;
  t.true(callers.isOneRun(running.reader.texts, 200));
});
