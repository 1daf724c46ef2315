/** The checks of unanswered requests and of versions that are not in force report broken rules, and no permitted behaviour. */
import * as ava from 'ava';
import * as callRules from '../../soak/call_rules';
import * as faultTimes from '../../soak/fault_times';
import * as runRules from '../../soak/run_rules';

const test = ava.default;
const {FaultKind, ALL_REPLICAS} = faultTimes;
const SENT_AT = 20_000;
const ENDED_AT = 20_500;
const CONTACT_MILLISECONDS = 3_000;
const NO_ANSWER = {status: 0, isComplete: false, isFromReplica: false};

interface FaultCase {
  readonly subject: string | undefined;
  readonly kind?: faultTimes.FaultKind;
  readonly from: number;
  readonly to: number;
}

interface AnswerCase {
  readonly title: string;
  readonly isAllowed: boolean;
  readonly faults?: readonly FaultCase[];
  readonly end?: Partial<callRules.CallEnd>;
  readonly call?: Partial<callRules.SentCall>;
  readonly hasCallerLeft?: boolean;
  readonly isPassedOn?: boolean;
  /** When the replica stopped to work on it. */
  readonly workedUntil?: number;
}

/** Rules with a request that was sent on a kept connection. */
function rulesWithCall(
  faults: readonly FaultCase[] = [],
  call: Partial<callRules.SentCall> = {},
): callRules.CallRules {
  const times = new faultTimes.FaultTimes();
  for (const {subject, kind, from, to} of faults) {
    times.begin(subject, from, kind)(to);
  }
  const rules = new callRules.CallRules(times);
  rules.recordGateway('g1');
  rules.recordGateway('g2');
  rules.recordSent({
    attempt: 'a',
    gateway: 'g1',
    key: 'key',
    routes: undefined,
    at: SENT_AT,
    connectedAt: 1_000,
    allowedMilliseconds: 8_000,
    ...call,
  });
  return rules;
}

function promisesOf(
  rules: callRules.CallRules,
  runs: readonly runRules.Run[] = [],
): string[] {
  return rules.violations(() => runs).map(({promise}) => promise);
}

const ANSWER_CASES: readonly AnswerCase[] = [
  {
    title: 'a connection that closes without an answer is a violation',
    isAllowed: false,
  },
  {
    title: 'an answer that is cut is a violation',
    isAllowed: false,
    end: {status: 200, isFromReplica: true},
  },
  {
    title: 'a whole answer is allowed',
    isAllowed: true,
    end: {status: 502, isComplete: true},
  },
  {
    title: 'no answer to a caller that left is allowed',
    isAllowed: true,
    hasCallerLeft: true,
  },
  {
    title: 'no answer to a request that reached no replica is allowed',
    isAllowed: true,
    isPassedOn: false,
  },
  {
    title: 'no answer at the deadline is allowed',
    isAllowed: true,
    call: {allowedMilliseconds: ENDED_AT - SENT_AT},
  },
  {
    title: 'no answer shortly after a kill is allowed',
    isAllowed: true,
    faults: [{subject: 'g1', from: 10_000, to: SENT_AT - CONTACT_MILLISECONDS}],
  },
  {
    title: 'no answer long after a kill is a violation',
    isAllowed: false,
    faults: [
      {subject: 'g1', from: 10_000, to: SENT_AT - CONTACT_MILLISECONDS - 1},
    ],
  },
  {
    title: 'no answer beside a kill of another gateway is a violation',
    isAllowed: false,
    faults: [{subject: 'g2', from: 10_000, to: ENDED_AT}],
  },
  {
    title: 'no answer on a connection that may have lost bytes is allowed',
    isAllowed: true,
    faults: [
      {subject: 'g1', kind: FaultKind.CallerPath, from: 2_000, to: 3_000},
    ],
  },
  {
    title:
      'no answer on a connection that is newer than a fault is a violation',
    isAllowed: false,
    call: {connectedAt: 4_000},
    faults: [
      {subject: 'g1', kind: FaultKind.CallerPath, from: 2_000, to: 3_000},
    ],
  },
  ...[FaultKind.StorePath, FaultKind.Reload].map(kind => ({
    title: `no answer beside a fault of kind "${kind}" is a violation`,
    isAllowed: false,
    faults: [{subject: 'g1', kind, from: SENT_AT, to: ENDED_AT}],
  })),
  {
    title: 'no answer while the store is down is a violation',
    isAllowed: false,
    faults: [{subject: undefined, from: SENT_AT, to: ENDED_AT}],
  },
  ...['r1', ALL_REPLICAS].map(subject => ({
    title: `no answer after a fault of ${subject} is allowed`,
    isAllowed: true,
    faults: [{subject, from: 18_000, to: 18_001}],
  })),
  {
    title:
      'no answer after a fault of a replica that did not get it is a violation',
    isAllowed: false,
    faults: [{subject: 'r2', from: 18_000, to: ENDED_AT}],
  },
  {
    title: 'no answer in the grace period of a stop is a violation',
    isAllowed: false,
    faults: [{subject: 'g1', kind: FaultKind.Stop, from: 18_000, to: 30_000}],
  },
  {
    title:
      'no answer at the end of the grace period while the replica works is allowed',
    isAllowed: true,
    faults: [{subject: 'g1', kind: FaultKind.Stop, from: 19_000, to: 30_000}],
    end: {at: 25_000},
    workedUntil: 24_000,
  },
  {
    title:
      'no answer at the end of the grace period after the replica has ended is a violation',
    isAllowed: false,
    faults: [{subject: 'g1', kind: FaultKind.Stop, from: 19_000, to: 30_000}],
    end: {at: 25_000},
    workedUntil: 23_999,
  },
  {
    title:
      'no answer at the end of the grace period to a request sent late in it is a violation',
    isAllowed: false,
    faults: [{subject: 'g1', kind: FaultKind.Stop, from: 16_999, to: 30_000}],
    end: {at: 23_000},
    workedUntil: 25_000,
  },
];

