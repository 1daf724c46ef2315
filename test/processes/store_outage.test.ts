import * as ava from 'ava';
import * as uuid from 'uuid';
import * as resultCode from '../../src/base/common/result_code';
import * as localDeployment from '../../standins/local_deployment';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 1,
    services: 2,
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

function fileNotice(url: string, key: string, body: object = {plot: 17}) {
  return localDeployment.callJson(
    'POST',
    `${url}/services/${localDeployment.SERVICE_ROUTE}/setback`,
    body,
    {...callers.BEARER, 'idempotency-key': key},
  );
}

async function runsOf(
  deployment: localDeployment.LocalDeployment,
  key: string,
): Promise<number> {
  const records = await Promise.all(
    deployment.services.map(pair => callers.runsOf(pair.endpoint.url)),
  );
  return records.flat().filter(run => run.idempotencyKey === key).length;
}

test('while the store is down generations are served, claims are refused as not run and operator changes fail; afterwards an action runs once', async t => {
  const [entry] = t.context.entries;
  await t.context.platformFault({isDown: true});
  const answer = await callers.complete(
    entry.url,
    callers.generation(10, 'outage'),
  );
  t.is(answer.status, 200);
  const key = uuid.v7();
  const refused = await fileNotice(entry.url, key);
  t.is(refused.status, 503);
  t.is(refused.headers['rhubarbvane-work'], resultCode.WorkState.NotRun);
  t.truthy(refused.headers['retry-after']);
  t.is(await runsOf(t.context, key), 0);
  const changed = await t.context.runTool(['drain', 'report-engines']);
  t.is(changed.code, resultCode.ResultCode.StoreUnavailable);
  await t.context.platformFault({isDown: false});
  t.is((await fileNotice(entry.url, key)).status, 201);
  t.is(await runsOf(t.context, key), 1);
});

test('an action runs once although the store loses replies after writes', async t => {
  for (let round = 0; round < 4; round++) {
    await t.context.platformFault({loseReplies: 1 + (round % 2)});
    const key = uuid.v7();
    const answers = await Promise.all(
      t.context.entries.map(entry => fileNotice(entry.url, key)),
    );
    t.deepEqual(
      answers.map(answer => answer.status),
      [201, 201],
    );
    t.is(await runsOf(t.context, key), 1);
  }
});

test('when a service drops its answer the outcome is unknown, and a repeated call does not run the action again', async t => {
  const key = uuid.v7();
  for (const pair of t.context.services) {
    await localDeployment.callJson('POST', `${pair.endpoint.url}/fault`, {
      loseAnswers: 1,
    });
  }
  const first = await fileNotice(t.context.entries[0].url, key);
  t.is(first.headers['rhubarbvane-work'], resultCode.WorkState.Unknown);
  const second = await fileNotice(t.context.entries[1].url, key);
  t.is(second.headers['rhubarbvane-work'], resultCode.WorkState.Unknown);
  t.is(await runsOf(t.context, key), 1);
});

test('when the side processes are killed during an action the outcome is unknown and the action runs once', async t => {
  const key = uuid.v7();
  for (const pair of t.context.services) {
    await localDeployment.callJson('POST', `${pair.endpoint.url}/fault`, {
      delayMilliseconds: 1_500,
    });
  }
  const pending = fileNotice(t.context.entries[0].url, key);
  await callers.until(async () => (await runsOf(t.context, key)) === 1);
  for (const pair of t.context.services) {
    await pair.side.kill();
  }
  const answer = await pending;
  t.is(answer.headers['rhubarbvane-work'], resultCode.WorkState.Unknown);
  t.is(await runsOf(t.context, key), 1);
});

test('a key reused for another body, an old key and an invalid key are refused as not run', async t => {
  const [entry] = t.context.entries;
  const key = uuid.v7();
  t.is((await fileNotice(entry.url, key)).status, 201);
  const cases = [
    {key, body: {plot: 18}, status: 422},
    {key: uuid.v7({msecs: Date.now() - 25 * 3_600_000}), body: {}, status: 409},
    {key: uuid.v4(), body: {}, status: 400},
  ];
  for (const {key: sent, body, status} of cases) {
    const answer = await fileNotice(entry.url, sent, body);
    t.is(answer.status, status);
    t.is(answer.headers['rhubarbvane-work'], resultCode.WorkState.NotRun);
  }
  t.is(await runsOf(t.context, key), 1);
});
