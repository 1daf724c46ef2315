/** Members across starts, losses and replacements of gateways. */
import * as ava from 'ava';
import * as memberTable from '../../../../src/gateway/common/fleet/member_table';
import * as peerDigest from '../../../../src/gateway/common/fleet/peer_digest';

const test = ava.default;
const {MemberState} = memberTable;
const OWN = {ip: '10.0.0.1', name: 'gateway-1', isWide: false};

function table(...seeds: string[]): memberTable.MemberTable {
  return new memberTable.MemberTable(OWN, seeds);
}

function digest(
  fields: Partial<peerDigest.PeerDigest> = {},
): peerDigest.PeerDigest {
  return {
    name: 'g',
    stateAddress: '',
    configurationVersion: 1,
    instancesPosition: 1,
    isSourceAway: false,
    loads: {},
    crashes: [],
    peers: [],
    ...fields,
  };
}

/** IPs of the live members. */
function liveIps(members: memberTable.MemberTable): string[] {
  return members.liveAddresses().sort();
}

test('members: this gateway is not its own member, and seeds count before they are heard', t => {
  const members = table('10.0.0.1', '10.0.0.2');
  t.is(members.gatewayCount(), 2);
  t.deepEqual(liveIps(members), []);
  t.is(members.silentAddress(), '10.0.0.2');
});

test('members: a member counts towards shared budgets for a while after it is gone, and is then removed', t => {
  const members = table('10.0.0.2');
  members.addDigest('10.0.0.9', digest(), 5, 0);
  members.suspect('10.0.0.9', 1_000);
  t.deepEqual(liveIps(members), ['10.0.0.9']);
  members.expire(3_900);
  t.deepEqual(liveIps(members), ['10.0.0.9']);
  members.expire(4_100);
  t.deepEqual(liveIps(members), []);
  members.expire(60_000);
  t.is(members.gatewayCount(), 3);
  members.expire(70_000);
  t.is(members.gatewayCount(), 2);
});

test('members: seeds are never removed', t => {
  const members = table('10.0.0.2');
  members.expire(10_000_000);
  t.is(members.gatewayCount(), 2);
});

test('members: a suspicion stands against what peers knew before it, and ends when the member contradicts or is heard', t => {
  const members = table();
  members.addRelayed(['10.0.0.9', 'g', 5, MemberState.Live, -1, 0], 0);
  members.addRelayed(['10.0.0.9', 'g', 5, MemberState.Suspect, -1, 0], 10);
  members.addRelayed(['10.0.0.9', 'g', 5, MemberState.Live, -1, 0], 20);
  t.is(members.get('10.0.0.9')?.state, MemberState.Suspect);
  members.addRelayed(['10.0.0.9', 'g', 6, MemberState.Live, -1, 0], 30);
  t.is(members.get('10.0.0.9')?.state, MemberState.Live);
  members.suspect('10.0.0.9', 40);
  members.addDigest('10.0.0.9', digest(), 6, 50);
  t.is(members.get('10.0.0.9')?.state, MemberState.Live);
});

test('members: one that is gone does not return by old news, and one never known is not added as gone', t => {
  const members = table();
  members.addRelayed(['10.0.0.9', 'g', 5, MemberState.Live, -1, 0], 0);
  members.suspect('10.0.0.9', 0);
  members.expire(10_000);
  members.addRelayed(['10.0.0.9', 'g', 5, MemberState.Live, -1, 0], 10_010);
  t.deepEqual(liveIps(members), []);
  members.addRelayed(['10.0.0.8', 'g', 5, MemberState.Gone, -1, 0], 10_020);
  t.is(members.gatewayCount(), 2);
});

test('members: a restarted gateway, which knows no former incarnation, keeps it at its peers', t => {
  const members = table();
  members.addDigest('10.0.0.9', digest(), 5, 0);
  members.addDigest('10.0.0.9', digest(), 0, 10);
  t.is(members.get('10.0.0.9')?.incarnation, 5);
});

test('members: a gateway that is suspected, or hears of an earlier process at its address, raises its incarnation above it', t => {
  const members = table();
  members.addRelayed(['10.0.0.1', 'gateway-1', 57, MemberState.Live, -1, 0], 0);
  t.is(members.incarnation, 58);
  members.addRelayed(
    ['10.0.0.1', 'gateway-1', 58, MemberState.Suspect, -1, 0],
    0,
  );
  t.is(members.incarnation, 59);
  members.addRelayed(['10.0.0.1', 'gateway-1', 59, MemberState.Live, -1, 0], 0);
  t.is(members.incarnation, 59);
});

test('members: a gateway of an older build is gone when its digests stop', t => {
  const members = table();
  members.addDigest('10.0.0.9', digest(), undefined, 0);
  members.expire(2_900);
  t.is(members.legacyMembers().length, 1);
  members.expire(3_100);
  t.is(members.legacyMembers().length, 0);
  t.deepEqual(members.page(3_200), []);
});

test('members: those that are shutting down are distinguished from those that accept callers', t => {
  const members = table();
  members.addDigest('10.0.0.2', digest({endsInMilliseconds: 5_000}), 1, 1_000);
  members.addRelayed(['10.0.0.3', 'g', 1, MemberState.Live, 3_000, 0], 1_500);
  t.deepEqual(members.availability(2_000), {
    stayingCount: 0,
    firstEndMilliseconds: 2_500,
  });
  members.addDigest('10.0.0.4', digest(), 1, 2_000);
  t.is(members.availability(2_000).stayingCount, 1);
});

test('members: an announced exit is on the next page', t => {
  const members = table();
  for (let index = 2; index < 200; index++) {
    members.addRelayed(
      [`10.0.1.${index}`, `g${index}`, 1, MemberState.Live, -1, 0],
      0,
    );
  }
  // Uses up the news of the joins.
  for (let page = 0; page < 2_000; page++) {
    members.page(0);
  }
  members.addDigest('10.0.1.7', digest({endsInMilliseconds: 900}), 2, 100);
  const found = members.page(200).find(([ip]) => ip === '10.0.1.7');
  t.deepEqual(found, ['10.0.1.7', 'g', 2, MemberState.Live, 800, 0]);
});

test('members: beyond its bound the table adds nobody and keeps those it has', t => {
  const members = table();
  for (let index = 0; index < memberTable.MAX_MEMBERS + 500; index++) {
    const ip = `10.1.${index >> 8}.${index & 255}`;
    members.addRelayed([ip, `g${index}`, 1, MemberState.Live, -1, 0], 0);
  }
  t.is(members.gatewayCount(), memberTable.MAX_MEMBERS + 1);
  t.is(members.page(0).length, memberTable.MAX_PAGE_SIZE);
  members.forgetNews();
  t.is(members.page(0).length, memberTable.PAGE_SIZE);
});
