import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as resultCode from '../../src/base/common/result_code';
import * as claimPage from '../../src/protocol/common/claim_page';
import * as claimService from '../../src/entry/node/claim_service';
import * as idempotentCallService from '../../src/entry/node/idempotent_call_service';
import * as serviceDispatcher from '../../src/entry/node/service_dispatcher';
import * as sideCalls from '../../src/protocol/common/side_calls';
import * as failure from '../../src/base/common/failure';
import * as memoryStore from '../support/memory_store';

const test = ava.default;
const {StoreFault} = memoryStore;
const KEY_TIME = Date.UTC(2026, 11, 4);
const ANSWER: sideCalls.ServiceResponse = {
  status: 201,
  contentType: 'text/plain',
  bodyBase64: 'b2s=',
};

let clock: fakeTimers.Clock;
test.before(() => {
  clock = fakeTimers.install({now: KEY_TIME});
});
test.beforeEach(() => {
  clock.setSystemTime(KEY_TIME);
});
test.after.always(() => {
  clock.uninstall();
});

/** Fake service dispatcher that counts the runs. */
class CountingDispatcher {
  runs = 0;
  replies: sideCalls.ServiceReply[] = [];
  onWillRun: () => Promise<void> = () => Promise.resolve();

  async dispatch(): Promise<sideCalls.ServiceReply> {
    await this.onWillRun();
    const reply = this.replies.shift() ?? {answer: ANSWER};
    const wasNotRun = reply.failure?.workState === resultCode.WorkState.NotRun;
    this.runs += wasNotRun ? 0 : 1;
    return reply;
  }
}

const CALL = {isRepeatable: false} as serviceDispatcher.ServiceRequest;

function actionKey(body = 'b1'): idempotentCallService.ActionKey {
  return {
    customerKey: 'galle/key',
    keyMilliseconds: KEY_TIME,
    bodySha256: body,
  };
}

function setUp(store = new memoryStore.MemoryStore()) {
  const dispatcher = new CountingDispatcher();
  const makeEntry = () =>
    new idempotentCallService.IdempotentCallService(
      new claimService.ClaimService(store, () => 1),
      dispatcher as unknown as serviceDispatcher.ServiceDispatcher,
    );
  return {store, dispatcher, makeEntry};
}

/** Advances the clock until the promise settles. */
async function settle<T>(promise: Promise<T>): Promise<T> {
  let isSettled = false;
  void promise.finally(() => (isSettled = true));
  for (let step = 0; step < 2_000 && !isSettled; step++) {
    await clock.tickAsync(20);
  }
  return promise;
}

test.serial('the same key through two entries at once runs once', async t => {
  const {dispatcher, makeEntry} = setUp();
  const replies = await settle(
    Promise.all([
      makeEntry().run(CALL, actionKey()),
      makeEntry().run(CALL, actionKey()),
    ]),
  );
  t.is(dispatcher.runs, 1);
  t.deepEqual(replies, [{answer: ANSWER}, {answer: ANSWER}]);
});

interface FaultCase {
  readonly title: string;
  readonly faults: memoryStore.StoreFault[];
  readonly standing?: memoryStore.StoreFault;
  readonly runs: number;
  readonly work?: resultCode.WorkState;
}

const FAULT_CASES: readonly FaultCase[] = [
  {title: 'without faults', faults: [], runs: 1},
  {
    title: 'when the reply to the claim is lost',
    faults: [StoreFault.None, StoreFault.ReplyLost],
    runs: 1,
  },
  {
    title: 'when the claim is dropped on the way',
    faults: [StoreFault.None, StoreFault.Dropped],
    runs: 1,
  },
  {
    title: 'when the read before the claim is stale',
    faults: [StoreFault.Stale],
    runs: 1,
  },
  {
    title: 'when the reply to the record of the answer is lost',
    faults: [StoreFault.None, StoreFault.None, StoreFault.ReplyLost],
    runs: 1,
  },
  {
    title: 'when the store is down',
    faults: [],
    standing: StoreFault.Unreachable,
    runs: 0,
    work: resultCode.WorkState.NotRun,
  },
  {
    title: 'when the store goes down after the claim took effect',
    faults: [StoreFault.None, StoreFault.ReplyLost],
    standing: StoreFault.Unreachable,
    runs: 0,
    work: resultCode.WorkState.NotRun,
  },
];

