/** Hedged calls through a gateway with replicas of which one does not answer. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, configurationSpec} = testGateway;
const {succeed} = replicaStandin;

/** Time within which an instance whose answer is not needed must stop. */
const STOP_MILLISECONDS = 500;
/** Objective of the route in the configuration of the tests. */
const OBJECTIVE_MILLISECONDS = 1_000;

test('hedging: calls to a replica that hangs are answered by the other one, and the replica stops within half a second', async t => {
  const gateway = await TestGateway.start(
    t,
    {'i-1': ['ledger', succeed('one')], 'i-2': ['ledger', succeed('two')]},
    configurationSpec(1),
    {settings: {hedging: {max_share: 0.5}}},
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const slow = gateway.replicas.get('i-2')!;
  for (let count = 0; count < 40; count++) {
    t.is((await gateway.call('/read/a')).status, 200);
  }
  let open = 0;
  const closedAt: number[] = [];
  slow.handler = (_, response) => {
    open++;
    response.once('close', () => {
      open--;
      closedAt.push(performance.now());
    });
  };
  const seenBefore = slow.requests.length;
  for (let count = 0; count < 12; count++) {
    const startedAt = performance.now();
    const closedBefore = closedAt.length;
    const answer = await gateway.call('/read/a');
    const answeredAt = performance.now();
    t.is(answer.body, 'one');
    t.true(answeredAt - startedAt < OBJECTIVE_MILLISECONDS);
    await gateway.until(() => open === 0);
    closedAt
      .slice(closedBefore)
      .forEach(at => t.true(at - answeredAt < STOP_MILLISECONDS));
  }
  const hedged = slow.requests.length - seenBefore;
  t.log(`${hedged} of 12 calls reached the replica that hangs`);
  t.true(hedged > 0);
  t.is(closedAt.length, hedged);
  t.is(gateway.process.state.instances.get('i-2')!.openRequests, 0);
  t.is(gateway.process.state.instances.get('i-2')!.failureRate, 0);
});

test('hedging: with the setting off, a call waits for the replica it was sent to', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['ledger', succeed('one')],
    'i-2': ['ledger', succeed('two')],
  });
  await gateway.until(() => gateway.process.state.instances.size === 2);
  for (let count = 0; count < 40; count++) {
    t.is((await gateway.call('/read/a')).status, 200);
  }
  const before = gateway.requestCount;
  for (const replica of gateway.replicas.values()) {
    replica.handler = (request, response) =>
      setTimeout(() => succeed('late')(request, response), 600);
  }
  t.is((await gateway.call('/read/a')).body, 'late');
  t.is(gateway.requestCount, before + 1);
});
