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

// The registration, and peers that are behind, say for seconds that the instance is ready.
test('instances: one that says that it leaves is not ready again by registrations, also if it was removed in between', t => {
  const table = new instanceTable.InstanceTable();
  table.replace([record()], 0);
  t.true(table.markLeaving(table.get('i')!, 10));
  t.false(table.markLeaving(table.get('i')!, 20));
  table.replace([record()], 30);
  t.is(table.get('i')!.drainingAt, 10);
  table.replace([], 40);
  t.is(table.replace([record()], 50).drained.length, 1);
  t.is(table.get('i')!.drainingAt, 10);
});

for (const [title, more] of [
  ['its next incarnation', {startedAt: 2}],
  ['an instance at another address', {address: '10.0.0.2:1'}],
] as const) {
  // Work would be kept from an instance that has just started.
  test(`instances: ${title} is ready although the former one said that it leaves`, t => {
    const table = new instanceTable.InstanceTable();
    table.replace([record()], 0);
    table.markLeaving(table.get('i')!, 10);
    table.replace([record(more)], 20);
    t.is(table.get('i')!.drainingAt, undefined);
  });
}

test('instances: another instance at the address of one that left is ready', t => {
  const table = new instanceTable.InstanceTable();
  table.replace([record()], 0);
  table.markLeaving(table.get('i')!, 10);
  table.replace([record(), record({id: 'j'})], 20);
  t.is(table.get('i')!.drainingAt, 10);
  t.is(table.get('j')!.drainingAt, undefined);
});

test('instances: without a start time an instance is taken for another one ten minutes after it said that it leaves', t => {
  const table = new instanceTable.InstanceTable();
  table.replace([record({startedAt: 0})], 0);
  table.markLeaving(table.get('i')!, 10);
  table.replace([record({startedAt: 0})], 500_000);
  t.is(table.get('i')!.drainingAt, 10);
  table.replace([record({startedAt: 0})], 600_011);
  t.is(table.get('i')!.drainingAt, undefined);
});

// A gateway that sent it nothing would not know, and go on sending.
test('instances: peers are told of an instance that says that it leaves, also before they have its registration', t => {
  const table = new instanceTable.InstanceTable();
  table.replace([record()], 0);
  table.markLeaving(table.get('i')!, 10);
  t.is(table.leaving.ownChangeCount, 1);
  const relayed = table.leaving.toRelay(30);
  const peer = new instanceTable.InstanceTable();
  peer.replace([record()], 0);
  t.deepEqual(peer.mergeLeaving(relayed, 30), [peer.get('i')!]);
  t.deepEqual(peer.mergeLeaving(relayed, 40), []);
  const other = new instanceTable.InstanceTable();
  t.deepEqual(other.mergeLeaving(relayed, 30), []);
  other.replace([record()], 40);
  t.is(other.get('i')!.drainingAt, 10);
  t.is(other.leaving.ownChangeCount, 0);
});

test('instances: what is known of instances that leave is bounded', t => {
  const table = new instanceTable.InstanceTable();
  for (let index = 0; index < 10_000; index++) {
    table.leaving.recordOwn(record({id: `i-${index}`}), 0);
  }
  t.true(table.leaving.size <= 4_096);
  t.is(table.leaving.toRelay(0).length, 16);
});

// An instance without requests would be taken for failing for good.
test('instances: the failure rate halves every two seconds without requests', t => {
  const table = new instanceTable.InstanceTable();
  table.replace([record()], 0);
  const instance = table.get('i')!;
  instanceTable.recordUnreachable(instance, 1_000);
  t.is(instanceTable.failureRateOf(instance, 1_000), 0.9);
  t.is(instanceTable.failureRateOf(instance, 3_000), 0.45);
  t.is(instanceTable.failureRateOf(instance, 7_000), 0.1125);
  instanceTable.recordOutcome(instance, true, 3_000);
  t.is(Math.round(instance.failureRate * 10_000), 5_325);
});
