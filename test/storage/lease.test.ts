import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as fencingGate from '../../src/decision/common/fencing_gate';
import * as lease from '../../src/storage/common/lease';
import * as memoryStore from '../support/memory_store';

const test = ava.default;
const TERM_MILLISECONDS = 10_000;
const KEY = lease.ORDERS_LEASE_KEY;
let clock: fakeTimers.Clock;
test.beforeEach(() => {
  clock = fakeTimers.install();
});
test.afterEach.always(() => {
  clock.uninstall();
});

function createLeases() {
  const store = new memoryStore.MemoryStore();
  return {
    store,
    first: new lease.Lease(store, KEY, 'entry-0', TERM_MILLISECONDS),
    second: new lease.Lease(store, KEY, 'entry-1', TERM_MILLISECONDS),
  };
}

test.serial(
  'a holder that was paused past its term no longer holds the lease',
  async t => {
    const {first} = createLeases();
    t.true(await first.acquire());
    clock.tick(TERM_MILLISECONDS);
    t.false(first.isHeld);
  },
);

test.serial(
  'two instances never hold the lease at once, whatever the renewal times',
  async t => {
    const {first, second} = createLeases();
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
  'a renewal keeps the fencing number, and a new holder increases it',
  async t => {
    const {first, second} = createLeases();
    await first.acquire();
    clock.tick(1_000);
    await first.acquire();
    t.is(first.fencingNumber, 1);
    await second.acquire();
    clock.tick(TERM_MILLISECONDS + 1);
    await second.acquire();
    t.is(second.fencingNumber, 2);
    t.false(await first.acquire());
  },
);

test.serial(
  'after a lost reply the holder has the fencing number that was written',
  async t => {
    const {store, first} = createLeases();
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
  'the fencing gate admits no order until it knows the current number',
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
