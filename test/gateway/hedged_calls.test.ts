/** Calls that are sent to a second instance, with stand-ins of the instances and a clock that the test moves. */
import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as plainCallBench from '../support/plain_call_bench';

const test = ava.default;
const {PlainCallBench} = plainCallBench;
const {SendError} = instanceClient;
/** Delay of the hedges: the time of all recorded answers. */
const DELAY_MILLISECONDS = 100;
const THREE_ATTEMPTS = {route: {attempts: 3}};

let clock: fakeTimers.Clock;
test.beforeEach(() => {
  clock = fakeTimers.install();
  // A time of 0 stands for never in the records of instances.
  clock.tick(1_000);
});
test.afterEach.always(() => {
  clock.uninstall();
});

function createBench(
  options: plainCallBench.BenchOptions = {},
): plainCallBench.PlainCallBench {
  const bench = new PlainCallBench(options);
  bench.recordAnswers(40, DELAY_MILLISECONDS);
  return bench;
}

/** Starts a call and waits until its hedge is sent. */
async function startHedged(bench: plainCallBench.PlainCallBench) {
  const call = bench.start();
  await clock.tickAsync(DELAY_MILLISECONDS);
  const [first, hedge] = bench.exchanges;
  return {...call, first, hedge};
}

function failureRateOf(
  bench: plainCallBench.PlainCallBench,
  exchange: plainCallBench.FakeExchange,
): number {
  return bench.instances.get(exchange.instance)!.failureRate;
}

test.serial(
  'hedged call: the hedge goes to another instance after the delay, with the time that is left',
  async t => {
    const bench = createBench();
    bench.start();
    await clock.tickAsync(DELAY_MILLISECONDS - 1);
    t.is(bench.exchanges.length, 1);
    await clock.tickAsync(1);
    const [first, hedge] = bench.exchanges;
    t.not(hedge.instance, first.instance);
    t.is(first.remainingMilliseconds, 4_000);
    t.is(hedge.remainingMilliseconds, 3_900);
    const [line] = bench.linesOf('call-hedged');
    t.is(line.instance, first.instance);
    t.is(line.hedge, hedge.instance);
    t.is(line.after_ms, 100);
    await clock.tickAsync(3_000);
    t.is(bench.exchanges.length, 2, 'one hedge, whatever the wait');
  },
);

test.serial(
  'hedged call: the first instance answers first, and the hedge is closed at once without counting as a failure',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    first.answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.is(response.body, first.instance);
    t.true(hedge.isCancelled);
    t.is(failureRateOf(bench, hedge), 0);
    t.deepEqual(await bench.outcomes('hedges'), {lost: 1});
    t.deepEqual(await bench.outcomes('sends'), {'status-200': 1, cancelled: 1});
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: the hedge answers first, and the first send is closed at once without counting as a failure',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    hedge.answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.is(response.body, hedge.instance);
    t.true(first.isCancelled);
    t.is(failureRateOf(bench, first), 0);
    t.deepEqual(await bench.outcomes('hedges'), {won: 1});
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: a send that is closed in the middle of its answer is no failure either',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    first.answerPartly();
    await clock.tickAsync(1);
    hedge.answer(200);
    await done;
    t.is(response.body, hedge.instance);
    t.true(first.isCancelled);
    t.is(failureRateOf(bench, first), 0);
    t.deepEqual(await bench.outcomes('sends'), {'status-200': 1, cancelled: 1});
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: two answers at the same time are delivered once',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    first.answer(200);
    hedge.answer(200);
    await done;
    await clock.tickAsync(0);
    t.deepEqual(response.statuses, [200]);
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: a failure waits for the other send, which succeeds',
  async t => {
    for (const failFirst of [true, false]) {
      const bench = createBench();
      const {first, hedge, response, done} = await startHedged(bench);
      const [failing, good] = failFirst ? [first, hedge] : [hedge, first];
      failing.answer(500);
      await clock.tickAsync(50);
      t.deepEqual(response.statuses, []);
      good.answer(200);
      await done;
      t.deepEqual(response.statuses, [200]);
      t.is(response.body, good.instance);
      t.true(failureRateOf(bench, failing) > 0);
      const outcome = failFirst ? 'won' : 'failed';
      t.deepEqual(await bench.outcomes('hedges'), {[outcome]: 1});
      t.is(bench.exchanges.length, 2);
      t.is(await bench.openCount(), 0);
    }
  },
);

