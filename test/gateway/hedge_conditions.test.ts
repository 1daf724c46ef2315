/** Conditions under which a call that is not answered in the usual time is not sent to a second instance. */
import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as configuration from '../../src/gateway/common/configuration';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as plainCallBench from '../support/plain_call_bench';

const test = ava.default;
const {PlainCallBench} = plainCallBench;

let clock: fakeTimers.Clock;
test.beforeEach(() => {
  clock = fakeTimers.install();
  // A time of 0 stands for never in the records of instances.
  clock.tick(1_000);
});
test.afterEach.always(() => {
  clock.uninstall();
});

interface NoHedgeCase {
  readonly title: string;
  readonly options?: plainCallBench.BenchOptions;
  readonly prepare?: (bench: plainCallBench.PlainCallBench) => void;
}

function others(
  overrides: Partial<instanceTable.InstanceRecord>,
): plainCallBench.BenchOptions {
  return {instances: [{}, overrides]};
}

const NO_HEDGE: readonly NoHedgeCase[] = [
  {title: 'the setting is off', options: {maxShare: 0}},
  {
    title: 'the route is not idempotent',
    options: {
      route: {kind: configuration.RequestKind.NonIdempotent, attempts: 2},
    },
  },
  {title: 'the route has one attempt', options: {route: {attempts: 1}}},
  {title: 'the budget of retries is used up', options: {retryAllowance: 0}},
  {title: 'the share of hedges is used up', options: {maxShare: 0.001}},
  {title: 'there is one instance', options: {instances: [{}]}},
  {
    title: 'the other instance is draining',
    options: others({state: instanceTable.InstanceState.Draining}),
  },
  {
    title: 'the other instance names a limit',
    options: {instances: [{}, {}]},
    prepare: bench => {
      const [, second] = bench.instances.all();
      const life = instanceTable.lifeOf(second.record);
      // The first send goes to the other instance, which has no failures.
      second.failureRate = 0.4;
      bench.limits.applyUpdate(life, [100, 0], performance.now());
    },
  },
  {
    title: 'the other instance has just failed',
    options: {instances: [{}, {}]},
    prepare: bench => {
      const [, second] = bench.instances.all();
      instanceTable.recordOutcome(second, true, performance.now());
    },
  },
  {
    title: 'the endpoint is short of capacity',
    prepare: bench => {
      for (let count = 0; count < 14; count++) {
        bench.hedges!.recordOpen('e', 1, performance.now());
      }
    },
  },
  {
    title: 'the gateway is shutting down',
    prepare: bench => bench.hedges!.stop(),
  },
];

for (const {title, options, prepare} of NO_HEDGE) {
  test.serial(`hedged call: there is none if ${title}`, async t => {
    const bench = new PlainCallBench(options);
    bench.recordAnswers(40, 100);
    prepare?.(bench);
    const {response, done} = bench.start();
    await clock.tickAsync(2_000);
    t.is(bench.exchanges.length, 1);
    bench.exchanges[0].answer(200);
    await done;
    t.deepEqual(response.statuses, [200]);
    t.deepEqual(await bench.outcomes('hedges'), {});
    t.is(await bench.openCount(), 0);
  });
}

test.serial('hedged call: a cold instance gets no hedge', async t => {
  const bench = new PlainCallBench({
    instances: [{}, {warmUpMilliseconds: 5_000}],
  });
  bench.recordAnswers(40, 100);
  const [, cold] = bench.instances.all();
  cold.failureRate = 0.4;
  bench.start();
  await clock.tickAsync(2_000);
  t.deepEqual(
    bench.exchanges.map(each => each.instance),
    ['i-1'],
  );
});

test.serial(
  'hedged call: there is none before 20 answers of the route',
  async t => {
    const bench = new PlainCallBench();
    bench.recordAnswers(19, 100);
    const {done} = bench.start();
    await clock.tickAsync(2_000);
    t.is(bench.exchanges.length, 1);
    bench.exchanges[0].answer(200);
    await done;
    t.is(await bench.openCount(), 0);
  },
);

test.serial(
  'hedged call: calls get hedges up to the share of the requests, and no more',
  async t => {
    const bench = new PlainCallBench({maxShare: 0.05});
    bench.recordAnswers(40, 100);
    const calls = Array.from({length: 10}, () => bench.start());
    await clock.tickAsync(2_000);
    // 5% of 40 requests and of these ten, rounded down.
    t.is(bench.linesOf('call-hedged').length, 2);
    bench.exchanges.forEach(exchange => exchange.answer(200));
    await Promise.all(calls.map(({done}) => done));
    t.is(await bench.openCount(), 0);
  },
);
