/** Copies of running generations that nobody goes on from. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as storeStandin from '../../standins/store_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {events, stamped} = replicaStandin;

test('copies: one that was made on notice is freed when the run ends at its source', async t => {
  let finish = () => undefined as void;
  let source = '';
  const behaviour: replicaStandin.ReplicaBehaviour = (request, response) => {
    source = request.headers['x-rhubarbvane-expect-replica'] as string;
    response.writeHead(200, stamped(request));
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
  const replica = gateway.replicas.get(source)!;
  gateway.register(source, 'writers', 'draining');
  await gateway.until(() => replica.copies.length > 0);
  // The copy counts once its answer has arrived, which the next call shows.
  await gateway.until(() => replica.copies.length > 1);
  finish();
  const answer = await answered;
  t.true(answer.isWhole);
  await gateway.until(() => replica.dropped.length > 0);
  t.regex(replica.dropped[0], /^h\d+$/);
});

test('copies: while the store is down, an engine that reports to be leaving is evacuated', async t => {
  let finish = () => undefined as void;
  let source = '';
  const behaviour: replicaStandin.ReplicaBehaviour = (request, response) => {
    source = request.headers['x-rhubarbvane-expect-replica'] as string;
    response.writeHead(200, stamped(request));
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
  gateway.store.fault = storeStandin.StoreFault.Reset;
  // The watches that wait are cut, so that the gateway notices.
  gateway.store.compact();
  const replica = gateway.replicas.get(source)!;
  replica.state = 'draining';
  await gateway.until(() => replica.copies.length > 0);
  finish();
  t.true((await answered).isWhole);
});
