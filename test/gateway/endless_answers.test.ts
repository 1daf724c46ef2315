/** Instances that send bytes without end, until their caller closes the connection. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const BLOCK = Buffer.alloc(65_536, 'x');
/** More than a gateway may read of any of these bodies; an instance that has sent so much ends its answer. */
const MAX_SENT_BYTES = 48 * 1024 * 1024;
/** Memory of a machine, in megabytes. */
const MEMORY_MEGABYTES = 200;

/** An endless body as its instance saw it. */
interface SentBody {
  bytes: number;
  /** Whether the gateway closed the connection. */
  isClosed: boolean;
}

/** Answers with a body that does not end. */
function answerEndlessly(
  sent: SentBody[],
  status: number,
  headers: http.OutgoingHttpHeaders,
  block = BLOCK,
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    const body = {bytes: 0, isClosed: false};
    sent.push(body);
    response.writeHead(status, {
      ...replicaStandin.answerHeaders(request),
      ...headers,
    });
    const socket = response.socket!;
    const timer = setInterval(() => {
      // Writes to a closed connection are dropped without an error, before its response is told.
      while (!socket.destroyed && response.writableLength < 1_000_000) {
        if (body.bytes >= MAX_SENT_BYTES) {
          clearInterval(timer);
          response.end();
          return;
        }
        response.write(block);
        body.bytes += block.length;
      }
    }, 1);
    response.once('close', () => {
      clearInterval(timer);
      body.isClosed = !response.writableFinished;
    });
  };
}

async function start(
  t: ava.ExecutionContext,
  service: string,
  handler: replicaStandin.ReplicaHandler,
): Promise<testGateway.TestGateway> {
  const gateway = await testGateway.TestGateway.start(
    t,
    {'i-1': [service, handler]},
    testGateway.configurationSpec(1),
    {settings: {limits: {memory_megabytes: MEMORY_MEGABYTES}}},
  );
  await gateway.until(() => gateway.process.state.instances.size === 1);
  return gateway;
}

// Guards against a stream without an event boundary that grows until the process has no memory left.
test('endless answers: a stream without the end of an event is ended, and its connection closed', async t => {
  const sent: SentBody[] = [];
  const gateway = await start(t, 'writers', answerEndlessly(sent, 200, {}));
  const answer = await gateway.call('/draft/a', {method: 'POST'});
  t.is(answer.status, 502);
  await gateway.until(() => sent.every(each => each.isClosed));
  t.is(sent.length, 1);
});

// Guards against a refusal whose body keeps its connection busy for good.
for (const [path, service] of [
  ['/draft/a', 'writers'],
  ['/file/a', 'ledger'],
] as const) {
  test(`endless answers: the body of a refusal of ${path} is not read without end`, async t => {
    const sent: SentBody[] = [];
    const refusal = answerEndlessly(sent, 503, {
      'X-Rhubarbvane-Not-Executed': '1',
    });
    const gateway = await start(t, service, refusal);
    const answer = await gateway.call(path, {method: 'POST'});
    t.is(answer.status, 503);
    await gateway.until(() => sent.every(each => each.isClosed));
    t.true(sent.length >= 1);
  });
}

// Guards against a refusal that sends nothing more, but does not end either.
test('endless answers: the connection of a refusal whose body does not end is closed', async t => {
  let isClosed = false;
  const gateway = await start(t, 'writers', (request, response) => {
    response.writeHead(503, {
      ...replicaStandin.answerHeaders(request),
      'X-Rhubarbvane-Not-Executed': '1',
    });
    response.write('x');
    response.once('close', () => (isClosed = true));
  });
  const answer = await gateway.call('/draft/a', {method: 'POST'});
  t.is(answer.status, 503);
  await gateway.until(() => isClosed);
  t.pass();
});

// Guards against failures and whole answers that are collected without a bound.
for (const [title, path, service, status] of [
  ['failure of a stream', '/draft/a', 'writers', 500],
  ['whole answer', '/file/a', 'ledger', 200],
] as const) {
  test(`endless answers: a ${title} is ended, and its connection closed`, async t => {
    const sent: SentBody[] = [];
    const gateway = await start(t, service, answerEndlessly(sent, status, {}));
    const answer = await gateway.call(path, {
      method: 'POST',
      headers: {'X-Rhubarbvane-Deadline-Ms': '60000'},
    });
    t.is(answer.status, 502);
    await gateway.until(() => sent.every(each => each.isClosed));
    t.is(sent.length, 1);
  });
}
