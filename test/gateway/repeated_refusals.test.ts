/** Refusals of earlier requests that replicas write again in place of an answer. */
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
