/** Streams while replicas of two software versions serve side by side. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as tcpRelay from '../../standins/tcp_relay';
import * as gatewayFleet from '../support/gateway_fleet';
import * as testGateway from '../support/test_gateway';
import * as versionedReplica from '../support/versioned_replica';

const test = ava.default;
const {TestGateway, configurationSpec, route} = testGateway;
const {GatewayFleet} = gatewayFleet;
const {BREAK_AFTER, LAST} = versionedReplica;
const STREAMS = 16;
const VERSIONS = {'i-1': 'v1', 'i-2': 'v1', 'i-3': 'v1.2', 'i-4': 'v1.2'};

/** Streams break off in one answer only where another attempt may not go on. */
const CONFIGURATION = configurationSpec(1, {
  routes: [
    route('/read/', 'idempotent', 'ledger'),
    route('/tag/', 'streaming', 'writers', {affinity: true, resumable: true}),
    route('/once/', 'streaming', 'writers', {
      affinity: true,
      resumable: true,
      attempts: 1,
    }),
    route('/draft/', 'streaming', 'writers', {affinity: true, attempts: 1}),
  ],
});

let streamCount = 0;

/** Id of a new attempt. */
function newAttempt(): string {
  return `7${String(++streamCount).padStart(15, '0')}`;
}

/** A stream's request; bodies differ, so that broken-off streams are no poison request. */
function streamOptions(
  attempt: string,
  headers: Record<string, string> = {},
): testGateway.CallerOptions {
  return {
    method: 'POST',
    body: `p${attempt}`,
    headers: {'X-Rhubarbvane-Attempt-Id': attempt, ...headers},
  };
}

/** Headers of a caller that resumes the stream of an attempt. */
function resumeHeaders(
  attempt: string,
  lastEvent = BREAK_AFTER,
): Record<string, string> {
  return {'Last-Event-Id': String(lastEvent), Resumes: attempt};
}

type Versions = Readonly<Record<string, string>>;
type HandlerOf = (version: string) => replicaStandin.ReplicaHandler;

/** Starts a gateway before replicas of the versions. */
async function startGateway(
  t: ava.ExecutionContext,
  versions: Versions = VERSIONS,
  handlerOf: HandlerOf = versionedReplica.breakOnce,
  configuration = CONFIGURATION,
): Promise<testGateway.TestGateway> {
  const replicas = Object.entries(versions).map(
    ([id, version]) =>
      [id, ['writers', handlerOf(version), version]] as [
        string,
        [string, replicaStandin.ReplicaHandler, string],
      ],
  );
  const gateway = await TestGateway.start(
    t,
    Object.fromEntries(replicas),
    configuration,
  );
  await gateway.until(
    () => gateway.process.state.instances.size === replicas.length,
  );
  return gateway;
}

/** Starts a replica of the version; resolves when the gateways know it. */
async function addReplica(
  t: ava.ExecutionContext,
  fleet: gatewayFleet.GatewayFleet,
  id: string,
  version: string,
  gateways = fleet.gateways,
): Promise<void> {
  const replica = new replicaStandin.ReplicaStandin(
    id,
    versionedReplica.breakOnce(version),
  );
  t.teardown(() => replica.close());
  fleet.register(id, 'ready', 'writers', await replica.listen(), version);
  await fleet.until(() =>
    gateways.every(
      each =>
        each.process.state.instances.get(id)?.record.endpoint === 'writers',
    ),
  );
}

/** Starts several gateways before replicas of the versions. */
async function startFleet(
  t: ava.ExecutionContext,
  gateways: number,
  versions: Versions = VERSIONS,
): Promise<gatewayFleet.GatewayFleet> {
  const fleet = await GatewayFleet.start(t, gateways);
  fleet.store.put('config', 'main', {...CONFIGURATION, version: 2});
  for (const [id, version] of Object.entries(versions)) {
    await addReplica(t, fleet, id, version);
  }
  await fleet.until(() =>
    fleet.gateways.every(
      ({process}) =>
        process.state.configurationVersion === 2 &&
        process.peerCount === gateways - 1,
    ),
  );
  return fleet;
}

test('versions: a stream that breaks off goes on in its answer at the version that began it', async t => {
  const gateway = await startGateway(t);
  for (let count = 0; count < STREAMS; count++) {
    const answer = await gateway.call('/tag/a', streamOptions(newAttempt()));
    t.true(answer.isComplete);
    t.is(versionedReplica.eventCount(answer.body), LAST);
    t.is(versionedReplica.versionsIn(answer.body).length, 1);
  }
});

test('versions: a stream that its caller resumes at the same gateway goes on at the version that began it', async t => {
  const gateway = await startGateway(t);
  for (let count = 0; count < STREAMS; count++) {
    const attempt = newAttempt();
    const first = await gateway.call('/once/a', streamOptions(attempt));
    const next = await gateway.call(
      '/once/a',
      streamOptions(newAttempt(), resumeHeaders(attempt)),
    );
    const body = first.body + next.body;
    t.is(versionedReplica.eventCount(body), LAST);
    t.is(versionedReplica.versionsIn(body).length, 1);
  }
});