test.serial(
  'hedged call: a refusal as not run waits for the other send',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    first.reject();
    await clock.tickAsync(50);
    t.deepEqual(response.statuses, []);
    hedge.answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: after two possible runs of two attempts, the failure is delivered',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    first.answer(500);
    hedge.fail(SendError.ConnectionLost);
    await done;
    t.deepEqual(response.statuses, [500]);
    t.is(bench.exchanges.length, 2);
    t.deepEqual(await bench.outcomes('hedges'), {failed: 1});
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: after both have failed, a third attempt goes to an instance that did neither',
  async t => {
    const bench = createBench(THREE_ATTEMPTS);
    const {first, hedge, response, done} = await startHedged(bench);
    hedge.fail(SendError.ConnectionLost);
    first.answer(500);
    await clock.tickAsync(0);
    const third = bench.exchanges[2];
    t.is(new Set([first, hedge, third].map(each => each.instance)).size, 3);
    third.answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: a send that was not run leaves its attempt to another instance',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    first.reject();
    hedge.answer(500);
    await clock.tickAsync(0);
    t.is(bench.exchanges.length, 3);
    bench.exchanges[2].answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: if neither instance ran the call and none is left, it is refused as not run',
  async t => {
    const bench = createBench({instances: [{}, {}]});
    const {first, hedge, response, done} = await startHedged(bench);
    first.reject();
    hedge.reject();
    await done;
    t.deepEqual(response.statuses, [503]);
    t.is(await bench.openCount(), 0);
  },
);

test.serial('hedged call: a caller that leaves cancels both', async t => {
  const bench = createBench();
  const {first, hedge, response, done} = await startHedged(bench);
  response.destroy();
  await done;
  t.true(first.isCancelled);
  t.true(hedge.isCancelled);
  t.is(failureRateOf(bench, first), 0);
  t.is(failureRateOf(bench, hedge), 0);
  t.deepEqual(await bench.outcomes('hedges'), {cancelled: 1});
  t.deepEqual(response.statuses, []);
  t.is(await bench.openCount(), 0);
});

test.serial(
  'hedged call: a caller that leaves before the hedge is due causes none',
  async t => {
    const bench = createBench();
    const {response, done} = bench.start();
    await clock.tickAsync(50);
    response.destroy();
    await done;
    await clock.tickAsync(1_000);
    t.is(bench.exchanges.length, 1);
    t.true(bench.exchanges[0].isCancelled);
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: a failure before the hedge is due is retried as usual',
  async t => {
    const bench = createBench();
    const {response, done} = bench.start();
    await clock.tickAsync(50);
    bench.exchanges[0].answer(500);
    await clock.tickAsync(0);
    t.is(bench.exchanges.length, 2);
    t.is(bench.linesOf('call-repeated').length, 1);
    await clock.tickAsync(1_000);
    t.is(bench.exchanges.length, 2, 'no attempt is left for a hedge');
    bench.exchanges[1].answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.deepEqual(await bench.outcomes('hedges'), {});
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: if both are silent until the deadline, the result is unknown and nothing stays open',
  async t => {
    const bench = createBench();
    const {first, hedge, response, done} = await startHedged(bench);
    await clock.tickAsync(3_900);
    await done;
    t.deepEqual(response.statuses, [504]);
    t.true(first.isCancelled);
    t.true(hedge.isCancelled);
    t.deepEqual(await bench.outcomes('hedges'), {failed: 1});
    t.is(await bench.openCount(), 0);
  },
);

// If only answers counted, hedges would shorten the delay, which would cause more of them.
test.serial(
  'hedged call: the delay stays near the usual answer time while one call in twenty hangs',
  async t => {
    const bench = createBench();
    for (let count = 1; count <= 400; count++) {
      bench.exchanges.length = 0;
      const {done} = bench.start();
      await clock.tickAsync(DELAY_MILLISECONDS);
      if (count % 20 > 0) {
        bench.exchanges[0].answer(200);
      } else {
        const delay = bench.hedges!.delayFor(bench.route, performance.now())!;
        await clock.tickAsync(delay - DELAY_MILLISECONDS + 50);
        bench.exchanges[1].answer(200);
      }
      await done;
    }
    const delay = bench.hedges!.delayFor(bench.route, performance.now())!;
    t.log(`${Math.round(delay)} ms`);
    t.true(delay >= DELAY_MILLISECONDS && delay < 2.5 * DELAY_MILLISECONDS);
  },
);
