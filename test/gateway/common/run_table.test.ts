/** Loads from own runs and from reports of peers. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as runTable from '../../../src/gateway/common/run_table';

const test = ava.default;
const SEED = 20_261_204;

function load(runs: number, memoryTokens: number): runTable.InstanceLoad {
  return {runs, memoryTokens, prefillTokens: 10 * runs};
}

function run(instanceId: string): runTable.Run {
  return {
    attemptId: 'a',
    instanceId,
    copyInstanceId: undefined,
    endpoint: 'e',
    promptTokens: 100,
    maxTokens: 500,
    expectedTokens: 50,
    tokensPerEvent: 4,
    eventsDelivered: 0,
    hasStarted: false,
  };
}

test('run table: an engine has the sum of own runs and of what peers report', t => {
  const runs = new runTable.RunTable();
  runs.add(run('i-1'));
  runs.setPeerLoads('p', {'i-1': load(2, 300), 'i-2': load(1, 40)}, 0);
  const view = runs.view();
  t.deepEqual(view.get('i-1'), {
    runs: 3,
    memoryTokens: 450,
    prefillTokens: 120,
  });
  t.deepEqual(view.get('i-2'), load(1, 40));
  t.is(view.get('i-3'), undefined);
});

test('run table: what a view returns can be changed without changing the table', t => {
  const runs = new runTable.RunTable();
  runs.setPeerLoads('p', {'i-1': load(1, 100)}, 0);
  runs.view().get('i-1')!.memoryTokens = 9_999;
  t.is(runs.view().get('i-1')?.memoryTokens, 100);
});

test('run table: after any order of reports and expiries the sums are those of the last report of each peer', t => {
  const step = fastCheck.record({
    peer: fastCheck.nat(4),
    loads: fastCheck.dictionary(
      fastCheck.constantFrom('i-1', 'i-2', 'i-3'),
      fastCheck.integer({min: 1, max: 9}),
    ),
    removesOlderThan: fastCheck.nat(6),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, {maxLength: 40}), steps => {
      const runs = new runTable.RunTable();
      const last = new Map<
        string,
        {at: number; loads: Record<string, number>}
      >();
      steps.forEach(({peer, loads, removesOlderThan}, now) => {
        const entries = Object.entries(loads);
        const asLoads = entries.map(([id, count]) => [id, load(count, count)]);
        runs.setPeerLoads(`p${peer}`, Object.fromEntries(asLoads), now);
        last.set(`p${peer}`, {at: now, loads});
        runs.removeReportsBefore(now - removesOlderThan);
        last.forEach(({at}, name) => {
          if (at < now - removesOlderThan) {
            last.delete(name);
          }
        });
      });
      return ['i-1', 'i-2', 'i-3'].every(id => {
        const sum = [...last.values()].reduce(
          (total, {loads}) => total + (loads[id] ?? 0),
          0,
        );
        return (runs.view().get(id)?.memoryTokens ?? 0) === sum;
      });
    }),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});

test('run table: long streams of own runs and of peers are counted together if that is switched on, and those of older builds as none', t => {
  const runs = new runTable.RunTable(true);
  runs.add(run('i-1'));
  runs.add({...run('i-1'), expectedTokens: 8});
  runs.setPeerLoads('p', {'i-1': {...load(2, 300), longRuns: 2}}, 0);
  runs.setPeerLoads('old', {'i-1': load(1, 100)}, 0);
  t.is(runs.view().get('i-1')?.longRuns, 3);
  t.is(runs.countAt('i-1'), 5);
  runs.removeReportsBefore(1);
  t.is(runs.view().get('i-1')?.longRuns, 1);
  const without = new runTable.RunTable();
  without.add(run('i-1'));
  t.false('longRuns' in without.view().get('i-1')!);
});
