import * as ava from 'ava';
import * as localDeployment from '../../standins/local_deployment';
import * as tcpRelay from '../../standins/tcp_relay';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 2,
    services: 0,
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

interface Status {
  readonly revision: number;
  readonly lowestRevision: number;
  readonly instances: readonly {instance: string; reachable: boolean}[];
}

async function statusOf(
  deployment: localDeployment.LocalDeployment,
): Promise<Status> {
  const shown = await deployment.runTool(['status', '--output', 'json']);
  return JSON.parse(shown.output) as Status;
}

test('an entry without access to the store gets a change from its peers and applies it', async t => {
  const {context} = t;
  const port = Number(context.platform.address.split(':')[1]);
  const relay = new tcpRelay.TcpRelay(port);
  const isolated = await context.startEntry(
    'entry-cut',
    `http://${await relay.listen()}`,
  );
  await localDeployment.waitUntilReady(isolated.url);
  await callers.until(
    async () => (await statusOf(context)).instances.length === 5,
  );
  relay.setMode(tcpRelay.RelayMode.Cut);
  t.is((await context.runTool(['drain', 'report-engines'])).code, 0);
  await callers.until(async () => {
    const status = await statusOf(context);
    const isReachable = status.instances.every(instance => instance.reachable);
    return isReachable && status.lowestRevision === 2;
  });
  const answer = await callers.complete(
    isolated.url,
    callers.generation(5, 'cut'),
  );
  t.is(answer.status, 503);
  t.is(answer.headers['rhubarbvane-work'], 'not-run');
  relay.dispose();
});

for (const role of ['entry', 'side process'] as const) {
  test(`after a suspended ${role} resumes, the change made while it was suspended is in force`, async t => {
    const {context} = t;
    const suspended =
      role === 'entry' ? context.entries[1] : context.engines[0].side;
    suspended.signal('SIGSTOP');
    t.is((await context.runTool(['drain', 'report-engines'])).code, 0);
    suspended.signal('SIGCONT');
    await callers.until(async () => {
      const status = await statusOf(context);
      return (
        status.lowestRevision === 2 &&
        status.instances.every(instance => instance.reachable)
      );
    });
    const answer = await callers.complete(
      context.entries[1].url,
      callers.generation(5, 'frozen'),
    );
    t.is(answer.headers['rhubarbvane-work'], 'not-run');
  });
}