for (const {title, faults, standing, runs, work} of FAULT_CASES) {
  test.serial(
    `an action runs ${runs} times ${title}, and once in total after a later call`,
    async t => {
      const {store, dispatcher, makeEntry} = setUp();
      store.faults = [...faults];
      store.defaultFault = standing ?? StoreFault.None;
      const reply = await settle(makeEntry().run(CALL, actionKey()));
      t.is(dispatcher.runs, runs);
      t.is(reply.failure?.workState, work);
      store.defaultFault = StoreFault.None;
      await clock.tickAsync(60_000);
      const repeat = await settle(makeEntry().run(CALL, actionKey()));
      t.deepEqual(repeat, {answer: ANSWER});
      t.is(dispatcher.runs, 1);
    },
  );
}

test.serial(
  'an action whose entry pauses between claim and dispatch runs only at that entry',
  async t => {
    const {dispatcher, makeEntry} = setUp();
    let resume = () => undefined as void;
    dispatcher.onWillRun = () => new Promise(resolve => (resume = resolve));
    const paused = makeEntry().run(CALL, actionKey());
    await clock.tickAsync(10);
    const other = await settle(makeEntry().run(CALL, actionKey()));
    t.is(other.failure?.workState, resultCode.WorkState.Unknown);
    await clock.tickAsync(3_600_000);
    const later = await settle(makeEntry().run(CALL, actionKey()));
    t.is(later.failure?.code, resultCode.ResultCode.OutcomeUnknown);
    t.is(dispatcher.runs, 0);
    resume();
    t.deepEqual(await settle(paused), {answer: ANSWER});
    t.is(dispatcher.runs, 1);
  },
);

test.serial('an action that did not run may be claimed again', async t => {
  const {dispatcher, makeEntry} = setUp();
  const code = resultCode.ResultCode.NoEndpoint;
  dispatcher.replies = [{failure: failure.notRun(code, 'none')}];
  const refused = await settle(makeEntry().run(CALL, actionKey()));
  t.is(refused.failure?.workState, resultCode.WorkState.NotRun);
  t.deepEqual(await settle(makeEntry().run(CALL, actionKey())), {
    answer: ANSWER,
  });
  t.is(dispatcher.runs, 1);
});

test.serial('an action without an answer never runs again', async t => {
  const {dispatcher, makeEntry} = setUp();
  const code = resultCode.ResultCode.OutcomeUnknown;
  dispatcher.replies = [{failure: failure.unknownOutcome(code, 'lost')}];
  await settle(makeEntry().run(CALL, actionKey()));
  const repeat = await settle(makeEntry().run(CALL, actionKey()));
  t.is(repeat.failure?.workState, resultCode.WorkState.Unknown);
  t.is(dispatcher.runs, 1);
});

test.serial('one key for two bodies is refused as not run', async t => {
  const {dispatcher, makeEntry} = setUp();
  await settle(makeEntry().run(CALL, actionKey('b1')));
  const other = await settle(makeEntry().run(CALL, actionKey('b2')));
  t.is(other.failure?.code, resultCode.ResultCode.IdempotencyKeyReused);
  t.is(other.failure?.workState, resultCode.WorkState.NotRun);
  t.is(dispatcher.runs, 1);
});

test.serial(
  'an entry paused until after the sweep does not run a key again',
  async t => {
    const {store, dispatcher, makeEntry} = setUp();
    const key = {...actionKey(), keyMilliseconds: Date.now()};
    await settle(makeEntry().run(CALL, key));
    clock.setSystemTime(
      Date.now() + claimPage.PAGE_LIFETIME_MILLISECONDS + 120_000,
    );
    const claims = new claimService.ClaimService(store, () => 1);
    t.is(await settle(claims.sweep()), 1);
    const late = await settle(makeEntry().run(CALL, key));
    t.is(late.failure?.code, resultCode.ResultCode.IdempotencyKeyTooOld);
    t.is(dispatcher.runs, 1);
  },
);

