import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as fencingGate from '../../src/decision/common/fencing_gate';
import * as lease from '../../src/storage/common/lease';
import * as memoryStore from '../support/memory_store';

const test = ava.default;
const TERM = 10_000;
const KEY = lease.ORDERS_LEASE_KEY;
let clock: fakeTimers.Clock;
test.beforeEach(() => {
  clock = fakeTimers.install();
});
test.afterEach.always(() => {
  clock.uninstall();
});

function pair() {
  const store = new memoryStore.MemoryStore();
  return {
    store,
    first: new lease.Lease(store, KEY, 'entry-0', TERM),
    second: new lease.Lease(store, KEY, 'entry-1', TERM),
  };
}

test.serial(
  'a holder paused past its lease knows before its next order',
  async t => {
    const {first} = pair();
    t.true(await first.acquire());
    clock.tick(TERM);
    t.false(first.isHeld);
  },
);

test.serial(
  'never two holders at once, whatever the times of renewal',
  async t => {
    const {first, second} = pair();
    await first.acquire();
    for (let step = 0; step < 200; step++) {
      clock.tick(370);
      if (step % 7 === 0 && step < 100) {
        await first.acquire();
      }
      await second.acquire();
      t.false(first.isHeld && second.isHeld, `both hold at step ${step}`);
    }
    t.true(second.isHeld);
    t.is(second.fencingNumber, 2);
  },
);

test.serial(
  'a renewal keeps the number, and a new holder raises it',
  async t => {
    const {first, second} = pair();
    await first.acquire();
    clock.tick(1_000);
    await first.acquire();
    t.is(first.fencingNumber, 1);
    await second.acquire();
    clock.tick(TERM + 1);
    await second.acquire();
    t.is(second.fencingNumber, 2);
    t.false(await first.acquire());
  },
);

test.serial(
  'a lost reply never leaves the holder with a number that was not written',
  async t => {
    const {store, first} = pair();
    store.faults = [
      memoryStore.StoreFault.None,
      memoryStore.StoreFault.ReplyLost,
    ];
    t.false(await first.acquire());
    t.true(await first.acquire());
    t.is(
      (await lease.readFencingNumber(store, KEY))._unsafeUnwrap(),
      first.fencingNumber,
    );
  },
);

test.serial(
  'a side process refuses every order until it knows the number in force',
  t => {
    const gate = new fencingGate.FencingGate();
    t.false(gate.admit(7));
    gate.observe(8);
    t.false(gate.admit(7));
    t.true(gate.admit(8));
    t.true(gate.admit(9));
    t.false(gate.admit(8));
  },
);
