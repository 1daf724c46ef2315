/** Which instances are in use around outages, lost history and stale answers. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as instanceRegistry from '../../../src/gateway/common/instance_registry';
import * as instanceTable from '../../../src/gateway/common/instance_table';

const test = ava.default;
const GRACE = instanceRegistry.RETURN_GRACE_MILLISECONDS;

function record(
  id: string,
  state = instanceTable.InstanceState.Ready,
): instanceTable.InstanceRecord {
  return {
    id,
    endpoint: 'e',
    address: '10.0.0.1:1',
    dataCentre: 'a',
    state,
    slots: 1,
    warmUpMilliseconds: 0,
    startedAt: 1,
  };
}

function ids(registry: instanceRegistry.InstanceRegistry): string[] {
  return registry
    .values()
    .map(each => each.id)
    .sort();
}

function registryWith(...names: string[]): instanceRegistry.InstanceRegistry {
  const registry = new instanceRegistry.InstanceRegistry();
  registry.takeList({revision: 10, value: names.map(id => record(id))}, 0);
  return registry;
}

test('registry: an instance that vanishes while the source is well is gone at once', t => {
  const registry = registryWith('a', 'b');
  registry.takeChanges(
    {revision: 11, value: [{id: 'a', record: undefined}]},
    5,
  );
  t.deepEqual(ids(registry), ['b']);
});

test('registry: entries that lapsed during an outage are kept until their instances had time to return', t => {
  const registry = registryWith('a', 'b');
  registry.noteSourceAway();
  registry.takeList({revision: 12, value: []}, 100);
  t.deepEqual(ids(registry), ['a', 'b']);
  registry.takeChanges(
    {revision: 13, value: [{id: 'a', record: record('a')}]},
    200,
  );
  t.false(registry.expire(100 + GRACE - 1));
  t.true(registry.expire(100 + GRACE));
  t.deepEqual(ids(registry), ['a']);
});

test('registry: an instance known to drain is not kept', t => {
  const registry = registryWith('a');
  const drained = record('a', instanceTable.InstanceState.Draining);
  registry.takeChanges({revision: 11, value: [{id: 'a', record: drained}]}, 5);
  registry.noteSourceAway();
  registry.takeList({revision: 12, value: []}, 100);
  t.deepEqual(ids(registry), []);
});

test('registry: an older list is not taken', t => {
  const registry = registryWith('a');
  t.false(registry.takeList({revision: 9, value: [record('old')]}, 5));
  t.deepEqual(ids(registry), ['a']);
});

test('registry: by any schedule, the revision never falls and without outages the newest list is in use', t => {
  const step = fastCheck.record({
    revision: fastCheck.integer({min: 1, max: 30}),
    names: fastCheck.subarray(['a', 'b', 'c', 'd']),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step), steps => {
      const registry = new instanceRegistry.InstanceRegistry();
      let newest = {revision: 0, names: [] as string[]};
      for (const [index, {revision, names}] of steps.entries()) {
        const before = registry.revision;
        const value = names.map(id => record(id));
        registry.takeList({revision, value}, index);
        newest = revision >= newest.revision ? {revision, names} : newest;
        t.true(registry.revision >= before);
        t.deepEqual(ids(registry), [...newest.names].sort());
      }
    }),
    {seed: 7, numRuns: 200},
  );
});
