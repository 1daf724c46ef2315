import * as ava from 'ava';
import * as localDeployment from '../../standins/local_deployment';
import * as httpClient from '../../src/base/node/http_client';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;

test.before(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 1,
    engines: 1,
    services: 0,
    engineArguments: ['--speed', '50'],
  });
  await t.context.start();
});

test.after.always(t => t.context.stop());

async function readMetric(url: string, name: string): Promise<number> {
  const answer = await httpClient.callHttp({
    method: 'GET',
    url: `${url}/metrics`,
    timeoutMilliseconds: 5_000,
  });
  const line = answer.body
    .toString('utf8')
    .split('\n')
    .find(candidate => candidate.startsWith(`${name}{`));
  return Number(line?.split(' ').at(-1) ?? 0);
}

test('a slow reader is paused while another stream completes, and then receives every token', async t => {
  const [entry] = t.context.entries;
  const length = 50_000;
  const slow = await callers.openStream(
    entry.url,
    callers.generation(length, 'slow'),
  );
  await callers.untilReceived(slow.reader, 1);
  slow.reader.pause();
  await callers.until(
    async () =>
      (await readMetric(entry.url, 'rhubarbvane_slow_reader_pauses_total')) > 0,
  );
  const fast = await callers.openStream(
    entry.url,
    callers.generation(120, 'fast'),
  );
  await fast.ended;
  t.true(callers.isOneRun(fast.reader.texts, 120));
  slow.reader.resume();
  await slow.ended;
  t.true(slow.reader.isDone);
  t.true(callers.isOneRun(slow.reader.texts, length));
});
