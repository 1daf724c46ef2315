/** What proves that the copy of a run exists. */
import * as ava from 'ava';
import * as copyEvidence from '../../../src/gateway/common/copy_evidence';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;
const {CopyOrigin, EvidenceGap} = copyEvidence;
const NOW = 100_000;

function facts(
  overrides: Partial<copyEvidence.CopyFacts> = {},
): copyEvidence.CopyFacts {
  return {
    origin: CopyOrigin.Backup,
    confirmedAt: NOW - 4_000,
    holder: gatewayRecords.instanceRecord({startedAt: 7}),
    isRemote: false,
    eventTimes: {first: NOW - 4_000, latest: NOW},
    firstPartTokens: 3_000,
    promptTokens: 3_000,
    millisecondsPerToken: 0.1,
    lifetimeMilliseconds: 5_000,
    ...overrides,
  };
}

function report(
  unlistedMemoryTokens: number,
  startedAt = 7,
  freeMemoryTokens = Infinity,
) {
  return {
    eventsByRun: new Map(),
    queuedRuns: 0,
    memoryTokens: unlistedMemoryTokens,
    unlistedMemoryTokens,
    freeMemoryTokens,
    startedAt,
    isLeaving: false,
  };
}

const ordered = {origin: CopyOrigin.Ordered, eventTimes: undefined};
const OWN_CASES: readonly (readonly [
  string,
  Partial<copyEvidence.CopyFacts>,
  copyEvidence.EvidenceGap | undefined,
])[] = [
  ['a backup of a run that was at work for seconds', {}, undefined],
  [
    'a backup of a run without an event',
    {eventTimes: undefined},
    EvidenceGap.TooEarly,
  ],
  [
    'a backup whose transfer takes longer than the run was seen at work',
    {eventTimes: {first: NOW - 600, latest: NOW}},
    EvidenceGap.TooEarly,
  ],
  [
    'a backup of a short prompt after the same time',
    {eventTimes: {first: NOW - 600, latest: NOW}, firstPartTokens: 1_000},
    undefined,
  ],
  [
    'a backup in another data centre, where transfers take twice as long',
    {
      eventTimes: {first: NOW - 500, latest: NOW},
      firstPartTokens: 1_000,
      isRemote: true,
    },
    EvidenceGap.TooEarly,
  ],
  [
    'a backup of a run that was silent for longer than copies are kept',
    {eventTimes: {first: NOW - 9_000, latest: NOW - 5_001}},
    EvidenceGap.Expired,
  ],
  ['a confirmed copy', ordered, undefined],
  [
    'a copy that was confirmed before the time for which copies are kept',
    {...ordered, confirmedAt: NOW - 5_001},
    EvidenceGap.Expired,
  ],
  [
    'an old confirmed copy where that time is unknown',
    {...ordered, confirmedAt: NOW - 5_001, lifetimeMilliseconds: 0},
    undefined,
  ],
];

for (const [title, overrides, expected] of OWN_CASES) {
  test(`copy evidence: ${title}`, t => {
    t.is(copyEvidence.findOwnGap(facts(overrides), NOW), expected);
  });
}

test('copy evidence: the engine of a backup needs as much memory in use beside its runs', t => {
  const copy = facts();
  t.is(copyEvidence.findReportedGap(copy, report(3_000)), undefined);
  t.is(
    copyEvidence.findReportedGap(copy, report(2_999)),
    EvidenceGap.NotInMemory,
  );
});

test('copy evidence: a backup at an engine that is full may have found no room, a confirmed copy has it', t => {
  const {NoRoom} = EvidenceGap;
  t.is(copyEvidence.findReportedGap(facts(), report(9_000, 7, 2_999)), NoRoom);
  t.is(
    copyEvidence.findReportedGap(facts(), report(9_000, 7, 3_000)),
    undefined,
  );
  t.is(
    copyEvidence.findReportedGap(facts(ordered), report(0, 7, 0)),
    undefined,
  );
});

test('copy evidence: an engine that has started again has no copies', t => {
  const {Restarted} = EvidenceGap;
  t.is(copyEvidence.findReportedGap(facts(), report(9_000, 8)), Restarted);
  t.is(copyEvidence.findReportedGap(facts(ordered), report(0, 8)), Restarted);
});

test('copy evidence: a start that is not told proves nothing', t => {
  t.is(copyEvidence.findReportedGap(facts(), report(9_000, 0)), undefined);
});

test('copy evidence: an engine that does not report proves no backup, and does not disprove a confirmed copy', t => {
  t.is(copyEvidence.findReportedGap(facts(), undefined), EvidenceGap.NoReport);
  t.is(copyEvidence.findReportedGap(facts(ordered), undefined), undefined);
});