/** Begins streams at a gateway; they break off. */
async function beginStreams(
  fleet: gatewayFleet.GatewayFleet,
  gateway: gatewayFleet.FleetGateway,
): Promise<{readonly attempt: string; readonly body: string}[]> {
  const begun = [];
  for (let count = 0; count < STREAMS; count++) {
    const attempt = newAttempt();
    const options = streamOptions(attempt);
    const answer = await fleet.call(
      gateway,
      testGateway.KEY,
      '/once/a',
      options,
    );
    begun.push({attempt, body: answer.body});
  }
  return begun;
}

/** Resumes a stream at a gateway. */
function resumeAt(
  fleet: gatewayFleet.GatewayFleet,
  gateway: gatewayFleet.FleetGateway,
  attempt: string,
): Promise<testGateway.CallerAnswer> {
  const options = streamOptions(newAttempt(), resumeHeaders(attempt));
  return fleet.call(gateway, testGateway.KEY, '/once/a', options);
}

for (const isKilled of [false, true]) {
  test(`versions: a stream that its caller resumes at another gateway goes on at the version that began it${isKilled ? ', after the first gateway was killed' : ''}`, async t => {
    const fleet = await startFleet(t, 3);
    const [first, ...others] = fleet.gateways;
    const begun = await beginStreams(fleet, first);
    if (isKilled) {
      first.process.dispose();
    }
    for (const [index, {attempt, body}] of begun.entries()) {
      const other = others[index % others.length];
      const answer = await resumeAt(fleet, other, attempt);
      t.is(versionedReplica.eventCount(body + answer.body), LAST);
      t.is(versionedReplica.versionsIn(body + answer.body).length, 1);
    }
  });
}

test('versions: a stream that its caller resumes at a gateway that was restarted goes on at the version that began it', async t => {
  const fleet = await startFleet(t, 3);
  const begun = await beginStreams(fleet, fleet.gateways[0]);
  const restarted = await fleet.restart(fleet.gateways[0]);
  for (const {attempt, body} of begun) {
    let answer = await resumeAt(fleet, restarted, attempt);
    // A gateway that has just started may not know its peers yet; it then answers 503 with a short Retry-After.
    while (answer.status === 503) {
      t.true(Number(answer.headers['retry-after']) < 1);
      answer = await resumeAt(fleet, restarted, attempt);
    }
    t.is(versionedReplica.eventCount(body + answer.body), LAST);
    t.is(versionedReplica.versionsIn(body + answer.body).length, 1);
  }
});

test('versions: a gateway whose peers do not answer refuses a stream that it does not know, and says when to come back', async t => {
  const fleet = await startFleet(t, 3);
  const [left, ...silent] = fleet.gateways;
  silent.forEach(each => each.process.dispose());
  const answer = await resumeAt(fleet, left, newAttempt());
  t.is(answer.status, 503);
  t.true(Number(answer.headers['retry-after']) < 1);
});

// Guards against streams that go on at another version at a gateway that missed the arrival of theirs.
test('versions: streams of a version that joined while a gateway was cut off from the store do not go on at another version there', async t => {
  const fleet = await startFleet(t, 3, {'i-1': 'v1', 'i-2': 'v1'});
  const [first, second, cutOff] = fleet.gateways;
  cutOff.relay.setMode(tcpRelay.RelayMode.SilenceAll);
  await addReplica(t, fleet, 'i-3', 'v1.2', [first, second]);
  await addReplica(t, fleet, 'i-4', 'v1.2', [first, second]);
  const resumed = [];
  for (const {attempt, body} of await beginStreams(fleet, first)) {
    resumed.push({body, answer: await resumeAt(fleet, cutOff, attempt)});
  }
  t.true(resumed.some(({body}) => body.includes('v1.2')));
  for (const {body, answer} of resumed) {
    const isRefused = answer.status === 503;
    t.true(
      isRefused || versionedReplica.versionsIn(body + answer.body).length === 1,
    );
  }
});

test('versions: a stream that began before the second version came is resumed at its version', async t => {
  const gateway = await startGateway(t, {'i-1': 'v1', 'i-2': 'v1'});
  const attempts = Array.from({length: STREAMS}, newAttempt);
  for (const attempt of attempts) {
    await gateway.call('/once/a', streamOptions(attempt));
  }
  await gateway.addReplica(
    'i-3',
    'writers',
    versionedReplica.breakOnce('v1.2'),
    'v1.2',
  );
  await gateway.until(() => gateway.process.state.instances.size === 3);
  for (const attempt of attempts) {
    const options = streamOptions(newAttempt(), resumeHeaders(attempt));
    const answer = await gateway.call('/once/a', options);
    t.deepEqual(versionedReplica.versionsIn(answer.body), ['v1']);
  }
});

