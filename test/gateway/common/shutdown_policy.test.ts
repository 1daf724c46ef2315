/** Requests that arrive at a gateway during its grace period. */
import * as ava from 'ava';
import * as shutdownPolicy from '../../../src/gateway/common/shutdown_policy';

const test = ava.default;

for (const [
  title,
  expectedTokens,
  maxTokens,
  pace,
  since,
  left,
  isAccepted,
] of [
  ['a tag is accepted until the last moments', 12, 44, 12, 6e3, 1_250, true],
  ['a tag is refused in the last moments', 12, 44, 12, 7e3, 500, false],
  [
    'a draft of medium length is accepted at first',
    400,
    2_200,
    12,
    0,
    7e3,
    true,
  ],
  ['the same draft is refused on slow engines', 400, 2_200, 20, 0, 7e3, false],
  ['a longer draft is accepted on fast engines', 650, 2_200, 8, 0, 7e3, true],
  ['a long draft is refused at once', 2_000, 2_200, 8, 0, 7e3, false],
  [
    'a short draft that arrives late is refused, since it may grow too long',
    200,
    2_200,
    8,
    3e3,
    4_500,
    false,
  ],
  [
    'a draft that arrives late without a maximum length is refused',
    200,
    0,
    8,
    3e3,
    4_500,
    false,
  ],
] as const) {
  test(`shutdown: ${title}`, t => {
    const isInTime = shutdownPolicy.generationEndsInTime(
      {expectedTokens, maxTokens, millisecondsPerToken: pace},
      {sinceSignalMilliseconds: since, leftMilliseconds: left},
    );
    t.is(isInTime, isAccepted);
  });
}

for (const [title, objective, left, expected] of [
  ['a quick call is accepted shortly before the exit', 120, 400, true],
  ['a quick call is refused in the last moments', 120, 300, false],
  ['the expected duration of a slow call is bounded', 2_000, 1_600, true],
] as const) {
  test(`shutdown: ${title}`, t => {
    t.is(shutdownPolicy.callEndsInTime(objective, left), expected);
  });
}

for (const [title, left, staying, firstEnd, expected] of [
  ['other gateways accept callers', 5_000, 2, 1_000, 50],
  ['a peer exits first', 5_000, 0, 1_000, 2_200],
  ['this gateway exits first', 500, 0, 4_000, 1_700],
  ['a peer should have exited already', 5_000, 0, 0, 1_200],
  ['there is no peer', 5_000, 0, Infinity, 6_200],
] as const) {
  test(`shutdown: refused callers get a suitable retry delay when ${title}`, t => {
    const peers = {stayingCount: staying, firstEndMilliseconds: firstEnd};
    t.is(shutdownPolicy.retryAfterMilliseconds(left, peers), expected);
  });
}

test('shutdown: in a rolling restart of all gateways every refused caller finds a running one', t => {
  // Four gateways receive their stop signal a second apart, and are back 1.2 s after their exit.
  const graceMilliseconds = 7_700;
  const restartMilliseconds = 1_200;
  const stops = [0, 1_000, 2_000, 3_000];
  const endOf = (stop: number) => stop + graceMilliseconds;
  const isUp = (stop: number, at: number) =>
    at < stop || at >= endOf(stop) + restartMilliseconds;
  for (let at = 0; at < 12_000; at += 100) {
    for (const stop of stops.filter(each => at >= each && at < endOf(each))) {
      const others = stops.filter(each => each !== stop);
      const ending = others.filter(each => at >= each && at < endOf(each));
      const wait = shutdownPolicy.retryAfterMilliseconds(endOf(stop) - at, {
        stayingCount: others.filter(each => isUp(each, at)).length,
        firstEndMilliseconds: Math.min(...ending.map(each => endOf(each) - at)),
      });
      t.true(
        stops.some(each => isUp(each, at + wait)),
        `refused at ${at} ms by the gateway stopped at ${stop} ms`,
      );
    }
  }
});

const STAYING = {stayingCount: 1, firstEndMilliseconds: Infinity};
const ALONE = {stayingCount: 0, firstEndMilliseconds: Infinity};

// Guards against requests that are sent to an instance late and cut off by the exit.
for (const [title, since, wait, isRetryable, isLikely, peers, expected] of [
  ['early, by what is likely', 1_000, 9_000, false, true, STAYING, true],
  ['early, not if unlikely', 1_000, 100, false, false, STAYING, false],
  [
    'late, if its caller waits longer',
    5_000,
    3_000,
    true,
    true,
    STAYING,
    false,
  ],
  [
    'late, if its caller stops waiting before',
    5_000,
    2_000,
    true,
    false,
    STAYING,
    true,
  ],
  [
    'late, without another gateway, if it may be repeated',
    5_000,
    3_000,
    true,
    true,
    ALONE,
    true,
  ],
  [
    'late, without another gateway, if it may not',
    5_000,
    3_000,
    false,
    true,
    ALONE,
    false,
  ],
] as const) {
  test(`shutdown: whether a request is sent ${title}`, t => {
    const mayBeSent = shutdownPolicy.mayBeSent(
      {waitMilliseconds: wait, isRetryable, isLikelyInTime: isLikely},
      {sinceSignalMilliseconds: since, leftMilliseconds: 2_500},
      peers,
    );
    t.is(mayBeSent, expected);
  });
}

test('shutdown: a late generation is refused if an engine that just meets its objectives takes too long', t => {
  const generation = {
    expectedTokens: 12,
    maxTokens: 12,
    millisecondsPerToken: 12,
  };
  const grace = {sinceSignalMilliseconds: 6_000, leftMilliseconds: 1_600};
  t.true(shutdownPolicy.generationEndsInTime(generation, grace));
  const slowestMilliseconds = 1_500 + 3 * 180;
  t.false(
    shutdownPolicy.generationEndsInTime(
      {...generation, slowestMilliseconds},
      grace,
    ),
  );
});