for (const each of ANSWER_CASES) {
  test(`soak: ${each.title}`, t => {
    const rules = rulesWithCall(each.faults, each.call);
    if (each.isPassedOn ?? true) {
      rules.recordArrival('a', 'r1');
    }
    if (each.hasCallerLeft) {
      rules.recordCallerLeft('a');
    }
    rules.recordEnd('a', {at: ENDED_AT, ...NO_ANSWER, ...each.end});
    const run: runRules.Run = {
      replica: 'r1',
      at: SENT_AT,
      origin: runRules.RunOrigin.New,
      endedAt: each.workedUntil ?? ENDED_AT,
    };
    t.deepEqual(promisesOf(rules, [run]), each.isAllowed ? [] : ['answered']);
  });
}

interface ConfigurationCase {
  readonly title: string;
  readonly isAllowed: boolean;
  readonly faults?: readonly FaultCase[];
  readonly status?: number;
  readonly addedAt?: number;
  readonly removedAt?: number;
  readonly isFromReplica?: boolean;
}

const ADDED_AT = 16_000;

const CONFIGURATION_CASES: readonly ConfigurationCase[] = [
  {
    title: '404 long after the route was added is a violation',
    isAllowed: false,
  },
  {
    title: '401 long after the route was added is a violation',
    isAllowed: false,
    status: 401,
  },
  {
    title: '503 long after the route was added is allowed',
    isAllowed: true,
    status: 503,
  },
  {
    title: '404 of a replica is allowed',
    isAllowed: true,
    isFromReplica: true,
  },
  {
    title: '404 within the time limit is allowed',
    isAllowed: true,
    addedAt: SENT_AT - CONTACT_MILLISECONDS,
  },
  {
    title: '404 once the route was removed is allowed',
    isAllowed: true,
    removedAt: ENDED_AT,
  },
  {
    title:
      'an answer of a replica within the time limit of a removal is allowed',
    isAllowed: true,
    status: 200,
    isFromReplica: true,
    removedAt: SENT_AT - CONTACT_MILLISECONDS,
  },
  {
    title: 'an answer of a replica long after the removal is a violation',
    isAllowed: false,
    status: 200,
    isFromReplica: true,
    removedAt: SENT_AT - CONTACT_MILLISECONDS - 1,
  },
  ...[FaultKind.Disturbance, FaultKind.CallerPath, FaultKind.Stop].map(
    kind => ({
      title: `404 shortly after a fault of kind "${kind}" is allowed`,
      isAllowed: true,
      faults: [{subject: 'g1', kind, from: 10_000, to: 18_000}],
    }),
  ),
  ...[FaultKind.Reload, FaultKind.StorePath].map(kind => ({
    title: `404 shortly after a fault of kind "${kind}" is a violation`,
    isAllowed: false,
    faults: [{subject: 'g1', kind, from: 10_000, to: 18_000}],
  })),
  {
    title: '404 while no gateway without faults reaches the store is allowed',
    isAllowed: true,
    faults: [
      {subject: 'g1', kind: FaultKind.StorePath, from: 10_000, to: 18_000},
      {subject: 'g2', from: 10_000, to: 18_000},
    ],
  },
  {
    title: '404 shortly after a fault of the store is allowed',
    isAllowed: true,
    faults: [{subject: undefined, from: 10_000, to: 18_000}],
  },
  {
    title: '404 after the store dropped its history is a violation',
    isAllowed: false,
    faults: [
      {
        subject: undefined,
        kind: FaultKind.Compaction,
        from: 18_000,
        to: 18_000,
      },
    ],
  },
];

for (const each of CONFIGURATION_CASES) {
  test(`soak: ${each.title}`, t => {
    const rules = rulesWithCall(each.faults, {routes: 'batch'});
    rules.configuration.recordAdded('batch', each.addedAt ?? ADDED_AT);
    if (each.removedAt !== undefined) {
      rules.configuration.recordRemoved('batch', each.removedAt);
    }
    rules.recordEnd('a', {
      at: ENDED_AT,
      status: each.status ?? 404,
      isComplete: true,
      isFromReplica: each.isFromReplica ?? false,
    });
    t.deepEqual(promisesOf(rules), each.isAllowed ? [] : ['applied']);
  });
}

test('soak: 401 for what all versions allow is a violation at a gateway with faults too', t => {
  const faults = [{subject: 'g1', from: 10_000, to: ENDED_AT}];
  const rules = rulesWithCall(faults);
  const end = {status: 401, isComplete: true, isFromReplica: false};
  rules.recordEnd('a', {at: ENDED_AT, ...end});
  t.deepEqual(promisesOf(rules), ['applied']);
});

test('soak: 401 for a key that was revoked is allowed', t => {
  const rules = rulesWithCall();
  rules.configuration.recordRemoved('key', SENT_AT);
  const end = {status: 401, isComplete: true, isFromReplica: false};
  rules.recordEnd('a', {at: ENDED_AT, ...end});
  t.deepEqual(promisesOf(rules), []);
});
