/** Instances of evacuated data centres get nothing. */
import * as ava from 'ava';
import * as evacuatedDataCentres from '../../../../src/gateway/common/availability/evacuated_data_centres';
import * as evacuationRule from '../../../../src/gateway/common/availability/evacuation_rule';
import * as instanceAvailability from '../../../../src/gateway/common/availability/instance_availability';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {ANY_REGION, UnavailableReason} = instanceAvailability;
const STARTED_AT = 100;
const BOUND = 5_000;

function instanceIn(dataCentre: string): instanceTable.Instance {
  const record = gatewayRecords.instanceRecord({dataCentre});
  return new instanceTable.InstanceTable().replace([record], 0).added[0];
}

function create() {
  const dataCentres = new evacuatedDataCentres.EvacuatedDataCentres();
  const rule = new evacuationRule.EvacuationRule(
    dataCentres,
    STARTED_AT,
    BOUND,
  );
  return {dataCentres, rule};
}

test('evacuation rule: instances of an evacuated data centre are not available until it is reopened; others are', t => {
  const {dataCentres, rule} = create();
  dataCentres.applyList(1, ['galle'], 'store', 200);
  t.deepEqual(rule.check(instanceIn('galle'), ANY_REGION, 300), {
    reason: UnavailableReason.Evacuated,
    since: 200,
    until: undefined,
  });
  t.is(rule.check(instanceIn('matara'), ANY_REGION, 300), undefined);
  dataCentres.applyList(2, [], 'store', 400);
  t.is(rule.check(instanceIn('galle'), ANY_REGION, 400), undefined);
});

test('evacuation rule: a gateway that starts uses no instance before it knows the evacuations, but not longer than the bound', t => {
  const {dataCentres, rule} = create();
  const instance = instanceIn('matara');
  const before = STARTED_AT + BOUND - 1;
  t.deepEqual(rule.check(instance, ANY_REGION, before), {
    reason: UnavailableReason.Evacuated,
    since: STARTED_AT,
    until: STARTED_AT + BOUND,
  });
  t.is(rule.check(instance, ANY_REGION, before + 1), undefined);
  dataCentres.applyList(1, [], 'gateway-2', 150);
  t.is(rule.check(instance, ANY_REGION, 150), undefined);
});

test('evacuation rule: of a draining instance of an evacuated data centre the evacuation is reported, so that no copy there is used', t => {
  const {dataCentres, rule} = create();
  dataCentres.applyList(1, ['galle'], 'store', 200);
  const instance = instanceIn('galle');
  instance.drainingAt = 190;
  const availability = new instanceAvailability.InstanceAvailability([
    rule,
    new instanceAvailability.DrainingRule(),
  ]);
  const found = availability.find(instance, ANY_REGION, 300);
  t.is(found?.reason, UnavailableReason.Evacuated);
});
