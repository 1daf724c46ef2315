/** Instances that refuse requests with 503 and a `Retry-After`. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as gatewayFleet from '../support/gateway_fleet';
import * as replicaStatements from '../support/replica_statements';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {succeed} = replicaStatements;

for (const [retryAfter, milliseconds] of [
  ['0.2', 200],
  ['0.5', 500],
] as const) {
  // A caller that can wait would be refused, or its request sent too early.
  test(`back-off: with all instances in back-off for ${retryAfter} s a request waits within its objective`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', replicaStatements.rejecting(retryAfter)],
    });
    const replica = gateway.replicas.get('i-1')!;
    const startedAt = performance.now();
    const call = gateway.call('/read/a');
    await gateway.until(() => replica.requests.length === 1);
    replica.handler = succeed;
    t.is((await call).status, 200);
    t.true(performance.now() - startedAt >= milliseconds);
    t.is(replica.requests.length, 2);
  });
}

for (const retryAfter of ['3', '100000']) {
  for (const [path, service] of [
    ['/read/a', 'ledger'],
    ['/file/a', 'ledger'],
    ['/draft/a', 'writers'],
  ] as const) {
    // An instance that is sent requests in spite of its answer never recovers.
    test(`back-off: with all instances in back-off for ${retryAfter} s calls of ${path} are refused at once, with a time`, async t => {
      const gateway = await TestGateway.start(t, {
        'i-1': [service, replicaStatements.rejecting(retryAfter)],
      });
      const options = {method: 'POST', body: 'p'};
      const startedAt = performance.now();
      for (let count = 0; count < replicaStatements.SAMPLES; count++) {
        const answer = await gateway.call(path, options);
        t.is(answer.status, 503);
        t.is(answer.headers['rhubarbvane-work'], 'not-run');
        t.true(Number(answer.headers['retry-after']) >= 1);
      }
      t.true(performance.now() - startedAt < 2_000);
      t.is(gateway.requestCount, 1);
    });
  }
}

test('back-off: an instance gets requests again after its time, not before', async t => {
  const times: number[] = [];
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      (request, response) => {
        times.push(performance.now());
        const handler =
          times.length === 1 ? replicaStatements.rejecting('3') : succeed;
        handler(request, response);
      },
    ],
  });
  while ((await gateway.call('/read/a')).status !== 200) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  t.log(`${Math.round(times[1] - times[0])} ms`);
  t.true(times[1] - times[0] >= 3_000);
  t.true(times[1] - times[0] < 4_000);
  t.is(times.length, 2);
});

for (const value of [
  '0',
  '-1',
  'NaN',
  '1e400',
  '',
  'Fri, 04 Dec 2026 17:00:00 GMT',
]) {
  test(`back-off: the time "${value}" excludes no instance`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', replicaStatements.rejecting(value)],
    });
    t.is((await gateway.call('/read/a')).status, 503);
    gateway.replicas.get('i-1')!.handler = succeed;
    t.is((await gateway.call('/read/a')).status, 200);
  });
}

for (const [title, handler] of [
  ['a failure that has run', replicaStandin.fail],
  [
    'a 503 that does not say that the request was not run',
    (request, response) => {
      const headers = replicaStandin.answerHeaders(request);
      response.writeHead(503, headers).end('busy');
    },
  ],
] as [string, replicaStandin.ReplicaHandler][]) {
  test(`back-off: a time with ${title} excludes no instance`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': [
        'ledger',
        replicaStatements.saying({'Retry-After': '100'}, handler),
      ],
    });
    await gateway.call('/read/a');
    gateway.replicas.get('i-1')!.handler = succeed;
    t.is((await gateway.call('/read/a')).status, 200);
  });
}

test('back-off: the other instances take the requests, and it is no failure', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', replicaStatements.rejecting('100')],
    'i-2': ['ledger', succeed],
  });
  await replicaStatements.callUntilAt(gateway, 'i-1');
  t.is(await replicaStatements.sampleAt(gateway, 'i-1'), 0);
  t.is(gateway.process.state.instances.get('i-1')!.failureRate, 0);
});

// The instance may have asked one gateway alone, which sends it the most.
test('back-off: other gateways are not affected', async t => {
  const replica = new replicaStandin.ReplicaStandin(
    'i-1',
    replicaStatements.rejecting('100'),
  );
  const fleet = await gatewayFleet.GatewayFleet.start(t, 2);
  t.teardown(() => replica.close());
  fleet.register('i-1', 'ready', 'ledger', await replica.listen());
  await fleet.until(() =>
    fleet.gateways.every(
      ({process}) =>
        process.state.instances.get('i-1')!.record.address !== '127.0.0.1:9',
    ),
  );
  const [first, second] = fleet.gateways;
  t.is(await fleet.requestStatus(first, testGateway.KEY), 503);
  replica.handler = succeed;
  t.is(await fleet.requestStatus(second, testGateway.KEY), 200);
  t.is(await fleet.requestStatus(first, testGateway.KEY), 503);
  t.is(replica.requests.length, 2);
});

for (const [title, restart] of [
  [
    'the next start of the instance',
    (gateway: testGateway.TestGateway) => restartAt(gateway, 'i-1', 2),
  ],
  [
    'another instance at its address',
    (gateway: testGateway.TestGateway) => restartAt(gateway, 'i-3', 1),
  ],
] as const) {
  test(`back-off: ${title} gets requests at once`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', replicaStatements.rejecting('100')],
    });
    await gateway.call('/read/a');
    gateway.replicas.get('i-1')!.handler = succeed;
    t.is((await gateway.call('/read/a')).status, 503);
    const {instances} = gateway.process.state;
    const id = restart(gateway);
    await gateway.until(
      () =>
        instances.get(id) !== undefined &&
        (id !== 'i-1' || instances.get(id)!.record.startedAt === 2),
    );
    t.is((await gateway.call('/read/a')).status, 200);
  });
}

/** Registers an instance at the address of the first one; returns its id. */
function restartAt(
  gateway: testGateway.TestGateway,
  id: string,
  born: number,
): string {
  const address = gateway.addressOf('i-1')!;
  const spec = platformObjects.registrationSpec('ledger', address);
  gateway.store.put('servers', id, {...spec, born});
  return id;
}
