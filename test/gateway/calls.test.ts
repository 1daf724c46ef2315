/** Calls through a gateway while replicas and the store work or fail. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as storeStandin from '../../standins/store_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, configurationSpec} = testGateway;
const {succeed, shed, fail, reset} = replicaStandin;

test('gateway: a call reaches a replica with the customer and without the key', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', succeed('record')],
  });
  const answer = await gateway.call('/read/a?b=c', {
    headers: {
      'X-Rhubarbvane-Tenant': 'someone-else',
      'X-Rhubarbvane-Kv-Hold': 'h',
      'Kv-From': '10.0.0.1:1/x',
      Connection: 'close, X-Private',
      'X-Private': 'p',
      'X-Public': 'q',
    },
  });
  t.is(answer.status, 200);
  t.is(answer.body, 'record');
  t.is(answer.headers['x-rhubarbvane-server-stamp'], 'stamp');
  const [seen] = gateway.replicas.get('i-1')!.requests;
  t.is(seen.url, '/read/a?b=c');
  t.is(seen.headers['x-rhubarbvane-tenant'], 'customer-one');
  t.is(seen.headers['x-rhubarbvane-expect-replica'], 'i-1');
  t.is(seen.headers.authorization, undefined);
  t.is(seen.headers['x-rhubarbvane-kv-hold'], undefined);
  t.is(seen.headers['kv-from'], undefined);
  t.is(seen.headers['x-private'], undefined);
  t.is(seen.headers['x-public'], 'q');
  t.true(Number(seen.headers['x-rhubarbvane-deadline-ms']) <= 4000);
});

interface RejectionCase {
  readonly title: string;
  readonly path: string;
  readonly options: testGateway.CallerOptions;
  readonly status: number;
}

const REJECTIONS: readonly RejectionCase[] = [
  {title: 'an unknown path', path: '/none/', options: {}, status: 404},
  {
    title: 'an unknown host',
    path: '/read/a',
    options: {headers: {Host: 'other.example'}},
    status: 404,
  },
  {
    title: 'an unknown key',
    path: '/read/a',
    options: {headers: {Authorization: 'Bearer other'}},
    status: 401,
  },
  {
    title: 'a body over the limit',
    path: '/file/a',
    options: {method: 'POST', body: 'x'.repeat(10_001)},
    status: 413,
  },
  {
    title: 'headers over the limit',
    path: '/read/a',
    options: {headers: {'X-Long': 'x'.repeat(2_048)}},
    status: 431,
  },
];

for (const each of REJECTIONS) {
  test(`gateway: ${each.title} is rejected and reaches no replica`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', succeed('record')],
    });
    const answer = await gateway.call(each.path, each.options);
    t.is(answer.status, each.status);
    t.is(answer.headers['rhubarbvane-work'], 'not-run');
    t.is(gateway.requestCount, 0);
  });
}

test('gateway: a public route needs no key', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', succeed('open')],
  });
  const answer = await gateway.call('/open/a', {headers: {Authorization: ''}});
  t.is(answer.status, 200);
});

test('gateway: without a configuration, requests are refused with 503 rather than denied', async t => {
  const gateway = await TestGateway.create(t);
  const answer = await gateway.call('/read/a');
  t.is(answer.status, 503);
  t.is(answer.headers['rhubarbvane-work'], 'not-run');
  t.truthy(answer.headers['retry-after']);
  t.false(gateway.process.isReady);
});

interface FailureCase {
  readonly title: string;
  readonly path: string;
  readonly first: replicaStandin.ReplicaHandler;
  readonly status: number;
  /** Number of requests that replicas received. */
  readonly sends: number;
}

