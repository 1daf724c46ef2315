/** Which gateways watch the source, while peers start, stop and lose the connection to it. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as pureRand from 'pure-rand';
import * as memberTable from '../../../../src/gateway/common/fleet/member_table';
import * as peerDigest from '../../../../src/gateway/common/fleet/peer_digest';
import * as watcherElection from '../../../../src/gateway/common/fleet/watcher_election';

const test = ava.default;
const SEED = 20_261_204;

interface Gateway {
  readonly name: string;
  readonly ip: string;
  readonly table: memberTable.MemberTable;
  readonly election: watcherElection.WatcherElection;
  isWatcher: boolean;
  isSourceAway: boolean;
  isUp: boolean;
}

/** Gateways that receive each other's digests. */
class Fleet {
  readonly gateways: Gateway[];

  constructor(count: number, wide: readonly number[] = []) {
    this.gateways = Array.from({length: count}, (_, index) => {
      const ip = `10.0.0.${index}`;
      const name = `gateway-${index}`;
      const table = new memberTable.MemberTable(
        {ip, name, isWide: wide.includes(index)},
        [],
      );
      const election = new watcherElection.WatcherElection(table);
      return {
        name,
        ip,
        table,
        election,
        isWatcher: true,
        isSourceAway: false,
        isUp: true,
      };
    });
  }

  /** Whether the next digest arrives. */
  isDelivered = () => true;

  /** Every gateway receives the digests of all others, then decides. */
  round(now: number): void {
    const live = this.gateways.filter(each => each.isUp);
    for (const sender of live) {
      const isReading = sender.isWatcher && !sender.isSourceAway;
      const digest: peerDigest.PeerDigest = {
        name: sender.name,
        stateAddress: '',
        configurationVersion: 1,
        instancesPosition: 1,
        isSourceAway: sender.isSourceAway,
        sourceAgeMilliseconds: isReading ? 100 : undefined,
        loads: {},
        crashes: [],
        peers: [],
        isWide: sender.table.own.isWide,
      };
      live
        .filter(each => each !== sender && this.isDelivered())
        .forEach(each =>
          each.table.addDigest(
            sender.ip,
            digest,
            sender.table.incarnation,
            now,
          ),
        );
    }
    live.forEach(each => (each.isWatcher = each.election.isWatcher(now)));
  }

  get watchers(): Gateway[] {
    return this.gateways.filter(each => each.isUp && each.isWatcher);
  }

  get readers(): Gateway[] {
    return this.watchers.filter(each => !each.isSourceAway);
  }
}

test('watchers: each of a few gateways watches the source itself, of many only three do', t => {
  const small = new Fleet(4);
  small.round(0);
  t.is(small.watchers.length, 4);
  const large = new Fleet(22);
  large.round(0);
  large.round(200);
  t.is(large.watchers.length, 3);
});

test('watchers: when all watchers stop at once, others take over once their digests are no longer fresh', t => {
  const fleet = new Fleet(22);
  fleet.round(0);
  fleet.round(200);
  fleet.watchers.forEach(each => (each.isUp = false));
  fleet.round(1_800);
  t.is(fleet.watchers.length, 0);
  fleet.round(2_000);
  t.is(fleet.watchers.length, 3);
  fleet.round(2_200);
  t.is(fleet.watchers.length, 3);
});

test('watchers: among gateways with wide links the duty stays while one digest in a hundred is lost', t => {
  const fleet = new Fleet(68, [3, 14, 15, 41, 59]);
  const random = pureRand.xoroshiro128plus(SEED);
  fleet.isDelivered = () =>
    pureRand.unsafeUniformIntDistribution(1, 100, random) > 1;
  fleet.round(0);
  fleet.round(200);
  const names = new Set<string>();
  for (
    let now = 200;
    now < 60_000;
    now += watcherElection.BEACON_INTERVAL_MILLISECONDS
  ) {
    fleet.round(now);
    fleet.watchers.forEach(each => names.add(each.name));
  }
  t.is(names.size, 3);
  t.true(
    [...names].every(name =>
      [
        'gateway-3',
        'gateway-14',
        'gateway-15',
        'gateway-41',
        'gateway-59',
      ].includes(name),
    ),
  );
});

test('watchers: those that cannot reach the source are replaced although they still send digests', t => {
  const fleet = new Fleet(22);
  fleet.round(0);
  fleet.round(200);
  const before = fleet.watchers;
  before.forEach(each => (each.isSourceAway = true));
  // At first nobody relays, so all gateways watch; then three others are known to relay.
  fleet.round(400);
  t.true(fleet.readers.length >= 3);
  fleet.round(600);
  t.is(fleet.readers.length, 3);
  t.true(fleet.readers.every(each => !before.includes(each)));
});

test('watchers: while the source answers nobody, all gateways watch instead of electing others forever', t => {
  const fleet = new Fleet(22);
  fleet.round(0);
  fleet.gateways.forEach(each => (each.isSourceAway = true));
  fleet.round(200);
  fleet.round(400);
  t.is(fleet.watchers.length, 22);
});

test('watchers: after any sequence of stops, starts and losses, the source is read two rounds later by a gateway that can reach it', t => {
  const step = fastCheck.record({
    gateway: fastCheck.nat(19),
    what: fastCheck.constantFrom('end', 'start', 'lose', 'regain'),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, {maxLength: 60}), steps => {
      const fleet = new Fleet(20);
      let now = 0;
      fleet.round(now);
      for (const {gateway, what} of steps) {
        const affected = fleet.gateways[gateway];
        affected.isUp =
          what === 'end' ? false : what === 'start' ? true : affected.isUp;
        affected.isSourceAway =
          what === 'lose'
            ? true
            : what === 'regain'
              ? false
              : affected.isSourceAway;
        // Longer than digests count as fresh, so that stopped gateways are detected.
        fleet.round((now += 1_800));
        fleet.round((now += 200));
        fleet.round((now += 200));
        const canRead = fleet.gateways.some(
          each => each.isUp && !each.isSourceAway,
        );
        if (canRead && fleet.readers.length === 0) {
          return false;
        }
      }
      return true;
    }),
    {seed: SEED, numRuns: 200},
  );
  t.pass();
});
