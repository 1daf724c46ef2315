import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as engineClient from '../../src/endpoint/common/engine_client';
import * as lease from '../../src/storage/common/lease';
import * as sideCalls from '../../src/protocol/common/side_calls';
import * as orderGate from '../../src/side/node/order_gate';
import * as memoryStore from '../support/memory_store';

const test = ava.default;

/** An engine that ignores fencing numbers. */
class NonFencingEngine {
  readonly orders: number[] = [];

  async order(order: sideCalls.EngineOrder): Promise<boolean> {
    this.orders.push(order.fencingNumber);
    return true;
  }
}

function orderOf(fencingNumber: number): sideCalls.EngineOrder {
  return {
    incarnation: 'i',
    fencingNumber,
    action: sideCalls.OrderAction.LoadModel,
    subject: 'm@v1',
  };
}

async function setUp(currentNumber: number) {
  const store = new memoryStore.MemoryStore();
  const record = {
    holder: 'x',
    fencingNumber: currentNumber,
    termMilliseconds: 1,
  };
  await store.write(lease.ORDERS_LEASE_KEY, JSON.stringify(record), 0);
  const engine = new NonFencingEngine();
  const makeGate = () =>
    new orderGate.OrderGate(
      engine as unknown as engineClient.EngineClient,
      store,
    );
  return {store, engine, makeGate};
}

test('a restarted side process refuses a superseded number', async t => {
  const {engine, makeGate} = await setUp(5);
  const reply = await makeGate().order(orderOf(4));
  t.is(reply.failure?.code, resultCode.ResultCode.StaleFencingNumber);
  t.deepEqual(engine.orders, []);
});

test('while the lease cannot be read, orders are refused and none runs', async t => {
  const {store, engine, makeGate} = await setUp(5);
  store.defaultFault = memoryStore.StoreFault.Unreachable;
  const gate = makeGate();
  const reply = await gate.order(orderOf(5));
  t.is(reply.failure?.workState, resultCode.WorkState.NotRun);
  store.defaultFault = memoryStore.StoreFault.None;
  t.true((await gate.order(orderOf(5))).isAccepted);
  t.deepEqual(engine.orders, [5]);
});

test('concurrent orders reach the engine in ascending order of their numbers', async t => {
  const {engine, makeGate} = await setUp(1);
  const gate = makeGate();
  const replies = await Promise.all(
    [3, 1, 4, 2].map(fencingNumber => gate.order(orderOf(fencingNumber))),
  );
  t.deepEqual(
    replies.map(reply => reply.isAccepted),
    [true, false, true, false],
  );
  t.deepEqual(engine.orders, [3, 4]);
});