const FAILURES: readonly FailureCase[] = [
  {
    title: 'an idempotent call that a replica fails is retried at another one',
    path: '/read/a',
    first: fail,
    status: 200,
    sends: 2,
  },
  {
    title:
      'an idempotent call whose connection is reset is retried at another replica',
    path: '/read/a',
    first: reset,
    status: 200,
    sends: 2,
  },
  {
    title:
      'a non-idempotent call that a replica did not run is sent to another one',
    path: '/file/a',
    first: shed,
    status: 200,
    sends: 2,
  },
  {
    title:
      'a non-idempotent call whose connection is reset may have run and is not retried',
    path: '/file/a',
    first: reset,
    status: 502,
    sends: 1,
  },
  {
    title:
      'a non-idempotent call that a replica fails is answered with that failure',
    path: '/file/a',
    first: fail,
    status: 500,
    sends: 1,
  },
];

for (const each of FAILURES) {
  test(`gateway: ${each.title}`, async t => {
    let sends = 0;
    const behave: replicaStandin.ReplicaHandler = (request, response) => {
      sends++;
      const behaviour = sends === 1 ? each.first : succeed('record');
      behaviour(request, response);
    };
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', behave],
      'i-2': ['ledger', behave],
    });
    await gateway.until(() => [...gateway.replicas].length === 2);
    const method = each.path.startsWith('/file/') ? 'POST' : 'GET';
    const body = method === 'POST' ? 'notice' : undefined;
    const answer = await gateway.call(each.path, {method, body});
    t.is(answer.status, each.status);
    t.is(sends, each.sends);
  });
}

test('gateway: a non-idempotent call that every replica rejects is refused as not run', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', shed],
    'i-2': ['ledger', shed],
  });
  const answer = await gateway.call('/file/a', {method: 'POST', body: 'x'});
  t.is(answer.status, 503);
  t.is(answer.headers['rhubarbvane-work'], 'not-run');
  t.true(Number(answer.headers['retry-after']) <= 4 / 3);
});

test('gateway: a draining replica gets no new work', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', succeed('one')],
    'i-2': ['ledger', succeed('two')],
  });
  gateway.register('i-1', 'ledger', 'draining');
  await gateway.until(
    () => gateway.process.state.instances.get('i-1')?.drainingAt !== undefined,
  );
  for (let count = 0; count < 5; count++) {
    t.is((await gateway.call('/read/a')).body, 'two');
  }
});

test('gateway: a removed key is refused on an open connection', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', succeed('record')],
  });
  t.is((await gateway.call('/read/a')).status, 200);
  gateway.store.put(
    'config',
    'main',
    configurationSpec(2, {tenants: [{name: 'customer-one', apiKeys: ['new']}]}),
  );
  await gateway.until(() => gateway.process.state.configurationVersion === 2);
  t.is((await gateway.call('/read/a')).status, 401);
});

test('gateway: a route that was just added is served', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', succeed('record')],
  });
  const routes = [
    {
      hostname: testGateway.HOST,
      pathPrefix: '/new/',
      type: 'idempotent',
      service: 'ledger',
    },
  ];
  gateway.store.put('config', 'main', configurationSpec(2, {routes}));
  t.is((await gateway.call('/new/a')).status, 200);
});

for (const fault of [
  storeStandin.StoreFault.Busy,
  storeStandin.StoreFault.Reset,
  storeStandin.StoreFault.Garbled,
]) {
  test(`gateway: serves with its last state while the store is ${fault}`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', succeed('record')],
    });
    gateway.store.fault = fault;
    gateway.store.compact();
    await gateway.until(() => gateway.process.state.isSourceUnavailable);
    t.is((await gateway.call('/read/a')).status, 200);
    gateway.store.fault = storeStandin.StoreFault.None;
    gateway.store.put('config', 'main', configurationSpec(3));
    await gateway.until(() => gateway.process.state.configurationVersion === 3);
    t.pass();
  });
}

test('gateway: when a caller disconnects, its request is cancelled at the replica', async t => {
  let isDropped = false;
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      (_, response) => response.once('close', () => (isDropped = true)),
    ],
  });
  const request = gateway.send('/read/a');
  await gateway.until(() => gateway.requestCount === 1);
  request.destroy();
  await gateway.until(() => isDropped);
  t.is(gateway.requestCount, 1);
});
