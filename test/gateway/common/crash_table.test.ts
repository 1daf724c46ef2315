/** Requests that crash instances, and requests that were only running at the same time. */
import * as ava from 'ava';
import * as crashTable from '../../../src/gateway/common/crash_table';

const test = ava.default;

test('crashes: a request is blocked by the third crashed instance, and a crash reported twice counts once', t => {
  const table = new crashTable.CrashTable();
  for (const life of ['a/1', 'a/1', 'b/1']) {
    table.add({fingerprint: 'f', life}, 0);
  }
  t.false(table.isBlocked('f', 1));
  table.add({fingerprint: 'f', life: 'a/2'}, 2);
  t.true(table.isBlocked('f', 3));
});

test('crashes: a completed request is cleared, and late reports of peers are ignored', t => {
  const table = new crashTable.CrashTable();
  const crashes = ['a', 'b', 'c'].map(life => ({fingerprint: 'f', life}));
  crashes.slice(0, 2).forEach(crash => table.add(crash, 0));
  table.clear('f', 10);
  crashes.forEach(crash => table.add(crash, 20));
  t.is(table.count('f', 30), 0);
});

test('crashes: crashes seen by other gateways block a request', t => {
  const tables = [1, 2, 3].map(() => new crashTable.CrashTable());
  tables.forEach((table, index) =>
    table.add({fingerprint: 'f', life: `i-${index}`}, 0),
  );
  const [first, ...others] = tables;
  others
    .flatMap(table => table.recent(0))
    .forEach(crash => first.add(crash, 1));
  t.true(first.isBlocked('f', 2));
});

test('crashes: an old crash expires', t => {
  const table = new crashTable.CrashTable();
  ['a', 'b', 'c'].forEach(life => table.add({fingerprint: 'f', life}, 0));
  t.false(table.isBlocked('f', 10 * 60_000));
});

test('crashes: crashes that gateways repeat to each other expire, whichever of them asks', t => {
  const [asked, other] = [
    new crashTable.CrashTable(),
    new crashTable.CrashTable(),
  ];
  ['a', 'b', 'c'].forEach(life => asked.add({fingerprint: 'f', life}, 0));
  for (let now = 0; now <= 10 * 60_000; now += 500) {
    asked.recent(now).forEach(crash => other.add(crash, now));
    other.recent(now).forEach(crash => asked.add(crash, now));
    t.is(asked.isBlocked('f', now), now <= 120_000, `after ${now} ms`);
  }
});

// Guards against a request that crashes instances but is left out of the digest, since each instance was running many others.
test('crashes: peers are told of all requests that were lost at the same time', t => {
  const [own, peer] = [
    new crashTable.CrashTable(),
    new crashTable.CrashTable(),
  ];
  const names = Array.from({length: 200}, (_, index) => `f${index}`);
  names.forEach(fingerprint => own.addOwn({fingerprint, life: 'a'}, 0));
  let digests = 0;
  while (own.hasUntold) {
    const digest = own.recent(10);
    t.true(digest.length <= 16);
    digest.forEach(crash => peer.add(crash, 10));
    own.markTold();
    digests++;
  }
  t.true(digests <= Math.ceil(names.length / 16));
  t.true(names.every(name => peer.count(name, 10) === 1));
  t.true(own.recent(10).length > 0);
});
