/** Which of many gateways watch the source, while peers come, fall silent and lose it. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as peerDigest from '../../../src/gateway/common/peer_digest';
import * as watcherElection from '../../../src/gateway/common/watcher_election';

const test = ava.default;
const SEED = 20_261_204;

interface Gateway {
  readonly name: string;
  readonly ip: string;
  readonly table: peerDigest.PeerTable;
  readonly duty: watcherElection.WatcherElection;
  isOnDuty: boolean;
  isSourceAway: boolean;
  isUp: boolean;
}

/** Gateways that hear each other's digests. */
class Fleet {
  readonly gateways: Gateway[];

  constructor(count: number) {
    this.gateways = Array.from({length: count}, (_, index) => {
      const ip = `10.0.0.${index}`;
      const table = new peerDigest.PeerTable(ip, []);
      const name = `gateway-${index}`;
      const duty = new watcherElection.WatcherElection(name, table);
      return {
        name,
        ip,
        table,
        duty,
        isOnDuty: true,
        isSourceAway: false,
        isUp: true,
      };
    });
  }

  /** Every gateway hears all others, then decides. */
  round(now: number): void {
    const live = this.gateways.filter(each => each.isUp);
    for (const sender of live) {
      const isReading = sender.isOnDuty && !sender.isSourceAway;
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
      };
      live
        .filter(each => each !== sender)
        .forEach(each => each.table.addDigest(sender.ip, digest, now));
    }
    live.forEach(each => (each.isOnDuty = each.duty.isWatcher(now)));
  }

  get watchers(): Gateway[] {
    return this.gateways.filter(each => each.isUp && each.isOnDuty);
  }

  get readers(): Gateway[] {
    return this.watchers.filter(each => !each.isSourceAway);
  }
}

test('duty: few gateways watch by themselves, of many only three do', t => {
  const small = new Fleet(4);
  small.round(0);
  t.is(small.watchers.length, 4);
  const large = new Fleet(22);
  large.round(0);
  large.round(200);
  t.is(large.watchers.length, 3);
});

test('duty: when all watchers end at once, others watch within the time that a digest stays fresh', t => {
  const fleet = new Fleet(22);
  fleet.round(0);
  fleet.round(200);
  fleet.watchers.forEach(each => (each.isUp = false));
  fleet.round(1_000);
  t.is(fleet.watchers.length, 0);
  fleet.round(1_300);
  t.true(fleet.watchers.length >= 3);
  fleet.round(1_500);
  t.is(fleet.watchers.length, 3);
});

test('duty: watchers that lost the source are replaced while they still speak', t => {
  const fleet = new Fleet(22);
  fleet.round(0);
  fleet.round(200);
  const before = fleet.watchers;
  before.forEach(each => (each.isSourceAway = true));
  // For a moment nobody relays, so that all watch; then three others are known to.
  fleet.round(400);
  t.true(fleet.readers.length >= 3);
  fleet.round(600);
  t.is(fleet.readers.length, 3);
  t.true(fleet.readers.every(each => !before.includes(each)));
});

test('duty: while the source answers nobody, the duty does not wander without end', t => {
  const fleet = new Fleet(22);
  fleet.round(0);
  fleet.gateways.forEach(each => (each.isSourceAway = true));
  fleet.round(200);
  fleet.round(400);
  t.is(fleet.watchers.length, 22);
});

test('duty: by any schedule of ends, starts and losses, some gateway that can reads the source two rounds later', t => {
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
        const row = fleet.gateways[gateway];
        row.isUp = what === 'end' ? false : what === 'start' ? true : row.isUp;
        row.isSourceAway =
          what === 'lose' ? true : what === 'regain' ? false : row.isSourceAway;
        // Past the freshness of digests, so that what ended counts as ended.
        fleet.round((now += 1_100));
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
