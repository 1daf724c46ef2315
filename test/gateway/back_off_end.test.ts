/** The end of a back-off between the search for an instance and the question how long to wait. */
import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as backOff from '../../src/gateway/common/availability/back_off';
import * as instanceAvailability from '../../src/gateway/common/availability/instance_availability';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as callContext from '../../src/gateway/node/call_context';
import * as gatewayRecords from '../support/gateway_records';

const test = ava.default;
const BACK_OFF_MILLISECONDS = 200;

test('back-off: a call that found no instance just before the end of a back-off is not refused', async t => {
  const clock = fakeTimers.install();
  t.teardown(() => clock.uninstall());
  const startedAt = performance.now();
  const instances = new instanceTable.InstanceTable();
  const [{record}] = instances.replace(
    [gatewayRecords.instanceRecord({id: 'i-1'})],
    startedAt,
  ).added;
  const backOffs = new backOff.BackOffs();
  const life = instanceTable.lifeOf(record);
  backOffs.record(life, BACK_OFF_MILLISECONDS, startedAt);
  const context = {
    services: {
      availability: new instanceAvailability.InstanceAvailability([
        new backOff.BackOffRule(backOffs),
      ]),
      follower: {instances},
    },
    call: {
      endpointName: record.endpoint,
      scope: instanceAvailability.ANY_REGION,
    },
    backOffEnd: callContext.CallContext.prototype.backOffEnd,
    isOver: false,
  } as unknown as callContext.CallContext;
  const chosenAt = startedAt + BACK_OFF_MILLISECONDS - 0.5;
  clock.tick(BACK_OFF_MILLISECONDS + 1);
  const {awaitBackOff} = callContext.CallContext.prototype;
  const mayTryAgain = awaitBackOff.call(context, chosenAt, Infinity);
  await clock.tickAsync(1);
  t.true(await mayTryAgain);
});
