/** Drafts, which may run once, at engines that break off: where they go on, and where they may not. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as draftEngines from '../support/draft_engines';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, configurationSpec} = testGateway;
const {answerHeaders, events, reset} = replicaStandin;
const {LONG_EVENTS, breakOffAfter, engine, goOn} = draftEngines;

/** Engines that keep backups of their runs. */
const CONFIGURATION = configurationSpec(1, {
  services: [
    platformObjects.serviceSpec(
      'writers',
      platformObjects.engineSpec({backups: true}),
    ),
  ],
});
const PROMPT_TOKENS = 900;
const EVENT_MILLISECONDS = 20;

interface Outcome {
  readonly answer: testGateway.CallerAnswer;
  /** Number of requests that arrived at engines. */
  readonly arrivals: number;
  /** Last copy from which the draft went on. */
  readonly copy: string | undefined;
  /** Orders to stop a run. */
  readonly stops: number;
}

/** Plays one draft at three engines that behave alike. */
async function playDraft(
  t: ava.ExecutionContext,
  behaviour: replicaStandin.ReplicaHandler,
  prepare: (replica: replicaStandin.ReplicaStandin) => void = () => undefined,
): Promise<Outcome> {
  const ids = ['i-1', 'i-2', 'i-3'];
  const gateway = await TestGateway.start(
    t,
    Object.fromEntries(ids.map(id => [id, ['writers', behaviour]])),
    CONFIGURATION,
  );
  await gateway.until(() => gateway.process.state.instances.size === 3);
  gateway.replicas.forEach(replica => {
    replica.memoryTokens = PROMPT_TOKENS;
    replica.copyStatus = 404;
    prepare(replica);
  });
  const answer = await gateway.call('/draft/a', {
    method: 'POST',
    body: 'p',
    headers: {
      'X-Rhubarbvane-Attempt-Id': '00000000000000a1',
      'X-Rhubarbvane-Token-Count': `${PROMPT_TOKENS},400`,
    },
  });
  const replicas = [...gateway.replicas.values()];
  const requests = replicas.flatMap(replica => replica.requests);
  const orders = replicas.flatMap(replica => replica.copies);
  return {
    answer,
    arrivals: requests.length,
    copy: requests
      .map(({headers}) => headers['kv-from']?.toString())
      .findLast(copy => copy !== undefined),
    stops: orders.filter(({last}) => last === true).length,
  };
}

test('single runs: a draft whose engine loses its answer does not run at the engine of its backup too', async t => {
  const {answer, arrivals} = await playDraft(t, reset);
  t.is(arrivals, 1);
  t.is(answer.status, 502);
});

test('single runs: a draft that has run for long enough goes on from its backup', async t => {
  const behaviour = engine(breakOffAfter(LONG_EVENTS), goOn);
  const {answer, arrivals, copy} = await playDraft(t, behaviour);
  t.is(arrivals, 2);
  t.regex(copy!, /\/00000000000000a1$/);
  t.true(answer.isComplete);
  t.is(answer.body, events(1, LONG_EVENTS + 2));
});

test('single runs: a draft whose connection broke is stopped at its engine before it goes on elsewhere', async t => {
  const behaviour = engine(breakOffAfter(LONG_EVENTS), goOn);
  const {answer, stops, copy} = await playDraft(
    t,
    behaviour,
    replica => (replica.copyStatus = 200),
  );
  t.is(stops, 1);
  t.regex(copy!, /\/h1$/);
  t.is(answer.body, events(1, LONG_EVENTS + 2));
});

test('single runs: a draft does not go on elsewhere while its engine does not say that it has stopped', async t => {
  const behaviour = engine(breakOffAfter(LONG_EVENTS), goOn);
  const {answer, arrivals, stops} = await playDraft(
    t,
    behaviour,
    replica => (replica.copyStatus = undefined),
  );
  t.is(arrivals, 1);
  t.is(stops, 1);
  t.false(answer.isComplete);
});

test('single runs: a draft whose order to stop was not answered goes on once its engine no longer knows the run', async t => {
  const behaviour = engine(breakOffAfter(LONG_EVENTS), goOn);
  const {answer, stops, copy} = await playDraft(
    t,
    behaviour,
    replica => (replica.nextCopyStatuses = [500, 409]),
  );
  t.is(stops, 3);
  t.regex(copy!, /\/00000000000000a1$/);
  t.is(answer.body, events(1, LONG_EVENTS + 2));
});

test('single runs: a silent engine that may still work on a draft is not replaced by its backup', async t => {
  const silentAfter: replicaStandin.ReplicaHandler = (request, response) => {
    response.writeHead(200, answerHeaders(request));
    let sent = 0;
    const timer = setInterval(() => {
      if (sent < LONG_EVENTS) {
        sent++;
        response.write(events(sent, sent));
      }
    }, EVENT_MILLISECONDS);
    setTimeout(() => {
      clearInterval(timer);
      response.end(events(LONG_EVENTS + 1, LONG_EVENTS + 1));
    }, 3_500);
  };
  const {answer, arrivals, stops} = await playDraft(
    t,
    engine(silentAfter, goOn),
    replica => {
      replica.isReporting = false;
      replica.copyStatus = undefined;
    },
  );
  t.is(arrivals, 1);
  t.is(stops, 1);
  t.is(answer.body, events(1, LONG_EVENTS + 1));
});

test('single runs: a draft whose backup cannot have arrived yet ends with its engine', async t => {
  const behaviour = engine(breakOffAfter(2), goOn);
  const {answer, arrivals} = await playDraft(t, behaviour);
  t.is(arrivals, 1);
  t.false(answer.isComplete);
});

test('single runs: a draft that went on from its backup does not run again if that answer is lost', async t => {
  const behaviour = engine(breakOffAfter(LONG_EVENTS), reset);
  const {answer, arrivals} = await playDraft(t, behaviour);
  t.is(arrivals, 2);
  t.false(answer.isComplete);
});

const MISSING_BACKUPS: readonly (readonly [
  string,
  (replica: replicaStandin.ReplicaStandin) => void,
])[] = [
  ['had no room for it', replica => (replica.memoryTokens = 800)],
  ['has started again', replica => (replica.startedAt = 2)],
  ['does not report', replica => (replica.isReporting = false)],
];

for (const [title, prepare] of MISSING_BACKUPS) {
  test(`single runs: a draft does not go on at an engine of its backup that ${title}`, async t => {
    const behaviour = engine(breakOffAfter(LONG_EVENTS), goOn);
    const {answer, arrivals} = await playDraft(t, behaviour, prepare);
    t.is(arrivals, 1);
    t.false(answer.isComplete);
  });
}