test.serial('claims of one minute share writes', async t => {
  const {store} = setUp();
  const claims = new claimService.ClaimService(store, () => 1);
  const keys = Array.from({length: 200}, (_, index) => `customer-${index}/key`);
  await settle(
    Promise.all(
      keys.map(key => claims.claim(KEY_TIME, key, `attempt-${key}`, 'b')),
    ),
  );
  t.true(store.writes.length <= 32, `${store.writes.length} writes`);
});

test.serial('a swept page holds only keys that are too old to run', async t => {
  const {store} = setUp();
  const claims = new claimService.ClaimService(store, () => 1);
  const now = Date.now();
  await settle(claims.claim(now, 'c/new', 'attempt', 'b'));
  const old = now - claimPage.PAGE_LIFETIME_MILLISECONDS - 120_000;
  await settle(claims.claim(old, 'c/old', 'attempt', 'b'));
  t.is(await settle(claims.sweep()), 1);
  t.is(store.objects.size, 1);
  t.is(claimPage.keyAge(old, now), claimPage.KeyAge.TooOld);
});

test.serial('any key whose page may be swept is refused as too old', t => {
  const now = KEY_TIME;
  fastCheck.assert(
    fastCheck.property(fastCheck.integer({min: 0, max: 2 * now}), keyTime => {
      const page = claimPage.pageKey(keyTime, 'customer/key');
      const isSwept = claimPage.isPageExpired(page, now);
      return (
        !isSwept || claimPage.keyAge(keyTime, now) === claimPage.KeyAge.TooOld
      );
    }),
    {seed: 20261204},
  );
  t.pass();
});

/** Forwards every claim to one writer, and fails before or after the write as scripted. */
class ScriptedForwarder extends claimService.ClaimForwarder {
  failures: ('before' | 'after')[] = [];

  constructor(private readonly writer: claimService.ClaimService) {
    super();
  }

  async forward(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<claimService.ClaimOperationResult> {
    const failure = this.failures.shift();
    if (failure === 'before') {
      throw new Error('not reached');
    }
    const answer = await this.writer.runLocally(page, operation, isFresh);
    if (failure === 'after') {
      throw new Error('reply lost');
    }
    return answer;
  }
}

for (const failures of [
  [],
  ['before'],
  ['after'],
  ['after', 'after'],
] as const) {
  test.serial(
    `claims sent to the entry that writes the page run once (failures: ${failures.join(' ') || 'none'})`,
    async t => {
      const {store, dispatcher} = setUp();
      const writer = new claimService.ClaimService(store, () => 2);
      const forwarder = new ScriptedForwarder(writer);
      forwarder.failures = [...failures];
      const claims = new claimService.ClaimService(store, () => 2, forwarder);
      const entry = new idempotentCallService.IdempotentCallService(
        claims,
        dispatcher as unknown as serviceDispatcher.ServiceDispatcher,
      );
      const replies = await settle(
        Promise.all([
          entry.run(CALL, actionKey()),
          entry.run(CALL, actionKey()),
        ]),
      );
      t.is(dispatcher.runs, 1);
      t.deepEqual(replies, [{answer: ANSWER}, {answer: ANSWER}]);
    },
  );
}

test.serial('claims of many entries share the writes of a page', async t => {
  const {store} = setUp();
  const writer = new claimService.ClaimService(store, () => 1);
  const forwarder = new ScriptedForwarder(writer);
  const keys = Array.from({length: 400}, (_, index) => `customer/key-${index}`);
  await settle(
    Promise.all(
      keys.map(key =>
        new claimService.ClaimService(store, () => 1, forwarder).claim(
          KEY_TIME,
          key,
          `attempt-${key}`,
          'b',
        ),
      ),
    ),
  );
  t.true(store.writes.length <= 32, `${store.writes.length} writes`);
});
