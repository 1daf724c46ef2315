/** Copies of running generations at leaving instances, and the freeing of unused copies. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as storeStandin from '../../standins/store_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {events, answerHeaders} = replicaStandin;

/** A generation that runs at one of two replicas until `finish` is called. */
interface RunningGeneration {
  readonly gateway: testGateway.TestGateway;
  readonly source: replicaStandin.ReplicaStandin;
  readonly answered: Promise<testGateway.CallerAnswer>;
  readonly finish: () => void;
}

async function startGeneration(
  t: ava.ExecutionContext,
): Promise<RunningGeneration> {
  let finish = () => undefined as void;
  let source = '';
  const behaviour: replicaStandin.ReplicaHandler = (request, response) => {
    source = request.headers['x-rhubarbvane-expect-replica'] as string;
    response.writeHead(200, answerHeaders(request));
    response.write(events(1, 3));
    finish = () => void response.end(events(4, 5));
  };
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', behaviour],
    'i-2': ['writers', behaviour],
  });
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const answered = gateway.call('/draft/a', {method: 'POST', body: 'p'});
  await gateway.until(() => source !== '');
  return {gateway, source: gateway.replicas.get(source)!, answered, finish};
}

test('copies: a copy made when the source starts draining is freed when the run ends there', async t => {
  const {gateway, source, answered, finish} = await startGeneration(t);
  gateway.register(source.id, 'writers', 'draining');
  // The first copy is used once its answer has arrived; a second copy shows that it has.
  await gateway.until(() => source.copies.length > 1);
  finish();
  t.true((await answered).isComplete);
  await gateway.until(() => source.freedHandles.length > 0);
  t.regex(source.freedHandles[0], /^h\d+$/);
});

test('copies: a copy that completes after its run has ended is freed', async t => {
  const {gateway, source, answered, finish} = await startGeneration(t);
  let answerCopy = () => undefined as void;
  source.beforeCopyAnswer = new Promise(resolve => (answerCopy = resolve));
  gateway.register(source.id, 'writers', 'draining');
  await gateway.until(() => source.copies.length > 0);
  finish();
  t.true((await answered).isComplete);
  answerCopy();
  await gateway.until(() => source.freedHandles.length > 0);
  t.deepEqual(source.freedHandles, ['h1']);
});

test('copies: while the store is down, an engine that reports that it is leaving is evacuated', async t => {
  const {gateway, source, answered, finish} = await startGeneration(t);
  gateway.store.fault = storeStandin.StoreFault.Reset;
  // Ends the pending watches, so that the gateway notices.
  gateway.store.compact();
  source.state = 'draining';
  await gateway.until(() => source.copies.length > 0);
  finish();
  t.true((await answered).isComplete);
});

test('copies: the close of a stream whose run was stopped to be moved is not its end', async t => {
  let source = '';
  let closeSource = () => undefined as void;
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', stream],
    'i-2': ['writers', stream],
  });
  function stream(
    request: replicaStandin.ReceivedRequest,
    response: Parameters<replicaStandin.ReplicaHandler>[1],
  ): void {
    if (request.headers['kv-from'] !== undefined) {
      response.writeHead(200, answerHeaders(request));
      response.end(events(4, 5));
      return;
    }
    source = request.headers['x-rhubarbvane-expect-replica'] as string;
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, answerHeaders(request));
    response.write(events(1, 3));
    closeSource = () => void response.end();
  }
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const answered = gateway.call('/draft/a', {
    method: 'POST',
    body: 'p',
    headers: {'X-Rhubarbvane-Attempt-Id': '00000000000000f2'},
  });
  await gateway.until(() => source !== '');
  const replica = gateway.replicas.get(source)!;
  let answerCopy = () => undefined as void;
  replica.beforeCopyAnswer = new Promise(resolve => (answerCopy = resolve));
  // The replica made more events than arrived, so the gateway stops the run and moves it.
  replica.runs = [['00000000000000f2', 900, 20, 5]];
  await gateway.until(() => replica.copies.some(copy => copy.last === true));
  closeSource();
  const instance = gateway.process.state.instances.get(source)!;
  await gateway.until(() => instance.openRequests === 0);
  answerCopy();
  const answer = await answered;
  t.true(answer.isComplete);
  t.is(answer.body, events(1, 5));
});
