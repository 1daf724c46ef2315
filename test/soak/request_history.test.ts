/** The checks of the soak test report violations, and no permitted behaviour. */
import * as ava from 'ava';
import * as answers from '../../soak/answers';
import * as requestHistory from '../../soak/request_history';
import * as runRules from '../../soak/run_rules';

const test = ava.default;
const {RequestKind} = requestHistory;
const {RunOrigin} = runRules;

function answer(
  status: number,
  body: string,
  overrides: Partial<answers.ReceivedAnswer> = {},
): answers.ReceivedAnswer {
  return {status, body, isComplete: true, stamp: undefined, ...overrides};
}

interface Case {
  readonly title: string;
  readonly kind: requestHistory.RequestKind;
  readonly runs: readonly [
    replica: string,
    at: number,
    origin: runRules.RunOrigin,
  ][];
  readonly answer?: answers.ReceivedAnswer;
  readonly promise: string | undefined;
}

const PIECES = answers.pieceEvent('a', 1) + answers.pieceEvent('a', 2);
const CASES: readonly Case[] = [
  {
    title: 'a filing that ran twice is a violation',
    kind: RequestKind.File,
    runs: [
      ['r1', 1, RunOrigin.New],
      ['r2', 2, RunOrigin.New],
    ],
    promise: 'once',
  },
  {
    title: 'a read that ran twice is allowed',
    kind: RequestKind.Read,
    runs: [
      ['r1', 1, RunOrigin.New],
      ['r2', 2, RunOrigin.New],
    ],
    promise: undefined,
  },
  {
    title: 'a draft that continues on another replica is allowed',
    kind: RequestKind.Draft,
    runs: [
      ['r1', 1, RunOrigin.New],
      ['r2', 2, RunOrigin.Copy],
    ],
    promise: undefined,
  },
  {
    title: 'a refusal of a filing that ran is a violation',
    kind: RequestKind.File,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(503, ''),
    promise: 'not-run',
  },
  {
    title: 'a refusal of a read that ran is a violation',
    kind: RequestKind.Read,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(503, ''),
    promise: 'not-run',
  },
  {
    title: 'an unknown outcome of a filing that ran is allowed',
    kind: RequestKind.File,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(502, ''),
    promise: undefined,
  },
  {
    title: 'the body of another request is a violation',
    kind: RequestKind.File,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(200, answers.plainBody('b', 'r1'), {stamp: 'r1'}),
    promise: 'whole',
  },
  {
    title: 'the complete body is allowed',
    kind: RequestKind.File,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(200, answers.plainBody('a', 'r1'), {stamp: 'r1'}),
    promise: undefined,
  },
  {
    title: 'a stream without its end that looks complete is a violation',
    kind: RequestKind.Draft,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(200, PIECES, {stamp: 'r1'}),
    promise: 'whole',
  },
  {
    title: 'a stream that is visibly truncated is allowed',
    kind: RequestKind.Draft,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(200, PIECES + 'id: 3', {stamp: 'r1', isComplete: false}),
    promise: undefined,
  },
  {
    title: 'a stream with repeated pieces is a violation',
    kind: RequestKind.Draft,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(200, PIECES + PIECES, {stamp: 'r1', isComplete: false}),
    promise: 'whole',
  },
  {
    title: 'a complete stream is allowed',
    kind: RequestKind.Draft,
    runs: [['r1', 1, RunOrigin.New]],
    answer: answer(200, PIECES + answers.endEvent('a', 2), {
      stamp: 'r1',
    }),
    promise: undefined,
  },
];

for (const testCase of CASES) {
  test(`request history: ${testCase.title}`, t => {
    const history = new requestHistory.RequestHistory();
    history.recordSent('a', testCase.kind, 'key', 'g1');
    let endPrevious: ((at: number) => void) | undefined;
    for (const run of testCase.runs) {
      // The run before has stopped when the next one begins.
      endPrevious?.(run[1]);
      endPrevious = history.recordRun('a', ...run);
    }
    if (testCase.answer !== undefined) {
      history.recordAnswer('a', testCase.answer);
    }
    const promises = history.violations().map(violation => violation.promise);
    t.deepEqual(
      promises,
      testCase.promise === undefined ? [] : [testCase.promise],
    );
  });
}

