import * as fs from 'node:fs';
import * as ava from 'ava';
import * as localDeployment from '../../standins/local_deployment';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;

interface Order {
  readonly fencingNumber: number;
  readonly subject: string;
}

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 2,
    services: 0,
    engineArguments: ['--obeys-fencing', 'no'],
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

async function declareVersion(
  deployment: localDeployment.LocalDeployment,
  version: string,
  entry: number,
): Promise<void> {
  const file = deployment.file(`${version}.ini`);
  fs.writeFileSync(
    file,
    `[model.${localDeployment.MODEL}]\ncontext_tokens = 65536\nweights_version = ${version}\n`,
  );
  await deployment.runTool(['apply', file], entry);
}

async function ordersOf(url: string): Promise<Order[]> {
  const record = await localDeployment.callJson('GET', `${url}/runs`);
  return record.body.orders as Order[];
}

async function untilLoaded(
  deployment: localDeployment.LocalDeployment,
  version: string,
): Promise<void> {
  await callers.until(async () => {
    const orders = await Promise.all(
      deployment.engines.map(pair => ordersOf(pair.endpoint.url)),
    );
    return orders.every(list =>
      list.some(
        order => order.subject === `${localDeployment.MODEL}@${version}`,
      ),
    );
  });
}

async function leaseHolderIndex(deployment: localDeployment.LocalDeployment) {
  const lease = await localDeployment.callJson(
    'GET',
    `${deployment.platform.url}/objects/leases/orders`,
  );
  const name = String(lease.body.holder).split('/')[0];
  return deployment.entries.findIndex(entry => entry.name === name);
}

test('engines that ignore fencing numbers receive orders in ascending order of these numbers although a lease holder was suspended past its lease, and at most 6 weight loads are requested', async t => {
  await declareVersion(t.context, 'v1', 0);
  await untilLoaded(t.context, 'v1');
  const paused = await leaseHolderIndex(t.context);
  t.context.entries[paused].signal('SIGSTOP');
  await callers.until(
    async () => (await leaseHolderIndex(t.context)) !== paused,
  );
  await declareVersion(t.context, 'v2', 1 - paused);
  await untilLoaded(t.context, 'v2');
  t.context.entries[paused].signal('SIGCONT');
  await localDeployment.waitUntilReady(t.context.entries[paused].url);
  await declareVersion(t.context, 'v3', paused);
  await untilLoaded(t.context, 'v3');
  for (const pair of t.context.engines) {
    const numbers = (await ordersOf(pair.endpoint.url)).map(
      order => order.fencingNumber,
    );
    t.deepEqual(
      numbers,
      [...numbers].sort((left, right) => left - right),
    );
    t.true(new Set(numbers).size >= 2);
  }
  const calls = await localDeployment.callJson(
    'GET',
    `${t.context.platform.url}/admin/calls`,
  );
  t.true(Number(calls.body['POST weights']) <= 6);
});
