/** Which ends of streams count against an instance. */
import * as ava from 'ava';
import * as instanceClient from '../../../src/gateway/common/instance_client';
import * as instanceTable from '../../../src/gateway/common/instance_table';
import * as legOutcome from '../../../src/gateway/common/leg_outcome';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;
const {SendError} = instanceClient;

interface Case {
  readonly title: string;
  readonly outcome: Partial<legOutcome.LegOutcome>;
  readonly isDraining?: boolean;
  readonly isDoubtful: boolean;
}

const CASES: readonly Case[] = [
  {title: 'a whole stream', outcome: {isWhole: true}, isDoubtful: false},
  {
    title: 'a broken stream',
    outcome: {error: SendError.ConnectionLost},
    isDoubtful: true,
  },
  {title: 'a stream cut in its middle', outcome: {}, isDoubtful: true},
  {
    title: 'a refused connection',
    outcome: {error: SendError.NeverSent},
    isDoubtful: true,
  },
  {
    title: 'a refused connection whose caller has left',
    outcome: {error: SendError.NeverSent, isCallerGone: true},
    isDoubtful: true,
  },
  {
    title: 'a caller that left',
    outcome: {error: SendError.Cancelled, isCallerGone: true},
    isDoubtful: false,
  },
  {
    title: 'a request that this process withdrew',
    outcome: {error: SendError.Withdrawn},
    isDoubtful: false,
  },
  {
    title: 'the end of an instance that was leaving',
    outcome: {},
    isDraining: true,
    isDoubtful: false,
  },
];

for (const {title, outcome, isDraining, isDoubtful} of CASES) {
  test(`leg: ${title} ${isDoubtful ? 'counts' : 'does not count'} against the instance`, t => {
    const record = gatewayRecords.instanceRecord();
    const [row] = new instanceTable.InstanceTable().replace([record], 0).added;
    row.drainingAt = isDraining ? 1 : undefined;
    legOutcome.learnFromLeg(
      row,
      {isWhole: false, error: undefined, isCallerGone: false, ...outcome},
      10,
    );
    t.is(instanceTable.isDoubtful(row), isDoubtful);
  });
}