test('versions: a stream that no gateway has begun is refused while two versions serve', async t => {
  const gateway = await startGateway(t);
  const options = streamOptions(newAttempt(), resumeHeaders(newAttempt()));
  const answer = await gateway.call('/tag/a', options);
  t.is(answer.status, 503);
  t.is(answer.headers['rhubarbvane-work'], 'not-run');
  t.is(gateway.requestCount, 0);
});

test('versions: a stream that no gateway has begun goes on while one version serves', async t => {
  const gateway = await startGateway(t, {'i-1': 'v1', 'i-2': 'v1'});
  const options = streamOptions(newAttempt(), resumeHeaders(newAttempt()));
  const answer = await gateway.call('/tag/a', options);
  t.is(answer.status, 200);
  t.is(versionedReplica.eventCount(answer.body), LAST - BREAK_AFTER);
});

for (const lastEvent of ['0', '']) {
  test(`versions: a stream whose last event is "${lastEvent}" begins at any version`, async t => {
    const gateway = await startGateway(t);
    const headers = {'Last-Event-Id': lastEvent, Resumes: newAttempt()};
    const options = streamOptions(newAttempt(), headers);
    const answer = await gateway.call('/tag/a', options);
    t.true(answer.isComplete);
    t.is(versionedReplica.eventCount(answer.body), LAST);
  });
}

test('versions: a stream whose version serves no more is refused and runs nowhere else', async t => {
  const gateway = await startGateway(t, {'i-1': 'v1'});
  const attempt = newAttempt();
  await gateway.call('/once/a', streamOptions(attempt));
  const {breakOnce} = versionedReplica;
  await gateway.addReplica('i-2', 'writers', breakOnce('v1.2'), 'v1.2');
  await gateway.until(() => gateway.process.state.instances.size === 2);
  gateway.store.remove('servers', 'i-1');
  await gateway.until(() => gateway.process.state.instances.size === 1);
  const options = streamOptions(newAttempt(), resumeHeaders(attempt));
  const answer = await gateway.call('/once/a', options);
  t.is(answer.status, 503);
  t.is(gateway.replicas.get('i-2')!.requests.length, 0);
});

test('versions: a run is backed up at an instance of its version', async t => {
  const engine = platformObjects.engineSpec({backups: true});
  const services = [
    platformObjects.serviceSpec('ledger'),
    platformObjects.serviceSpec('writers', engine),
  ];
  const configuration = {...CONFIGURATION, services};
  const finish: HandlerOf = version => (request, response) => {
    response.writeHead(200, replicaStandin.answerHeaders(request));
    response.end(versionedReplica.eventsOf(version, 1, LAST));
  };
  const gateway = await startGateway(t, VERSIONS, finish, configuration);
  const versionAt = new Map(
    Object.entries(VERSIONS).map(
      ([id, version]) => [gateway.addressOf(id), version] as const,
    ),
  );
  for (let count = 0; count < STREAMS; count++) {
    await gateway.call('/draft/a', streamOptions(newAttempt()));
  }
  let backups = 0;
  for (const [id, {requests}] of gateway.replicas) {
    for (const {headers} of requests) {
      const backup = headers['x-rhubarbvane-kv-backup'] as string;
      backups++;
      t.is(versionAt.get(backup), VERSIONS[id as keyof typeof VERSIONS]);
    }
  }
  t.is(backups, STREAMS);
});

test('versions: a run is copied from a leaving instance to one of its version', async t => {
  const finishers: (() => void)[] = [];
  const hold: HandlerOf = version => (request, response) => {
    response.writeHead(200, replicaStandin.answerHeaders(request));
    response.write(versionedReplica.eventsOf(version, 1, 2));
    finishers.push(() => response.end());
  };
  const gateway = await startGateway(t, VERSIONS, hold);
  const answers = Array.from({length: STREAMS}, () =>
    gateway.call('/draft/a', streamOptions(newAttempt())),
  );
  await gateway.until(() => finishers.length === STREAMS);
  gateway.register('i-1', 'writers', 'draining', 'v1');
  gateway.register('i-3', 'writers', 'draining', 'v1.2');
  const copiesOf = (id: string) => gateway.replicas.get(id)!.copies;
  await gateway.until(
    () => copiesOf('i-1').length > 2 && copiesOf('i-3').length > 2,
  );
  finishers.forEach(finish => finish());
  await Promise.all(answers);
  for (const [source, target] of [
    ['i-1', 'i-2'],
    ['i-3', 'i-4'],
  ]) {
    const targets = new Set(copiesOf(source).map(each => each.target));
    t.deepEqual([...targets], [gateway.addressOf(target)]);
  }
});
