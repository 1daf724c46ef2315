/** Where a stream goes on from its copy while the copy's instance makes it wait. */
import * as ava from 'ava';
import * as evacuatedDataCentres from '../../src/gateway/common/availability/evacuated_data_centres';
import * as evacuationRule from '../../src/gateway/common/availability/evacuation_rule';
import * as instanceAvailability from '../../src/gateway/common/availability/instance_availability';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as callContext from '../../src/gateway/node/call_context';
import * as eventDelivery from '../../src/gateway/node/event_delivery';
import * as runCopies from '../../src/gateway/node/run_copies';
import * as streamContinuations from '../../src/gateway/node/stream_continuations';
import * as streamSegment from '../../src/gateway/node/stream_segment';
import * as runTable from '../../src/gateway/common/run_table';
import * as gatewayRecords from '../support/gateway_records';

const test = ava.default;

/** A call whose permits are granted only after `whileWaiting` ran. */
function createCall(whileWaiting: (instance: instanceTable.Instance) => void) {
  const instances = new instanceTable.InstanceTable();
  const record = gatewayRecords.instanceRecord({id: 'i-a', dataCentre: 'a'});
  const [instance] = instances.replace([record], 0).added;
  const dataCentres = new evacuatedDataCentres.EvacuatedDataCentres();
  dataCentres.applyList(1, [], 'store', 0);
  const availability = new instanceAvailability.InstanceAvailability([
    new evacuationRule.EvacuationRule(dataCentres, 0, 0),
    new instanceAvailability.DrainingRule(),
  ]);
  const logged: unknown[] = [];
  const context = {
    services: {
      availability,
      follower: {instances},
      client: {readReport: async () => undefined},
      permits: {
        async selectWithin(
          excluded: ReadonlySet<string>,
          pick: (barred: ReadonlySet<string>) => unknown,
        ) {
          whileWaiting(instance);
          return {choice: pick(excluded), shortage: undefined};
        },
      },
    },
    call: {scope: instanceAvailability.ANY_REGION},
    repeats: {mayContinue: () => true},
    log: (event: string, fields: object) => logged.push([event, fields]),
  } as unknown as callContext.CallContext;
  const run = {} as runTable.Run;
  const engine = streamSegment.DEFAULT_ENGINE;
  const copies = new runCopies.RunCopies(context, run, engine);
  const copy = {instance, continuation: undefined};
  copies.recordStop(copy);
  const continuations = new streamContinuations.StreamContinuations(
    context,
    run,
    engine,
    {eventTimes: undefined, earlierEvents: 0} as eventDelivery.EventDelivery,
  );
  return {continuations, copies, copy, dataCentres, logged, instance};
}

test('stream continuations: a copy whose data centre is evacuated while the stream waits for a permit is not used', async t => {
  const call = createCall(() =>
    call.dataCentres.applyList(2, ['a'], 'store', 1),
  );
  t.is(
    await call.continuations.takeCopy(call.copies, call.instance),
    undefined,
  );
  t.deepEqual(call.logged, [
    ['copy-without-permit', {unavailable: 'evacuated'}],
  ]);
});

test('stream continuations: a copy whose instance begins to drain while the stream waits for a permit is still used', async t => {
  const call = createCall(instance => (instance.drainingAt = 1));
  t.is(
    await call.continuations.takeCopy(call.copies, call.instance),
    call.copy,
  );
});
