/** Graceful shutdown: running requests complete, and new ones are served or refused as not run. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {events, answerHeaders, succeed} = replicaStandin;

test('shutdown: a running stream completes, calls are served, and long generations are refused as not run', async t => {
  let finish = () => undefined as void;
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'writers',
      (request, response) => {
        response.writeHead(200, answerHeaders(request));
        response.write(events(1, 2));
        finish = () => void response.end(events(3, 4));
      },
    ],
    'i-2': ['ledger', succeed('record')],
  });
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const running = gateway.call('/draft/a', {method: 'POST', body: 'p'});
  await gateway.until(() => gateway.requestCount === 1);
  const left = gateway.process.shutDown();
  t.false(gateway.process.isReady);

  const served = await gateway.call('/read/a');
  t.is(served.status, 200);
  t.is(served.headers.connection, 'close');
  const refused = await gateway.call('/draft/b', {
    method: 'POST',
    body: 'q',
    headers: {
      'X-Rhubarbvane-Token-Count': '100,40000',
      'X-Rhubarbvane-Length-Hint': '40000',
    },
  });
  t.is(refused.status, 503);
  t.is(refused.headers['rhubarbvane-work'], 'not-run');
  t.is(gateway.replicas.get('i-1')!.requests.length, 1);

  finish();
  const answer = await running;
  t.true(answer.isComplete);
  t.is(answer.body, events(1, 4));
  await left;
});

test('shutdown: a refused caller is told to retry when a gateway accepts it, not within the time left at this one', async t => {
  const routes = [
    testGateway.route('/draft/', 'streaming', 'writers', {
      affinity: true,
      attempts: 1,
      timeoutMs: 60_000,
    }),
  ];
  const gateway = await TestGateway.start(
    t,
    {'i-1': ['writers', succeed('unused')]},
    testGateway.configurationSpec(1, {routes}),
  );
  void gateway.process.shutDown();
  const refused = await gateway.call('/draft/b', {
    method: 'POST',
    body: 'q',
    headers: {
      'X-Rhubarbvane-Token-Count': '100,40000',
      'X-Rhubarbvane-Length-Hint': '40000',
      'X-Rhubarbvane-Deadline-Ms': '60000',
    },
  });
  t.is(refused.status, 503);
  // Grace period of 8 s and a restart, with a jitter of a quarter; a third of the time left at this gateway is 2.5 s.
  t.true(Number(refused.headers['retry-after']) > 5);
});

test('shutdown: requests that instances have not answered when the process ends are answered on their connections', async t => {
  const gateway = await TestGateway.start(
    t,
    {
      'i-1': ['writers', () => undefined],
      'i-2': ['ledger', () => undefined],
    },
    testGateway.configurationSpec(1),
    {settings: {shutdown: {grace_seconds: 2}}},
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const headers = {'X-Rhubarbvane-Deadline-Ms': '20000'};
  const paths = ['/read/a', '/file/a', '/draft/a'];
  const answers = paths.map(path =>
    gateway.call(path, {
      method: 'POST',
      headers,
      agent: new http.Agent({keepAlive: true}),
    }),
  );
  await gateway.until(() => gateway.requestCount === paths.length);
  await gateway.process.shutDown();
  for (const answer of await Promise.all(answers)) {
    t.like(answer, {status: 504, isComplete: true});
    t.is(answer.headers['rhubarbvane-work'], 'unknown');
  }
  t.is(gateway.requestCount, paths.length);
});