for (const [title, at, faultTo, expected] of [
  ['long after its key was revoked is a violation', 20_000, 0, ['key']],
  ['within the time limit of a change is allowed', 11_000, 0, []],
  [
    'at a gateway that had a fault after the key was revoked is allowed',
    20_000,
    15_000,
    [],
  ],
] as const) {
  test(`request history: a request that runs ${title}`, t => {
    const history = new requestHistory.RequestHistory();
    history.recordSent('a', RequestKind.File, 'key', 'g1');
    history.recordRevoked('key', 10_000);
    history.beginFault('g1', 0)(faultTo);
    history.recordRun('a', 'r1', at, RunOrigin.New);
    t.deepEqual(
      history.violations().map(found => found.promise),
      [...expected],
    );
  });
}

test('request history: a request that runs although no caller sent it is a violation', t => {
  const history = new requestHistory.RequestHistory();
  history.recordRun('stray', 'r1', 1, RunOrigin.New);
  t.is(history.violations()[0].promise, 'asked');
});

for (const [title, requests, faultAt, expected] of [
  ['more requests than its limit allows is a violation', 12, 0, ['limit']],
  ['as many requests as its limit allows is allowed', 11, 0, []],
  ['requests of a gateway that has a fault is allowed', 12, 9_000, []],
] as const) {
  test(`request history: a replica that gets ${title}`, t => {
    const history = new requestHistory.RequestHistory();
    const end = history.beginLimit('r1', 1, 10_000);
    if (faultAt > 0) {
      history.beginFault('g1', faultAt)(faultAt + 1_000);
    }
    for (let index = 0; index < requests; index++) {
      history.recordSent(`a${index}`, RequestKind.Read, 'key', 'g1');
      history.recordRun(`a${index}`, 'r1', 11_500 + index, RunOrigin.New);
    }
    end(14_000);
    t.deepEqual(
      history.violations().map(found => found.promise),
      [...expected],
    );
  });
}

for (const [version, expected] of [
  ['v1', []],
  ['v1.2', ['whole']],
] as const) {
  test(`request history: a stream of v1 that is resumed at ${version} is ${expected.length > 0 ? 'a violation' : 'allowed'}`, t => {
    const history = new requestHistory.RequestHistory();
    const resumed = {attempt: 'a', version: 'v1', pieces: 2};
    history.recordSent('b', RequestKind.Tag, 'key', 'g1', resumed);
    history.recordRun('b', 'r1', 1, RunOrigin.Event);
    const body =
      answers.pieceEvent('b', 3, version) + answers.endEvent('b', 3, version);
    history.recordAnswer('b', answer(200, body, {stamp: 'r1'}));
    t.deepEqual(
      history.violations().map(found => found.promise),
      [...expected],
    );
  });
}

for (const [title, repeats, isViolation] of [
  [
    'more repeats of a service than its requests and the allowance permit',
    55,
    true,
  ],
  ['repeats within the budget', 53, false],
] as const) {
  test(`soak checks: ${title} are ${isViolation ? 'a violation' : 'allowed'}`, t => {
    const history = new requestHistory.RequestHistory();
    for (let index = 0; index < 20; index++) {
      history.recordSent(`a${index}`, RequestKind.Read, 'key', 'g1');
      history.budget.recordRequest('ledger', 1_000 + index);
      history.budget.recordArrival('ledger', `a${index}`, 1_000 + index);
    }
    for (let index = 0; index < repeats; index++) {
      history.budget.recordArrival('ledger', 'a0', 2_000 + index);
    }
    t.deepEqual(
      history.violations().map(({promise}) => promise),
      isViolation ? ['budget'] : [],
    );
  });
}
