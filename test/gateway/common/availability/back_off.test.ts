/** Back-offs of instances that reject requests with a `Retry-After` header. */
import * as ava from 'ava';
import * as backOff from '../../../../src/gateway/common/availability/back_off';
import * as instanceAvailability from '../../../../src/gateway/common/availability/instance_availability';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {ANY_REGION, UnavailableReason} = instanceAvailability;
const SLOTS = 4;

/** Instances and their back-offs at one gateway. */
class BackedOff {
  readonly backOffs = new backOff.BackOffs();
  readonly table = new instanceTable.InstanceTable();
  readonly availability = new instanceAvailability.InstanceAvailability([
    new instanceAvailability.DrainingRule(),
    new backOff.BackOffRule(this.backOffs),
  ]);

  constructor(count = 1) {
    const records = Array.from({length: count}, (_, index) =>
      gatewayRecords.instanceRecord({id: `i-${index}`, slots: SLOTS}),
    );
    this.table.replace(records, 0);
  }

  get instances(): instanceTable.Instance[] {
    return [...this.table.all()];
  }

  reject(instance: instanceTable.Instance, seconds: number, now: number): void {
    const life = instanceTable.lifeOf(instance.record);
    this.backOffs.record(life, seconds * 1_000, now);
  }

  isAvailable(instance: instanceTable.Instance, now: number): boolean {
    return this.availability.isAvailable(instance, ANY_REGION, now);
  }
}

for (const seconds of [0.2, 3, 100_000]) {
  // A gateway that goes on sending makes the shortage of the instance worse.
  test(`back-off: an instance gets nothing for ${seconds} s`, t => {
    const gateway = new BackedOff();
    const [instance] = gateway.instances;
    gateway.reject(instance, seconds, 1_000);
    t.false(gateway.isAvailable(instance, 1_000));
    t.false(gateway.isAvailable(instance, 999 + seconds * 1_000));
    t.true(gateway.isAvailable(instance, 1_000 + seconds * 1_000));
  });
}

test('back-off: a time of 0 excludes nothing', t => {
  const gateway = new BackedOff();
  const [instance] = gateway.instances;
  gateway.reject(instance, 0, 1_000);
  t.true(gateway.isAvailable(instance, 1_000));
  t.is(gateway.backOffs.size, 0);
});

// All requests that waited would arrive at the same moment.
test('back-off: after its end an instance takes ever more requests at a time, and all of them after a second', t => {
  const gateway = new BackedOff();
  const [instance] = gateway.instances;
  gateway.reject(instance, 2, 0);
  const admitted = [2_000, 2_250, 2_500, 2_750, 3_000].map(now => {
    instance.openRequests = 0;
    while (instance.openRequests < 50 && gateway.isAvailable(instance, now)) {
      instance.openRequests++;
    }
    return instance.openRequests;
  });
  t.deepEqual(admitted, [1, 2, 3, 4, 50]);
});

// Answers to requests that were sent together overtake each other.
test('back-off: a shorter time does not shorten a longer one, a longer one extends it', t => {
  const gateway = new BackedOff();
  const [instance] = gateway.instances;
  gateway.reject(instance, 3, 0);
  gateway.reject(instance, 0.2, 100);
  gateway.reject(instance, 0, 100);
  t.false(gateway.isAvailable(instance, 2_900));
  gateway.reject(instance, 3, 200);
  t.false(gateway.isAvailable(instance, 3_100));
  t.true(gateway.isAvailable(instance, 3_200));
});

test('back-off: the first end is known if all instances are in back-off, and draining ones do not count', t => {
  const gateway = new BackedOff(3);
  const [first, second, third] = gateway.instances;
  gateway.reject(first, 3, 0);
  gateway.reject(second, 2, 0);
  gateway.reject(third, 1, 0);
  third.drainingAt = 0;
  const {availability, instances} = gateway;
  t.is(availability.backOffEnd(instances, ANY_REGION, 100), 2_000);
  t.is(
    availability.find(third, ANY_REGION, 100)!.reason,
    UnavailableReason.Draining,
  );
});

// The address, or the id, may be that of another process by then.
test('back-off: another incarnation of the instance is not excluded', t => {
  const gateway = new BackedOff();
  gateway.reject(gateway.instances[0], 100, 0);
  const restarted = gatewayRecords.instanceRecord({id: 'i-0', startedAt: 2});
  gateway.table.replace([restarted], 10);
  t.true(gateway.isAvailable(gateway.instances[0], 10));
});

test('back-off: the table is bounded', t => {
  const backOffs = new backOff.BackOffs();
  for (let index = 0; index < 10_000; index++) {
    backOffs.record(`i-${index}/1`, 1_000, 0);
  }
  t.true(backOffs.size <= 4_096);
});
