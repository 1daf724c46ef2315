/** Instances that name a limit on the requests that they take from all gateways together. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as requestLimit from '../../standins/request_limit';
import * as gatewayFleet from '../support/gateway_fleet';
import * as limitedReplica from '../support/limited_replica';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {GatewayFleet} = gatewayFleet;
const {TestGateway} = testGateway;
const GATEWAYS = 3;
/** Rate at which all callers together send requests, in requests per second. */
const LOAD_PER_SECOND = 60;
const LOAD_MILLISECONDS = 7_000;

interface LimitCase {
  readonly title: string;
  readonly requestsPerSecond: number;
  /** Whether the service has another instance, which names no limit. */
  readonly hasSoundInstance: boolean;
  /** Number of gateways at which callers arrive. */
  readonly loadedGateways: number;
}

const CASES: readonly LimitCase[] = [
  {
    title: 'beside a sound instance',
    requestsPerSecond: 2,
    hasSoundInstance: true,
    loadedGateways: GATEWAYS,
  },
  {
    title: 'as the only instance',
    requestsPerSecond: 3.5,
    hasSoundInstance: false,
    loadedGateways: GATEWAYS,
  },
  {
    title: 'with all load at one gateway',
    requestsPerSecond: 20,
    hasSoundInstance: false,
    loadedGateways: 1,
  },
];

/** Sends requests at a steady rate to the gateways in turn; returns their statuses. */
async function sendLoad(
  fleet: gatewayFleet.GatewayFleet,
  loadedGateways: number,
): Promise<number[]> {
  const answers: Promise<number>[] = [];
  const startedAt = performance.now();
  const total = (LOAD_PER_SECOND * LOAD_MILLISECONDS) / 1000;
  while (answers.length < total) {
    const elapsed = performance.now() - startedAt;
    const due = Math.floor((elapsed * LOAD_PER_SECOND) / 1000);
    while (answers.length < Math.min(due, total)) {
      const gateway = fleet.gateways[answers.length % loadedGateways];
      answers.push(fleet.requestStatus(gateway, testGateway.KEY));
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  return Promise.all(answers);
}

for (const each of CASES) {
  test(`limits: an instance that names a limit gets no more requests than it takes, ${each.title}`, async t => {
    const limited = new limitedReplica.LimitedReplica('i-1');
    limited.limit = String(each.requestsPerSecond);
    const fleet = await GatewayFleet.start(t, GATEWAYS);
    t.teardown(() => limited.close());
    fleet.register('i-1', 'ready', 'ledger', await limited.listen());
    if (each.hasSoundInstance) {
      const sound = new replicaStandin.ReplicaStandin(
        'i-2',
        replicaStandin.succeed('record'),
      );
      t.teardown(() => sound.close());
      fleet.register('i-2', 'ready', 'ledger', await sound.listen());
      await fleet.untilRegistered('i-2');
    }
    await fleet.until(() =>
      fleet.gateways.every(
        gateway =>
          gateway.process.state.instances.get('i-1')?.record.address !==
          '127.0.0.1:9',
      ),
    );
    const statuses = await sendLoad(fleet, each.loadedGateways);
    const most = limited.mostArrivals();
    t.log(`${most} requests in 4 s of ${limited.arrivals.length}`);
    t.true(most <= requestLimit.allowedRequests(each.requestsPerSecond));
    t.true(statuses.every(status => status === 200 || status === 503));
    t.is(
      each.hasSoundInstance && statuses.some(status => status !== 200),
      false,
    );
  });
}

/** Answers like the other replica, and names the limit. */
function naming(
  limit: string,
  handler: replicaStandin.ReplicaHandler,
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    response.setHeader('Server-Limit', limit);
    handler(request, response);
  };
}

/** Calls until a permit has accrued. */
async function untilServed(gateway: testGateway.TestGateway): Promise<void> {
  while ((await gateway.call('/read/a')).status !== 200) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
}

test('limits: callers beyond the limit of all instances are refused at once, with a time to come back', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', naming('0.01', replicaStandin.succeed('record'))],
  });
  t.is((await gateway.call('/read/a')).status, 200);
  const answers = await Promise.all(
    [1, 2, 3].map(() => gateway.call('/read/a')),
  );
  for (const answer of answers) {
    t.is(answer.status, 503);
    t.is(answer.headers['rhubarbvane-work'], 'not-run');
    t.true(Number(answer.headers['retry-after']) > 0);
  }
  t.is(gateway.requestCount, 1);
});

test('limits: generations beyond the limit of all engines are refused, with a time to come back', async t => {
  const finish: replicaStandin.ReplicaHandler = (request, response) => {
    response.writeHead(200, replicaStandin.answerHeaders(request));
    response.end(replicaStandin.events(1, 2));
  };
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', naming('0.01', finish)],
  });
  const send = () => gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.is((await send()).status, 200);
  const refused = await send();
  t.is(refused.status, 503);
  t.true(Number(refused.headers['retry-after']) > 0);
  t.is(gateway.requestCount, 1);
});

test('limits: a stream that has begun goes on at an instance that names a limit', async t => {
  const limited: replicaStandin.ReplicaHandler = (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, replicaStandin.answerHeaders(request));
    response.end(replicaStandin.events(from, 6));
  };
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', naming('10', limited)],
  });
  await gateway.call('/tag/a', {method: 'POST', body: 'p'});
  await gateway.addReplica('i-2', 'writers', (request, response) => {
    response.writeHead(200, replicaStandin.answerHeaders(request));
    response.write(replicaStandin.events(1, 3), () =>
      response.socket!.resetAndDestroy(),
    );
  });
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const answer = await gateway.call('/tag/a', {method: 'POST', body: 'p'});
  t.true(answer.isComplete);
  t.is(answer.body, replicaStandin.events(1, 6));
  t.is(gateway.replicas.get('i-1')!.requests.length, 2);
});

for (const value of ['-1', 'NaN', '1e400', '', 'some', '9'.repeat(2_000)]) {
  test(`limits: the value "${value.slice(0, 8)}" neither limits an instance nor ends its limit`, async t => {
    const replica = naming(value, replicaStandin.succeed('record'));
    const gateway = await TestGateway.start(t, {'i-1': ['ledger', replica]});
    for (let count = 0; count < 5; count++) {
      t.is((await gateway.call('/read/a')).status, 200);
    }
    const standin = gateway.replicas.get('i-1')!;
    standin.handler = naming('0.4', replicaStandin.succeed('record'));
    t.is((await gateway.call('/read/a')).status, 200);
    standin.handler = replica;
    const next = await gateway.call('/read/a');
    t.is(next.status, 503);
    await untilServed(gateway);
    t.is((await gateway.call('/read/a')).status, 503);
  });
}

test('limits: an instance that names its limit no longer gets all requests again', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', naming('2', replicaStandin.succeed('record'))],
  });
  t.is((await gateway.call('/read/a')).status, 200);
  t.is((await gateway.call('/read/a')).status, 503);
  gateway.replicas.get('i-1')!.handler = replicaStandin.succeed('record');
  await untilServed(gateway);
  const answers = [];
  for (let count = 0; count < 20; count++) {
    answers.push((await gateway.call('/read/a')).status);
  }
  t.deepEqual([...new Set(answers)], [200]);
});
