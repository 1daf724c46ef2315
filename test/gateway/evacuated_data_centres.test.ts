/** Requests to instances of evacuated data centres, by every kind of send. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {events, answerHeaders, succeed} = replicaStandin;
const BOUND = 5_000;
const SETTINGS = {evacuationBound: BOUND};
/** Requests that each test sends, so that a single one sent to the wrong place shows. */
const REQUESTS = 12;
const POST = {
  method: 'POST',
  body: 'p',
  headers: {'X-Rhubarbvane-Deadline-Ms': '30000'},
};
/** Lets generations wait and run for long, so that a busy machine ends none before its test has seen it. */
const PATIENT = {affinity: true, timeoutMs: 30_000, sloMs: 20_000};
const CONFIGURATION = testGateway.configurationSpec(1, {
  routes: [
    testGateway.route('/read/', 'idempotent', 'ledger'),
    testGateway.route('/file/', 'non_idempotent', 'ledger', {attempts: 1}),
    testGateway.route('/draft/', 'streaming', 'writers', PATIENT),
    testGateway.route('/tag/', 'streaming', 'writers', {
      ...PATIENT,
      resumable: true,
    }),
  ],
});

/** Starts a gateway before one replica in data centre a and one in b; a is evacuated. */
async function startEvacuated(
  t: ava.ExecutionContext,
  service: string,
  inA: replicaStandin.ReplicaHandler,
  inB: replicaStandin.ReplicaHandler,
  configuration = CONFIGURATION,
): Promise<testGateway.TestGateway> {
  const gateway = await TestGateway.start(
    t,
    {'i-a': [service, inA, 'v1', 'a'], 'i-b': [service, inB, 'v1', 'b']},
    configuration,
    SETTINGS,
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  await evacuate(gateway, 'a');
  return gateway;
}

async function evacuate(
  gateway: testGateway.TestGateway,
  dataCentre: string,
): Promise<void> {
  gateway.store.put('evacuations', dataCentre, {});
  await gateway.until(() => isEvacuated(gateway, dataCentre));
}

async function reopen(
  gateway: testGateway.TestGateway,
  dataCentre: string,
): Promise<void> {
  gateway.store.remove('evacuations', dataCentre);
  await gateway.until(() => !isEvacuated(gateway, dataCentre));
}

function isEvacuated(
  {process}: testGateway.TestGateway,
  dataCentre: string,
): boolean {
  const {dataCentres} = process.evacuations;
  return dataCentres.evacuatedSince(dataCentre) !== undefined;
}

function requestsAt(gateway: testGateway.TestGateway, id: string): number {
  return gateway.replicas.get(id)!.requests.length;
}

async function callTimes(
  gateway: testGateway.TestGateway,
  path: string,
  options: testGateway.CallerOptions = {},
): Promise<number[]> {
  const answers = await Promise.all(
    Array.from({length: REQUESTS}, () => gateway.call(path, options)),
  );
  return answers.map(each => each.status);
}

/** Sends the first events and leaves the stream open until it is ended. */
function openStream(): {
  readonly handler: replicaStandin.ReplicaHandler;
  finish: () => void;
  reset: () => void;
} {
  const stream = {
    handler: (
      request: replicaStandin.ReceivedRequest,
      response: Parameters<replicaStandin.ReplicaHandler>[1],
    ) => {
      response.writeHead(200, answerHeaders(request));
      response.write(events(1, 3));
      stream.finish = () => void response.end(events(4, 5));
      stream.reset = () => void response.socket!.resetAndDestroy();
    },
    finish: () => undefined as void,
    reset: () => undefined as void,
  };
  return stream;
}

/** Answers with the events after the last one that the caller has. */
const stream: replicaStandin.ReplicaHandler = (request, response) => {
  const from = Number(request.headers['last-event-id'] ?? 0) + 1;
  response.writeHead(200, answerHeaders(request));
  response.end(events(from, 5));
};

test('evacuated data centre: calls go elsewhere, come back when it is reopened, and leave when it is evacuated again', async t => {
  const gateway = await startEvacuated(t, 'ledger', succeed('a'), succeed('b'));
  const served = Array.from({length: REQUESTS}, () => 200);
  t.deepEqual(await callTimes(gateway, '/read/x'), served);
  t.deepEqual(await callTimes(gateway, '/file/x', POST), served);
  t.is(requestsAt(gateway, 'i-a'), 0);
  await reopen(gateway, 'a');
  // The gateway is in this data centre, so that calls prefer it.
  t.deepEqual(await callTimes(gateway, '/read/x'), served);
  const before = requestsAt(gateway, 'i-a');
  t.true(before > 0);
  await evacuate(gateway, 'a');
  t.deepEqual(await callTimes(gateway, '/read/x'), served);
  t.is(requestsAt(gateway, 'i-a'), before);
});

test('evacuated data centre: a call that failed elsewhere is not repeated there', async t => {
  const gateway = await startEvacuated(
    t,
    'ledger',
    succeed('a'),
    replicaStandin.fail,
  );
  const statuses = await callTimes(gateway, '/read/x');
  t.deepEqual([...new Set(statuses)], [500]);
  t.is(requestsAt(gateway, 'i-a'), 0);
});

test('evacuated data centre: if no other instance serves, calls are refused with 503 and a time to come back', async t => {
  const gateway = await startEvacuated(t, 'ledger', succeed('a'), succeed('b'));
  await evacuate(gateway, 'b');
  const answer = await gateway.call('/file/x', POST);
  t.is(answer.status, 503);
  t.true(Number(answer.headers['retry-after']) > 0);
  t.is(gateway.requestCount, 0);
});

test('evacuated data centre: a run there continues to its end while new generations go elsewhere', async t => {
  const open = openStream();
  const gateway = await TestGateway.start(
    t,
    {'i-a': ['writers', open.handler, 'v1', 'a']},
    CONFIGURATION,
    SETTINGS,
  );
  const running = gateway.call('/draft/x', POST);
  await gateway.until(() => requestsAt(gateway, 'i-a') === 1);
  await gateway.addReplica('i-b', 'writers', stream, 'v1', 'b');
  await gateway.until(() => gateway.process.state.instances.size === 2);
  await evacuate(gateway, 'a');
  t.true((await callTimes(gateway, '/draft/x', POST)).every(s => s === 200));
  open.finish();
  const answer = await running;
  t.is(answer.body, events(1, 5));
  t.true(answer.isComplete);
  t.is(requestsAt(gateway, 'i-a'), 1);
});

test('evacuated data centre: a generation that waits while all are evacuated starts where one is reopened', async t => {
  const gateway = await startEvacuated(t, 'writers', stream, stream);
  await evacuate(gateway, 'b');
  const waiting = gateway.call('/draft/x', POST);
  await gateway.until(() => gateway.waitingCount === 1);
  await reopen(gateway, 'b');
  t.is((await waiting).status, 200);
  t.is(requestsAt(gateway, 'i-a'), 0);
  t.is(requestsAt(gateway, 'i-b'), 1);
});

test('evacuated data centre: a generation that waits already when the evacuation is ordered does not go there', async t => {
  const gateway = await TestGateway.start(
    t,
    {
      'i-a': ['writers', stream, 'v1', 'a'],
      'i-b': ['writers', stream, 'v1', 'b'],
    },
    CONFIGURATION,
    SETTINGS,
  );
  const setState = async (state: string) => {
    gateway.register('i-a', 'writers', state, 'v1', 'a');
    gateway.register('i-b', 'writers', state, 'v1', 'b');
    const instances = () => [...gateway.process.state.instances.all()];
    await gateway.until(
      () =>
        instances().length === 2 &&
        instances().every(each => each.record.state === state),
    );
  };
  await setState('draining');
  const waiting = gateway.call('/draft/x', POST);
  await gateway.until(() => gateway.waitingCount === 1);
  await evacuate(gateway, 'a');
  await setState('ready');
  t.is((await waiting).status, 200);
  t.is(requestsAt(gateway, 'i-a'), 0);
});

test('evacuated data centre: a generation that waits too long is refused with 503 and a time to come back', async t => {
  const gateway = await startEvacuated(
    t,
    'writers',
    stream,
    stream,
    testGateway.configurationSpec(1),
  );
  await evacuate(gateway, 'b');
  const answer = await gateway.call('/draft/x', POST);
  t.is(answer.status, 503);
  t.true(Number(answer.headers['retry-after']) > 0);
  t.is(gateway.requestCount, 0);
});

test('evacuated data centre: streams that callers or the gateway resume do not go there', async t => {
  const broken = openStream();
  const gateway = await startEvacuated(
    t,
    'writers',
    stream,
    (request, response) =>
      request.headers['last-event-id'] === undefined
        ? broken.handler(request, response)
        : stream(request, response),
  );
  const resumed = await callTimes(gateway, '/tag/x', {
    ...POST,
    headers: {'Last-Event-ID': '2', Resumes: '00000000000000f1'},
  });
  t.true(resumed.every(status => status === 200));
  t.is(requestsAt(gateway, 'i-a'), 0);
  const continued = gateway.call('/tag/x', POST);
  const sent = requestsAt(gateway, 'i-b');
  await gateway.until(() => requestsAt(gateway, 'i-b') > sent);
  await gateway.addReplica('i-b2', 'writers', stream, 'v1', 'b');
  await gateway.until(() => gateway.process.state.instances.size === 3);
  broken.reset();
  t.is((await continued).body, events(1, 5));
  t.is(requestsAt(gateway, 'i-a'), 0);
  t.is(requestsAt(gateway, 'i-b2'), 1);
});

test('evacuated data centre: runs of a leaving instance are not copied there', async t => {
  const open = openStream();
  const gateway = await startEvacuated(t, 'writers', stream, open.handler);
  const answered = gateway.call('/draft/x', POST);
  await gateway.until(() => requestsAt(gateway, 'i-b') === 1);
  gateway.register('i-b', 'writers', 'draining', 'v1', 'b');
  const instance = gateway.process.state.instances.get('i-b')!;
  await gateway.until(() => instance.drainingAt !== undefined);
  await gateway.addReplica('i-b2', 'writers', stream, 'v1', 'b');
  const source = gateway.replicas.get('i-b')!;
  await gateway.until(() => source.copies.length > 1);
  const targets = new Set(source.copies.map(copy => copy.target));
  t.deepEqual([...targets], [gateway.addressOf('i-b2')]);
  open.finish();
  t.true((await answered).isComplete);
});

test('evacuated data centre: a copy that is there already is not used, not even at an instance that drains', async t => {
  for (const isTargetDraining of [false, true]) {
    const open = openStream();
    const gateway = await TestGateway.start(
      t,
      {'i-b': ['writers', open.handler, 'v1', 'b']},
      CONFIGURATION,
      SETTINGS,
    );
    const answered = gateway.call('/draft/x', POST);
    await gateway.until(() => requestsAt(gateway, 'i-b') === 1);
    await gateway.addReplica('i-a', 'writers', stream, 'v1', 'a');
    await gateway.until(() => gateway.process.state.instances.size === 2);
    gateway.register('i-b', 'writers', 'draining', 'v1', 'b');
    // The first copy is known once its answer has arrived; a second one shows that it has.
    const source = gateway.replicas.get('i-b')!;
    await gateway.until(() => source.copies.length > 1);
    await evacuate(gateway, 'a');
    if (isTargetDraining) {
      gateway.register('i-a', 'writers', 'draining', 'v1', 'a');
      const target = gateway.process.state.instances.get('i-a')!;
      await gateway.until(() => target.drainingAt !== undefined);
    }
    open.reset();
    const answer = await answered;
    t.false(answer.isComplete);
    t.is(requestsAt(gateway, 'i-a'), 0);
  }
});

test('evacuated data centre: no backups are kept there', async t => {
  const services = [
    platformObjects.serviceSpec(
      'writers',
      platformObjects.engineSpec({stride: 4, backups: true}),
    ),
  ];
  const gateway = await TestGateway.start(
    t,
    {
      'i-b': ['writers', stream, 'v1', 'b'],
      'i-a': ['writers', stream, 'v1', 'a'],
    },
    {...CONFIGURATION, services},
    SETTINGS,
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const backups = () =>
    [...gateway.replicas.values()].flatMap(replica =>
      replica.requests.map(each => each.headers['x-rhubarbvane-kv-backup']),
    );
  await callTimes(gateway, '/draft/x', POST);
  t.true(backups().every(each => each !== undefined));
  await evacuate(gateway, 'a');
  const before = backups().length;
  await callTimes(gateway, '/draft/x', POST);
  const after = gateway.replicas
    .get('i-b')!
    .requests.slice(-REQUESTS)
    .map(each => each.headers['x-rhubarbvane-kv-backup']);
  t.is(backups().length, before + REQUESTS);
  t.deepEqual([...new Set(after)], [undefined]);
});

test('evacuated data centre: a gateway that does not learn the evacuations serves nothing before the bound, and then serves', async t => {
  const bound = 2_000;
  const startedAt = performance.now();
  const gateway = await TestGateway.create(t, {evacuationBound: bound});
  await gateway.addReplica('i-a', 'ledger', succeed('a'));
  gateway.store.refusedKind = 'evacuations';
  gateway.store.put('config', 'main', testGateway.configurationSpec(1));
  await gateway.until(() => gateway.process.state.instances.size === 1);
  await gateway.until(() => gateway.process.isReady);
  t.true(performance.now() - startedAt >= bound);
  t.is((await gateway.call('/read/x')).status, 200);
});

test('evacuations: without the setting nothing is read, relayed or enforced', async t => {
  const gateway = await TestGateway.start(t, {
    'i-a': ['ledger', succeed('a'), 'v1', 'a'],
  });
  gateway.store.put('evacuations', 'a', {});
  t.is((await gateway.call('/read/x')).status, 200);
  // Several watches of the other kinds have passed.
  const watches = () =>
    gateway.store.calls.filter(each => each.includes('/servers?watch='));
  const before = watches().length;
  await gateway.until(() => watches().length > before + 1);
  t.is((await gateway.call('/read/x')).status, 200);
  const calls = gateway.store.calls.filter(each =>
    each.includes('evacuations'),
  );
  t.deepEqual(calls, []);
  t.is(gateway.process.evacuations.toRelay(), undefined);
});
