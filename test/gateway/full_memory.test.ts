/** What a gateway does while its heap is nearly full. */
import * as ava from 'ava';
import * as bufferCollector from '../../src/base/node/buffer_collector';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;

/** A heap that is full until it is collected. */
class FullHeap extends testGateway.SteadyHeap {
  override collect(): void {
    super.collect();
    this.usedMegabytes = 30;
  }
}

test('full memory: requests are refused as not run only until the heap is collected, which is not left to garbage', async t => {
  const heap = new FullHeap();
  const gateway = await testGateway.TestGateway.start(
    t,
    {'i-1': ['ledger', replicaStandin.succeed('read')]},
    testGateway.configurationSpec(1),
    {heap},
  );
  const callUntil = async (status: number) => {
    let answer = await gateway.call('/read/a');
    while (answer.status !== status) {
      await new Promise(resolve => setTimeout(resolve, 20));
      answer = await gateway.call('/read/a');
    }
    return answer;
  };
  await callUntil(200);
  heap.usedMegabytes = 80;
  bufferCollector.collectHeap();
  const refused = await callUntil(503);
  t.truthy(refused.headers['retry-after']);
  t.is(heap.collections, 0);
  await callUntil(200);
  t.is(heap.collections, 1);
});
