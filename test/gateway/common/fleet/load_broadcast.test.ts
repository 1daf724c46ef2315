/** When loads are sent to the other gateways. */
import * as ava from 'ava';
import * as loadBroadcast from '../../../../src/gateway/common/fleet/load_broadcast';

const test = ava.default;

/** Number of broadcasts in a time during which the loads change at each step, or never. */
function countBroadcasts(
  members: number,
  milliseconds: number,
  loadsAt: (now: number) => string,
): number {
  const broadcast = new loadBroadcast.LoadBroadcast();
  let count = 0;
  for (let now = 0; now < milliseconds; now += 100) {
    count += broadcast.isDue(loadsAt(now), members, now) ? 1 : 0;
  }
  return count;
}

test('load broadcast: a change is sent at once, and its end too', t => {
  const broadcast = new loadBroadcast.LoadBroadcast();
  t.true(broadcast.isDue('a', 20, 1_000));
  t.false(broadcast.isDue('a', 20, 1_200));
  t.true(broadcast.isDue('', 20, 1_300));
  t.false(broadcast.isDue('', 20, 60_000));
});

test('load broadcast: at 1,000 members that change all the time, messages stay within 150 a second', t => {
  for (const members of [4, 68, 330, 1_000]) {
    const count = countBroadcasts(members, 60_000, now => String(now));
    // The first broadcast opens the first interval.
    t.true(((count - 1) * members) / 60 <= 150);
  }
});

test('load broadcast: unchanged loads are repeated at least twice before they expire', t => {
  for (const members of [4, 68, 330, 1_000]) {
    const lifetime = loadBroadcast.loadLifetime(members);
    t.true(countBroadcasts(members, lifetime + 100, () => 'a') >= 3);
  }
});
