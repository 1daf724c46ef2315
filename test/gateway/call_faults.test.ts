/** Faults of the gateway itself while it handles requests: each of them is answered or broken off at once. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as bodyStore from '../../src/base/node/body_store';
import * as waitingCalls from '../../src/gateway/node/waiting_calls';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
/** Less than callers wait, in milliseconds. */
const PROMPT_MILLISECONDS = 2_000;
/** Time that a caller of a stuck call waits, in milliseconds. */
const SHORT_WAIT_MILLISECONDS = 500;

/** Marks a header or a part of a body on which the gateway fails. */
const FAULT = 'X-Fault';

/** Makes the gateway fail where it writes what is marked, or reads a request that is. */
function injectFaults(): void {
  const response = http.ServerResponse.prototype;
  const {writeHead, write, end} = response;
  const fail = () => {
    throw new Error('injected fault');
  };
  // Of the servers in this process, only the gateway passes headers in a list, and bodies in buffers.
  response.writeHead = function (
    this: http.ServerResponse,
    ...given: unknown[]
  ) {
    const headers = given.at(-1);
    if (Array.isArray(headers) && headers.includes(FAULT)) {
      fail();
    }
    return Reflect.apply(writeHead, this, given);
  } as typeof writeHead;
  response.write = function (this: http.ServerResponse, ...given: unknown[]) {
    const [chunk] = given;
    if (Buffer.isBuffer(chunk) && chunk.includes(FAULT)) {
      fail();
    }
    return Reflect.apply(write, this, given);
  } as typeof write;
  response.end = function (this: http.ServerResponse, ...given: unknown[]) {
    const [chunk] = given;
    if (Buffer.isBuffer(chunk) && chunk.includes(FAULT)) {
      fail();
    }
    return Reflect.apply(end, this, given);
  } as typeof end;
  const store = bodyStore.BodyStore.prototype;
  const {read} = store;
  store.read = function (request, ...rest) {
    return request.headers['x-fault'] === 'read'
      ? Promise.reject(new Error('injected fault'))
      : read.call(this, request, ...rest);
  };
  const calls = waitingCalls.WaitingCalls.prototype;
  const {place} = calls;
  calls.place = function (context, ...rest) {
    const {passedHeaders} = context.call.caller;
    return passedHeaders.includes('stuck')
      ? new Promise(() => undefined)
      : place.call(this, context, ...rest);
  };
}

test.before(injectFaults);

/** Answers with the status and the pieces of a body, one after the other. */
function answerWith(
  status: number,
  headers: http.OutgoingHttpHeaders,
  ...pieces: readonly string[]
): replicaStandin.ReplicaHandler {
  return async (request, response) => {
    response.writeHead(status, {
      ...replicaStandin.answerHeaders(request),
      ...headers,
    });
    for (const piece of pieces) {
      response.write(piece);
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    response.end();
  };
}

async function start(
  t: ava.ExecutionContext,
  service: string,
  handler: replicaStandin.ReplicaHandler,
): Promise<testGateway.TestGateway> {
  const gateway = await TestGateway.start(t, {'i-1': [service, handler]});
  await gateway.until(() => gateway.process.state.instances.size === 1);
  return gateway;
}

function keptConnection(t: ava.ExecutionContext): http.Agent {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  t.teardown(() => agent.destroy());
  return agent;
}

const EVENTS = replicaStandin.events(1, 2);

for (const [title, path, service, status] of [
  ['an idempotent call', '/read/a', 'ledger', 200],
  ['another call', '/file/a', 'ledger', 200],
  ['a call that failed', '/file/a', 'ledger', 500],
  ['a stream', '/draft/a', 'writers', 200],
  ['a stream that failed', '/draft/a', 'writers', 500],
  ['a resumable stream', '/tag/a', 'writers', 200],
] as const) {
  test(`call faults: the head of the answer to ${title} cannot be written, and the caller is answered 502 on its connection`, async t => {
    const handler = answerWith(status, {[FAULT]: '1'}, EVENTS);
    const gateway = await start(t, service, handler);
    const agent = keptConnection(t);
    const startedAt = performance.now();
    const first = await gateway.call(path, {method: 'POST', agent});
    t.like(first, {status: 502, isComplete: true});
    t.like(JSON.parse(first.body), {error: {work: 'unknown'}});
    t.true(performance.now() - startedAt < PROMPT_MILLISECONDS);
    t.is(gateway.requestCount, 1);
    const second = await gateway.call('/none/a', {agent});
    t.is(second.status, 404);
    t.is(gateway.process.state.instances.size, 1);
  });
}

for (const [title, path, service] of [
  ['call', '/file/a', 'ledger'],
  ['stream', '/draft/a', 'writers'],
  ['resumable stream', '/tag/a', 'writers'],
] as const) {
  test(`call faults: the body of the answer to a ${title} cannot be written, and is broken off at once`, async t => {
    const late = `id: 3\ndata: ${FAULT}\n\n`;
    const gateway = await start(
      t,
      service,
      answerWith(200, {}, EVENTS, late, replicaStandin.events(4, 5)),
    );
    const startedAt = performance.now();
    const result = await gateway
      .call(path, {method: 'POST'})
      .catch(() => ({isComplete: false, body: ''}));
    t.false(result.isComplete);
    t.true(performance.now() - startedAt < PROMPT_MILLISECONDS);
    t.is(gateway.requestCount, 1);
  });
}

for (const [method, body] of [
  ['GET', undefined],
  ['POST', 'b'],
] as const) {
  test(`call faults: a ${method} request that cannot be read is answered, and not sent to an instance`, async t => {
    const gateway = await start(t, 'ledger', replicaStandin.succeed('ok'));
    const headers = {[FAULT]: 'read'};
    const first = await gateway.call('/file/a', {method, headers, body});
    t.like(first, {status: 500, isComplete: true});
    t.is(gateway.requestCount, 0);
  });
}

test('call faults: a call that is not ended by its deadline is answered then', async t => {
  const gateway = await start(t, 'writers', replicaStandin.succeed(EVENTS));
  const agent = keptConnection(t);
  const first = await gateway.call('/draft/a', {
    method: 'POST',
    agent,
    headers: {
      'X-Odd': 'stuck',
      'X-Rhubarbvane-Deadline-Ms': String(SHORT_WAIT_MILLISECONDS),
    },
  });
  t.like(first, {status: 502, isComplete: true});
  const second = await gateway.call('/draft/a', {method: 'POST', agent});
  t.like(second, {status: 200, body: EVENTS, isComplete: true});
});
