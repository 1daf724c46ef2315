/** Which instances may get requests. */
import * as ava from 'ava';
import * as instanceAvailability from '../../../../src/gateway/common/availability/instance_availability';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {ANY_REGION, UnavailableReason} = instanceAvailability;

test('availability: an instance that is about to stop is not available, with the time since when', t => {
  const record = gatewayRecords.instanceRecord({id: 'i-1'});
  const [instance] = new instanceTable.InstanceTable().replace(
    [record],
    0,
  ).added;
  const availability = new instanceAvailability.InstanceAvailability([
    new instanceAvailability.DrainingRule(),
  ]);
  t.true(availability.isAvailable(instance, ANY_REGION, 5));
  instance.drainingAt = 10;
  t.deepEqual(availability.find(instance, ANY_REGION, 20), {
    reason: UnavailableReason.Draining,
    since: 10,
    until: undefined,
  });
});
