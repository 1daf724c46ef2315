/** When placements consider measured speeds. */
import * as ava from 'ava';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as runTable from '../../../../src/gateway/common/run_table';
import * as measuredSpeeds from '../../../../src/gateway/common/speeds/measured_speeds';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const DRAFT = {promptTokens: 3_079, expectedTokens: 748, tokensPerEvent: 4};
const CHECK = {promptTokens: 2_550, expectedTokens: 8, tokensPerEvent: 4};

function measure(): [
  measuredSpeeds.MeasuredSpeeds,
  readonly instanceTable.Instance[],
] {
  const records = ['i-1', 'i-2'].map(id => gatewayRecords.instanceRecord({id}));
  const {added} = new instanceTable.InstanceTable().replace(records, 0);
  const measured = new measuredSpeeds.MeasuredSpeeds(
    new runTable.RunTable(true),
    true,
  );
  added.forEach(({record}, index) =>
    measured.speeds.setOwn(instanceTable.lifeOf(record), 0.6 + index, 0),
  );
  return [measured, added];
}

test('measured speeds: long streams that others may preempt are not collected on fast instances, nor short ones sent to slow ones', t => {
  const [measured, instances] = measure();
  const draft = {...DRAFT, isMostUrgent: false};
  t.is(measured.outlook('e', instances, draft, 0), undefined);
  const check = {...CHECK, isMostUrgent: true};
  t.is(measured.outlook('e', instances, check, 0), undefined);
});

test('measured speeds: placement considers them for long streams that are the most urgent, and for short ones beside them', t => {
  const [measured, instances] = measure();
  const draft = {...DRAFT, isMostUrgent: true};
  t.not(measured.outlook('e', instances, draft, 0), undefined);
  const check = {...CHECK, isMostUrgent: false};
  t.not(measured.outlook('e', instances, check, 0), undefined);
});
