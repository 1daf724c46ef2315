/** Instances across incarnations, draining and failures. */
import * as ava from 'ava';
import * as instanceTable from '../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;
const record = gatewayRecords.instanceRecord;

test('instances: draining is reported once, with the time at which it was seen', t => {
  const table = new instanceTable.InstanceTable();
  table.replace([record()], 0);
  const draining = record({state: instanceTable.InstanceState.Draining});
  t.is(table.replace([draining], 10).drained.length, 1);
  t.is(table.replace([draining], 20).drained.length, 0);
  t.is(table.get('i')!.drainingAt, 10);
});

test('instances: a removed instance is marked as draining for code that still refers to it', t => {
  const table = new instanceTable.InstanceTable();
  const [instance] = table.replace([record()], 0).added;
  const changes = table.replace([], 10);
  t.deepEqual(changes.removed, [instance]);
  t.is(instance.drainingAt, 10);
});

for (const [title, more] of [
  ['a new start time', {startedAt: 2}],
  ['a new address', {address: '10.0.0.2:1'}],
  ['another endpoint', {endpoint: 'other'}],
] as const) {
  test(`instances: ${title} with a known id is a new incarnation without the failures of the old one`, t => {
    const table = new instanceTable.InstanceTable();
    const [instance] = table.replace([record()], 0).added;
    instanceTable.recordOutcome(instance, true, 1);
    const changes = table.replace([record(more)], 10);
    t.deepEqual(changes.removed, [instance]);
    t.is(table.get('i')!.failureRate, 0);
  });
}
