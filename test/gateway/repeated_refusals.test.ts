/** Refusals of earlier requests that replicas write again in place of an answer. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const REQUESTS = 40;
const RETRIES = {window_seconds: 10, ratio: 0.2, allowance: 100};

/** Runs each request, but answers the first arrival of each with a refusal of another one. */
function createReplica(
  runs: Map<string, number>,
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    const attempt = String(request.headers['x-rhubarbvane-attempt-id']);
    const count = (runs.get(attempt) ?? 0) + 1;
    runs.set(attempt, count);
    if (count > 1) {
      replicaStandin.succeed('record')(request, response);
      return;
    }
    response.writeHead(503, {
      'X-Rhubarbvane-Not-Executed': '1',
      'X-Rhubarbvane-Attempt-Id': 'ffffffffffffffff',
    });
    response.end();
  };
}

async function callAll(
  t: ava.ExecutionContext,
  path: string,
  method: string,
): Promise<{statuses: number[]; runs: number[]}> {
  const runs = new Map<string, number>();
  const replica = createReplica(runs);
  const gateway = await testGateway.TestGateway.start(
    t,
    {'i-1': ['ledger', replica], 'i-2': ['ledger', replica]},
    testGateway.configurationSpec(1),
    {settings: {retries: RETRIES}},
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const statuses: number[] = [];
  for (let count = 0; count < REQUESTS; count++) {
    const answer = await gateway.call(path, {method});
    statuses.push(answer.status);
  }
  return {statuses, runs: [...runs.values()]};
}

test('repeated refusals: a call that may be repeated is sent again while the budget lasts', async t => {
  const {statuses, runs} = await callAll(t, '/read/a', 'GET');
  t.deepEqual(new Set(statuses), new Set([200]));
  t.true(runs.every(count => count === 2));
});

test('repeated refusals: a call that may not be repeated runs once and is not called "not run"', async t => {
  const {statuses, runs} = await callAll(t, '/file/a', 'POST');
  t.deepEqual(new Set(statuses), new Set([502]));
  t.true(runs.every(count => count === 1));
});

/** Refuses its first requests, one for each of the callers, and writes each refusal again when the next request arrives on its connection. */
function createFullReplica(
  runs: Map<string, number>,
  refusals: number,
): replicaStandin.ReplicaHandler {
  const late = new WeakMap<net.Socket, string>();
  let refused = 0;
  return (request, response) => {
    const socket = response.socket!;
    const earlier = late.get(socket);
    if (earlier !== undefined) {
      late.delete(socket);
      socket.write(earlier);
    }
    const attempt = String(request.headers['x-rhubarbvane-attempt-id']);
    if (refused < refusals) {
      refused++;
      const head = [
        'HTTP/1.1 503 Service Unavailable',
        'X-Rhubarbvane-Not-Executed: 1',
        `X-Rhubarbvane-Attempt-Id: ${attempt}`,
        'Retry-After: 0.2',
        'Content-Length: 0',
      ];
      late.set(socket, [...head, '', ''].join('\r\n'));
      response.writeHead(503, {
        'X-Rhubarbvane-Not-Executed': '1',
        'X-Rhubarbvane-Attempt-Id': attempt,
        'Retry-After': '0.2',
      });
      response.end();
      return;
    }
    runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
    response.writeHead(200, {
      ...replicaStandin.answerHeaders(request),
      'Content-Type': 'text/event-stream',
    });
    setTimeout(() => response.end(replicaStandin.events(1, 2)), 20);
  };
}

// Guards against a refusal that, written twice, makes the same attempt run at a second instance, or lets it be called "not run" while it runs.
for (const path of ['/draft/a', '/file/a']) {
  test(`repeated refusals: ${path} that is sent again to an instance after its back-off runs once`, async t => {
    const runs = new Map<string, number>();
    const service = path === '/file/a' ? 'ledger' : 'writers';
    const replica = createFullReplica(runs, 2);
    const gateway = await testGateway.TestGateway.start(
      t,
      {'i-1': [service, replica], 'i-2': [service, replica]},
      testGateway.configurationSpec(1),
      {settings: {retries: RETRIES}},
    );
    await gateway.until(() => gateway.process.state.instances.size === 2);
    const answer = await gateway.call(path, {method: 'POST'});
    t.is(answer.status, 200);
    t.deepEqual([...runs.values()], [1]);
  });
}

/** Runs each request; the second one on a connection is answered with a refusal that names no request. */
function createCrossingReplica(
  runs: Map<string, number>,
): replicaStandin.ReplicaHandler {
  const used = new WeakSet<net.Socket>();
  return (request, response) => {
    const attempt = String(request.headers['x-rhubarbvane-attempt-id']);
    runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
    if (used.has(response.socket!)) {
      replicaStandin.shed(request, response);
      return;
    }
    used.add(response.socket!);
    response.writeHead(200, {
      ...replicaStandin.answerHeaders(request),
      'Content-Type': 'text/event-stream',
    });
    response.end(replicaStandin.events(1, 2));
  };
}

// Guards against a refusal that answers an earlier request, or none, and is taken for the answer to a request that runs.
for (const path of ['/draft/a', '/file/a']) {
  test(`repeated refusals: ${path} runs once and is not called "not run" after a refusal that names no request`, async t => {
    const runs = new Map<string, number>();
    const service = path === '/file/a' ? 'ledger' : 'writers';
    const replica = createCrossingReplica(runs);
    const gateway = await testGateway.TestGateway.start(
      t,
      {'i-1': [service, replica], 'i-2': [service, replica]},
      testGateway.configurationSpec(1),
      {settings: {retries: RETRIES}},
    );
    await gateway.until(() => gateway.process.state.instances.size === 2);
    const statuses: number[] = [];
    for (let count = 0; count < 10; count++) {
      statuses.push((await gateway.call(path, {method: 'POST'})).status);
    }
    t.deepEqual(new Set(runs.values()), new Set([1]));
    t.deepEqual(new Set(statuses), new Set([200, 502]));
  });
}

/** Runs each request, and answers with the status but without the statement that it was not run. */
function answerUnproven(status: number): replicaStandin.ReplicaHandler {
  return (request, response) =>
    response
      .writeHead(status, {
        ...replicaStandin.answerHeaders(request),
        'Retry-After': '0.2',
      })
      .end('busy');
}

// Guards against statuses that callers take as a promise, upon which they send the request again.
for (const status of [408, 429, 503]) {
  for (const path of ['/draft/a', '/file/a']) {
    test(`repeated refusals: ${status} without the statement is not passed on for ${path}`, async t => {
      const service = path === '/file/a' ? 'ledger' : 'writers';
      const gateway = await testGateway.TestGateway.start(t, {
        'i-1': [service, answerUnproven(status)],
      });
      const answer = await gateway.call(path, {method: 'POST'});
      t.is(answer.status, 502);
      t.is(answer.headers['x-rhubarbvane-server-stamp'], undefined);
      t.is(gateway.requestCount, 1);
    });
  }

  test(`repeated refusals: ${status} without the statement is passed on for a call that may be repeated`, async t => {
    const gateway = await testGateway.TestGateway.start(t, {
      'i-1': ['ledger', answerUnproven(status)],
    });
    const answer = await gateway.call('/read/a');
    t.is(answer.status, status);
    t.is(answer.body, 'busy');
  });
}
