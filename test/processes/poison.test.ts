import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as localDeployment from '../../standins/local_deployment';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 4,
    services: 0,
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

async function countCrashedEngines(
  deployment: localDeployment.LocalDeployment,
) {
  const alive = await Promise.all(
    deployment.engines.map(pair =>
      callers.runsOf(pair.endpoint.url).then(
        () => true,
        () => false,
      ),
    ),
  );
  return alive.filter(isAlive => !isAlive).length;
}

test('a request that crashes engines is answered as poison each time it is sent, and crashes two engines in total', async t => {
  const poison = callers.generation(50, 'poison', ' [crash=3]');
  const results: unknown[] = [];
  for (let round = 0; round < 6; round++) {
    const entry = t.context.entries[round % 2];
    const answer = await callers.complete(entry.url, poison);
    results.push(answer.headers['rhubarbvane-result']);
  }
  t.is(await countCrashedEngines(t.context), 2);
  t.deepEqual(
    [...new Set(results)],
    [String(resultCode.ResultCode.PoisonRequest)],
  );
});

test('a streamed poison request crashes two engines and is then refused as poison', async t => {
  const poison = callers.generation(50, 'poison stream', ' [crash=3]');
  const codes: number[] = [];
  for (let round = 0; round < 5; round++) {
    const entry = t.context.entries[round % 2];
    const {reader, ended} = await callers.openStream(entry.url, poison);
    await ended;
    codes.push(reader.errorCode || reader.resultCode);
  }
  t.is(await countCrashedEngines(t.context), 2);
  t.deepEqual(codes, [
    resultCode.ResultCode.Interrupted,
    resultCode.ResultCode.Interrupted,
    resultCode.ResultCode.PoisonRequest,
    resultCode.ResultCode.PoisonRequest,
    resultCode.ResultCode.PoisonRequest,
  ]);
});

test('while a poison request crashes two engines and is answered as poison, the other requests complete', async t => {
  const others = Array.from({length: 24}, (_, index) =>
    callers.complete(
      t.context.entries[index % 2].url,
      callers.generation(60, `neighbour ${index}`),
    ),
  );
  await callers.until(async () => {
    const records = await Promise.all(
      t.context.engines.map(pair => callers.runsOf(pair.endpoint.url)),
    );
    return records.flat().length === 24;
  });
  const poison = callers.complete(
    t.context.entries[0].url,
    callers.generation(50, 'among neighbours', ' [crash=3]'),
  );
  const answers = await Promise.all(others);
  t.deepEqual(
    answers.filter(answer => answer.status !== 200).map(answer => answer.body),
    [],
  );
  t.is(
    (await poison).headers['rhubarbvane-result'],
    String(resultCode.ResultCode.PoisonRequest),
  );
  t.is(await countCrashedEngines(t.context), 2);
});
