/** Decisions about stalled streams. */
import * as ava from 'ava';
import * as instanceClient from '../../../src/gateway/common/instance_client';
import * as stallPolicy from '../../../src/gateway/common/stall_policy';

const test = ava.default;
const {StallDecision} = stallPolicy;

function report(
  generated: number | undefined,
  queuedRuns = 0,
): instanceClient.InstanceReport {
  const runs = generated === undefined ? [] : [['run', generated] as const];
  return {
    eventsByRun: new Map(runs),
    queuedRuns,
    memoryTokens: 0,
    unlistedMemoryTokens: 0,
    freeMemoryTokens: 0,
    startedAt: 0,
    isLeaving: false,
  };
}

interface Case {
  readonly title: string;
  readonly mayRepeat: boolean;
  readonly hasCopy: boolean;
  readonly report: instanceClient.InstanceReport | undefined;
  readonly expected: stallPolicy.StallDecision;
}

const CASES: readonly Case[] = [
  {
    title: 'a run that the engine paused is waited for',
    mayRepeat: false,
    hasCopy: true,
    report: report(11),
    expected: StallDecision.Wait,
  },
  {
    title:
      'a run at an instance that does not report is stopped before it goes on from its copy',
    mayRepeat: false,
    hasCopy: true,
    report: undefined,
    expected: StallDecision.Move,
  },
  {
    title:
      'a resumable run at an instance that does not report is resumed, also if it has a copy',
    mayRepeat: true,
    hasCopy: true,
    report: undefined,
    expected: StallDecision.FailOver,
  },
  {
    title:
      'a run at an unreachable instance is waited for if it can be neither repeated nor copied',
    mayRepeat: false,
    hasCopy: false,
    report: undefined,
    expected: StallDecision.Wait,
  },
  {
    title: 'a run that continues behind a broken connection is moved',
    mayRepeat: false,
    hasCopy: false,
    report: report(30),
    expected: StallDecision.Move,
  },
  {
    title: 'a resumable run behind a broken connection is resumed',
    mayRepeat: true,
    hasCopy: false,
    report: report(30),
    expected: StallDecision.FailOver,
  },
  {
    title:
      'a repeatable request that an idle instance does not know is sent elsewhere',
    mayRepeat: true,
    hasCopy: false,
    report: report(undefined),
    expected: StallDecision.FailOver,
  },
  {
    title: 'a request that may be queued at the instance is waited for',
    mayRepeat: true,
    hasCopy: false,
    report: report(undefined, 3),
    expected: StallDecision.Wait,
  },
];

for (const each of CASES) {
  test(`stall: ${each.title}`, t => {
    const stream = {...each, hasStarted: true, eventsDelivered: 10};
    t.is(stallPolicy.decideStall(stream, 'run'), each.expected);
  });
}
