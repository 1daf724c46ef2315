/** Which stream outcomes count against an instance. */
import * as ava from 'ava';
import * as instanceClient from '../../../src/gateway/common/instance_client';
import * as instanceTable from '../../../src/gateway/common/instance_table';
import * as streamOutcome from '../../../src/gateway/common/stream_outcome';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;
const {SendError} = instanceClient;

interface Case {
  readonly title: string;
  readonly outcome: Partial<streamOutcome.StreamOutcome>;
  readonly isDraining?: boolean;
  readonly isSuspect: boolean;
}

const CASES: readonly Case[] = [
  {title: 'a complete stream', outcome: {isWhole: true}, isSuspect: false},
  {
    title: 'a lost connection',
    outcome: {error: SendError.ConnectionLost},
    isSuspect: true,
  },
  {title: 'a truncated stream', outcome: {}, isSuspect: true},
  {
    title: 'a refused connection',
    outcome: {error: SendError.NeverSent},
    isSuspect: true,
  },
  {
    title: 'a refused connection whose caller has disconnected',
    outcome: {error: SendError.NeverSent, isCallerGone: true},
    isSuspect: true,
  },
  {
    title: 'a caller that disconnected',
    outcome: {error: SendError.Cancelled, isCallerGone: true},
    isSuspect: false,
  },
  {
    title: 'a request withdrawn by this process',
    outcome: {error: SendError.Withdrawn},
    isSuspect: false,
  },
  {
    title: 'the shutdown of a draining instance',
    outcome: {},
    isDraining: true,
    isSuspect: false,
  },
];

for (const {title, outcome, isDraining, isSuspect} of CASES) {
  test(`stream: ${title} ${isSuspect ? 'counts' : 'does not count'} against the instance`, t => {
    const record = gatewayRecords.instanceRecord();
    const [instance] = new instanceTable.InstanceTable().replace(
      [record],
      0,
    ).added;
    instance.drainingAt = isDraining ? 1 : undefined;
    streamOutcome.recordStreamOutcome(
      instance,
      {isWhole: false, error: undefined, isCallerGone: false, ...outcome},
      10,
    );
    t.is(instanceTable.isSuspect(instance), isSuspect);
  });
}
