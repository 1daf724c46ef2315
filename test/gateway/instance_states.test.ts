/** Instances that say in their answers that they leave, alone and together with other states. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as gatewayFleet from '../support/gateway_fleet';
import * as replicaStatements from '../support/replica_statements';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {succeed} = replicaStatements;

const event: replicaStandin.ReplicaHandler = (request, response) => {
  response.writeHead(200, replicaStandin.answerHeaders(request));
  response.write(replicaStandin.events(1, 1));
};

for (const [title, handler] of [
  ['a success', succeed],
  ['a failure', replicaStandin.fail],
  ['a rejection', replicaStandin.shed],
] as const) {
  // Work that is sent to an instance after its notice is lost with it.
  test(`leaving: an instance that says so with ${title} gets no more requests, whatever its registration says`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': [
        'ledger',
        replicaStatements.saying({'Server-Leaving': '1'}, handler),
      ],
      'i-2': ['ledger', succeed],
    });
    await replicaStatements.callUntilAt(gateway, 'i-1');
    t.is(await replicaStatements.sampleAt(gateway, 'i-1'), 0);
    // A version that has not been seen shows that the registration was read.
    gateway.register('i-1', 'ledger', 'ready', 'v2');
    await gateway.until(
      () =>
        gateway.process.state.instances.get('i-1')?.record.softwareVersion ===
        'v2',
    );
    t.is(await replicaStatements.sampleAt(gateway, 'i-1'), 0);
  });
}

test('leaving: the head of a stream counts before its end', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'writers',
      replicaStatements.saying({'Server-Leaving': '1'}, event),
    ],
  });
  const first = gateway.send('/tag/a', {method: 'POST', body: 'p'});
  await gateway.until(
    () => gateway.process.state.instances.get('i-1')!.drainingAt !== undefined,
  );
  await gateway.addReplica('i-2', 'writers', event);
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const second = gateway.send('/tag/b', {method: 'POST', body: 'p'});
  await gateway.until(() => replicaStatements.countAt(gateway, 'i-2') === 1);
  t.is(replicaStatements.countAt(gateway, 'i-1'), 1);
  first.destroy();
  second.destroy();
});

// The address may have been given to another instance, whose word says nothing of this one.
test('leaving: an answer of another instance at the address does not count', async t => {
  const elsewhere: replicaStandin.ReplicaHandler = (request, response) =>
    response.writeHead(421, replicaStandin.answerHeaders(request)).end();
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      replicaStatements.saying(
        {'Server-Leaving': '1', 'Retry-After': '100'},
        elsewhere,
      ),
    ],
  });
  await gateway.call('/read/a');
  gateway.replicas.get('i-1')!.handler = succeed;
  t.is((await gateway.call('/read/a')).status, 200);
});

for (const value of ['0', '', 'yes', 'NaN', '1e400', '-1', '100000']) {
  test(`leaving: the value "${value}" changes nothing`, async t => {
    const gateway = await TestGateway.start(t, {
      'i-1': ['ledger', replicaStatements.saying({'Server-Leaving': value})],
    });
    t.is((await gateway.call('/read/a')).status, 200);
    t.is((await gateway.call('/read/a')).status, 200);
  });
}

// Requests in flight were sent before the notice and are still answered.
test('leaving: requests that the instance already has are answered, and those behind them on kept connections go elsewhere', async t => {
  const held: (() => void)[] = [];
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      (request, response) =>
        held.push(() => {
          response.setHeader('Server-Leaving', '1');
          succeed(request, response);
        }),
    ],
  });
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  t.teardown(() => agent.destroy());
  const first = gateway.call('/read/a', {agent});
  const behind = [1, 2, 3].map(() => gateway.call('/read/a', {agent}));
  const others = [1, 2].map(() => gateway.call('/read/b'));
  await gateway.until(() => held.length === 3);
  await gateway.addReplica('i-2', 'ledger', succeed);
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const replica = gateway.replicas.get('i-1')!;
  replica.handler = replicaStandin.reset;
  // The first to be answered is the one with requests behind it.
  held.forEach(answer => answer());
  const answers = await Promise.all([first, ...behind, ...others]);
  t.deepEqual([...new Set(answers.map(({status}) => status))], [200]);
  t.is(replicaStatements.countAt(gateway, 'i-1'), 3);
  t.is(replicaStatements.countAt(gateway, 'i-2'), 3);
});

test('leaving: another instance at the address, and the next start of the instance, get requests', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', replicaStatements.saying({'Server-Leaving': '1'})],
  });
  await gateway.call('/read/a');
  t.is((await gateway.call('/read/a')).status, 503);
  const replica = gateway.replicas.get('i-1')!;
  replica.handler = succeed;
  const spec = platformObjects.registrationSpec(
    'ledger',
    gateway.addressOf('i-1')!,
  );
  gateway.store.put('servers', 'i-3', spec);
  await gateway.until(() => gateway.process.state.instances.size === 2);
  t.is((await gateway.call('/read/a')).status, 200);
  t.is(replica.requests[1].headers['x-rhubarbvane-expect-replica'], 'i-3');
  gateway.store.put('servers', 'i-3', {...spec, state: 'draining'});
  gateway.store.put('servers', 'i-1', {...spec, born: 2});
  await gateway.until(
    () =>
      gateway.process.state.instances.get('i-1')!.record.startedAt === 2 &&
      gateway.process.state.instances.get('i-3')!.drainingAt !== undefined,
  );
  t.is((await gateway.call('/read/a')).status, 200);
});

// Gateways that have got no answer from the instance would go on sending.
test('leaving: the other gateways are told', async t => {
  const replica = new replicaStandin.ReplicaStandin(
    'i-1',
    replicaStatements.saying({'Server-Leaving': '1'}),
  );
  const fleet = await gatewayFleet.GatewayFleet.start(t, 3);
  t.teardown(() => replica.close());
  fleet.register('i-1', 'ready', 'ledger', await replica.listen());
  await fleet.until(() =>
    fleet.gateways.every(
      ({process}) =>
        process.state.instances.get('i-1')!.record.address !== '127.0.0.1:9' &&
        process.peerCount === 2,
    ),
  );
  await fleet.requestStatus(fleet.gateways[0], testGateway.KEY);
  const toldAt = performance.now();
  await fleet.until(() =>
    fleet.gateways.every(
      ({process}) =>
        process.state.instances.get('i-1')!.drainingAt !== undefined,
    ),
  );
  const milliseconds = performance.now() - toldAt;
  t.log(`${Math.round(milliseconds)} ms`);
  t.true(milliseconds < 1_000);
});

// The state that ends first would let requests through that the other one excludes.
test('back-off and leaving: an instance in both gets nothing after its back-off', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      replicaStatements.rejecting('0.2', {'Server-Leaving': '1'}),
    ],
    'i-2': ['ledger', succeed],
  });
  await replicaStatements.callUntilAt(gateway, 'i-1');
  await new Promise(resolve => setTimeout(resolve, 400));
  t.is(await replicaStatements.sampleAt(gateway, 'i-1'), 0);
});

test('back-off and limit: after its back-off an instance gets no more than its limit', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      replicaStatements.rejecting('0.2', {'Server-Limit': '0.01'}),
    ],
  });
  const answers = await Promise.all(
    Array.from({length: replicaStatements.SAMPLES}, () =>
      gateway.call('/read/a'),
    ),
  );
  t.true(answers.every(({status}) => status === 503));
  await new Promise(resolve => setTimeout(resolve, 400));
  const before = gateway.requestCount;
  await replicaStatements.sampleAt(gateway, 'i-1');
  t.true(gateway.requestCount - before <= 1);
});

for (const [title, headers] of [
  ['in back-off', {'Retry-After': '0.2', 'X-Rhubarbvane-Not-Executed': '1'}],
  ['cold alone', {}],
] as const) {
  // Each state alone lets more through than the smaller of the two.
  test(`cold and ${title}: an instance gets its ramp at the most`, async t => {
    const configuration = testGateway.configurationSpec(1, {
      services: [{...platformObjects.serviceSpec('ledger'), rampPerS: 1}],
    });
    const status = 'Retry-After' in headers ? 503 : 200;
    const gateway = await TestGateway.start(
      t,
      {
        'i-1': [
          'ledger',
          replicaStatements.saying(
            {'X-Rhubarbvane-Warmup-Ms': '60000', ...headers},
            (request, response) =>
              response
                .writeHead(status, replicaStandin.answerHeaders(request))
                .end(),
          ),
        ],
      },
      configuration,
    );
    await gateway.call('/read/a');
    const before = gateway.requestCount;
    const endsAt = performance.now() + 1_000;
    while (performance.now() < endsAt) {
      await gateway.call('/read/a');
    }
    // Permitted in a second: one and a half times the ramp and five more.
    t.true(gateway.requestCount - before <= 6);
  });
}

test('cold and leaving: an instance in both gets nothing', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'ledger',
      replicaStatements.saying({
        'X-Rhubarbvane-Warmup-Ms': '60000',
        'Server-Leaving': '1',
      }),
    ],
    'i-2': ['ledger', succeed],
  });
  await replicaStatements.callUntilAt(gateway, 'i-1');
  t.is(await replicaStatements.sampleAt(gateway, 'i-1'), 0);
});

// Measured before: none of 314 requests in the 8 s after went to the instance.
test('failures: an instance that turned requests away for 4 s gets work within 2 s after it has recovered', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', replicaStandin.shed],
    'i-2': ['ledger', succeed],
    'i-3': ['ledger', succeed],
  });
  const replica = gateway.replicas.get('i-1')!;
  const statuses = new Set<number>();
  const load = async (milliseconds: number) => {
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt) {
      statuses.add((await gateway.call('/file/a')).status);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  };
  await load(4_000);
  const rejected = replica.requests.length;
  replica.handler = succeed;
  await load(2_000);
  const early = replica.requests.length - rejected;
  await load(4_000);
  t.log(
    `${rejected} rejected, then ${early} in 2 s, ${replica.requests.length - rejected} in 6 s`,
  );
  t.true(early >= 1);
  t.deepEqual([...statuses], [200]);
});
