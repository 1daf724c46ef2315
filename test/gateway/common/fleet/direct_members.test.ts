/** Which gateways are responsible for keys. */
import * as ava from 'ava';
import * as directMembers from '../../../../src/gateway/common/fleet/direct_members';

const test = ava.default;
const KEYS = Array.from({length: 3_000}, (_, index) => `i-${index}/${index}`);

function ipsOf(count: number): string[] {
  return Array.from(
    {length: count},
    (_, index) => `10.0.${index % 4}.${index}`,
  );
}

for (const count of [4, 30]) {
  test(`direct members: keys are spread over ${count} gateways, none has twice its share`, t => {
    const counts = new Map<string, number>();
    for (const key of KEYS) {
      const [ip] = directMembers.responsibleFor(key, ipsOf(count), 1);
      counts.set(ip, (counts.get(ip) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    t.log(`at most ${most} of ${KEYS.length / count}`);
    t.true(most <= (2 * KEYS.length) / count);
    t.is(counts.size, count);
  });
}

test('direct members: a gateway that leaves moves only its own keys', t => {
  const ips = ipsOf(30);
  const [left, ...rest] = ips;
  for (const key of KEYS) {
    const [before] = directMembers.responsibleFor(key, ips, 1);
    const [after] = directMembers.responsibleFor(key, rest, 1);
    t.true(before === after || before === left);
  }
});

test('direct members: those responsible are different gateways, the same whatever the order', t => {
  const ips = ipsOf(30);
  const found = directMembers.responsibleFor('key', ips, 3);
  t.is(new Set(found).size, 3);
  t.deepEqual(
    directMembers.responsibleFor('key', [...ips].reverse(), 3),
    found,
  );
  t.deepEqual(directMembers.responsibleFor('key', [], 3), []);
});
