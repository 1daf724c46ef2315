/** Requests stay in the regions that their route and customer allow. */
import * as ava from 'ava';
import * as instanceAvailability from '../../../../src/gateway/common/availability/instance_availability';
import * as regionRule from '../../../../src/gateway/common/availability/region_rule';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {ANY_REGION, UnavailableReason} = instanceAvailability;
const rule = new regionRule.RegionRule({galle: 'south', jaffna: 'north'});

function isAllowed(dataCentre: string, allowedRegions: string[][]): boolean {
  const record = gatewayRecords.instanceRecord({dataCentre});
  const [instance] = new instanceTable.InstanceTable().replace(
    [record],
    0,
  ).added;
  return rule.check(instance, {allowedRegions}) === undefined;
}

test('region rule: a request without lists may go anywhere, also to a data centre without a region', t => {
  t.deepEqual(ANY_REGION.allowedRegions, []);
  t.true(isAllowed('galle', []));
  t.true(isAllowed('unknown', []));
});

for (const [dataCentre, lists, expected] of [
  ['galle', [['south']], true],
  ['jaffna', [['south']], false],
  ['galle', [['south', 'north'], ['south']], true],
  ['jaffna', [['south', 'north'], ['south']], false],
  ['jaffna', [['south'], ['south', 'north']], false],
  ['galle', [['south'], ['north']], false],
  ['galle', [[]], false],
  ['unknown', [['south', 'north']], false],
  ['constructor', [['south']], false],
] as [string, string[][], boolean][]) {
  test(`region rule: an instance in "${dataCentre}" is ${expected ? '' : 'not '}used with the lists ${JSON.stringify(lists)}`, t => {
    t.is(isAllowed(dataCentre, lists), expected);
  });
}

test('region rule: the reason is the region', t => {
  const record = gatewayRecords.instanceRecord({dataCentre: 'jaffna'});
  const [instance] = new instanceTable.InstanceTable().replace(
    [record],
    3,
  ).added;
  t.deepEqual(rule.check(instance, {allowedRegions: [['south']]}), {
    reason: UnavailableReason.ForeignRegion,
    since: 3,
    until: undefined,
  });
});
