/** Limits that 4 to 330 gateways share while datagrams are lost and gateways are killed, cut off or join. */
import * as ava from 'ava';
import * as requestLimit from '../../../../standins/request_limit';
import * as simulatedFleet from '../../../support/simulated_fleet';
import * as simulatedLimits from '../../../support/simulated_limits';

const test = ava.default;
const SEED = 20_261_204;
const SIZES = [4, 30, 330];
const LIMIT = 10;
const LOAD_PER_SECOND = 200;
/** Time after the first answer from which gateways have to keep the limit, in milliseconds. */
const SETTLING_MILLISECONDS = 500;
/** Share of the limit that is to be used. */
const GOOD_SHARE = 0.6;
/** Goal for control of one gateway in one direction, in bytes a second. */
const BYTES_GOAL = 8_000;
/** Datagrams that a gateway may send for the loads of engines in a second; permits may cost no more. */
const MESSAGES_GOAL = 150;
/** Time for the gateways of a fleet to notice that the load has moved, in milliseconds. */
const SHIFT_MILLISECONDS = 10_000;
/** Time until gateways agree on the members again after one was lost, in milliseconds. */
const RECOVERY_MILLISECONDS = 10_000;

/** Gateways that know each other, under a load beyond the limit, some time after the limit was named. */
function limitedFleet(
  count: number,
  limit = LIMIT,
): simulatedLimits.SimulatedLimits {
  const fleet = new simulatedFleet.SimulatedFleet(count, SEED);
  fleet.introduceAll();
  const limits = new simulatedLimits.SimulatedLimits(fleet);
  limits.setLoad(LOAD_PER_SECOND);
  fleet.run(2_000);
  limits.limit = limit;
  fleet.run(SETTLING_MILLISECONDS);
  return limits;
}

/** Runs for the time; returns whether the limit was kept since the fleet has settled. */
function keepsLimit(
  limits: simulatedLimits.SimulatedLimits,
  since: number,
  milliseconds: number,
): boolean {
  limits.fleet.run(milliseconds);
  return (
    limits.mostArrivals(since) <= requestLimit.allowedRequests(limits.limit!)
  );
}

for (const count of SIZES) {
  test(`permits: ${count} gateways keep a limit together and use it up, at the cost of few datagrams`, t => {
    const limits = limitedFleet(count);
    const since = limits.fleet.now;
    limits.fleet.startCounting();
    const isKept = keepsLimit(limits, since, 12_000);
    const seconds = (limits.fleet.now - since) / 1000;
    const messages = limits.fleet.gateways.map(
      each => each.directMessages / seconds,
    );
    const bytes = limits.fleet.gateways.map(each => each.directBytes / seconds);
    t.log(
      `${limits.mostArrivals(since)} in 4 s, ${limits.rateSince(since)}/s; at most ${Math.max(...messages)} datagrams and ${Math.max(...bytes)} bytes/s`,
    );
    t.true(isKept);
    t.true(limits.rateSince(since) >= GOOD_SHARE * LIMIT);
    t.true(Math.max(...messages) <= MESSAGES_GOAL);
    t.true(Math.max(...bytes) <= BYTES_GOAL);
  });

  test(`permits: ${count} gateways keep a limit while its coordinator is killed and starts again`, t => {
    const limits = limitedFleet(count);
    const since = limits.fleet.now;
    for (const downMilliseconds of count > 30 ? [8_000] : [1_000, 8_000]) {
      const killed = limits.coordinator();
      killed.gateway.isUp = false;
      t.true(keepsLimit(limits, since, downMilliseconds));
      killed.gateway.restart();
      killed.start(limits.fleet.now);
      t.true(keepsLimit(limits, since, RECOVERY_MILLISECONDS));
    }
    const recovered = limits.fleet.now;
    limits.fleet.run(5_000);
    t.true(limits.rateSince(recovered) >= GOOD_SHARE * LIMIT);
  });

  test(`permits: a limit that ends is given up by all of ${count} gateways`, t => {
    const limits = limitedFleet(count);
    limits.fleet.run(3_000);
    limits.limit = undefined;
    limits.fleet.run(2_000);
    const since = limits.fleet.now;
    limits.fleet.run(3_000);
    t.true(limits.rateSince(since) >= 0.9 * LOAD_PER_SECOND);
    t.true(
      limits.gateways.every(
        each => each.limits.get(simulatedLimits.LIFE) === undefined,
      ),
    );
  });
}

for (const count of SIZES) {
  test(`permits: a load that moves to one of ${count} gateways uses the limit up`, t => {
    const limits = limitedFleet(count);
    const moves = count > 30 ? [0] : [0, count - 1];
    for (const gateway of moves.map(index => limits.gateways[index])) {
      limits.setLoad(LOAD_PER_SECOND, [gateway]);
      limits.fleet.run(SHIFT_MILLISECONDS);
      const since = limits.fleet.now;
      t.true(keepsLimit(limits, since, 8_000));
      t.true(limits.rateSince(since) >= GOOD_SHARE * LIMIT);
    }
  });
}

for (const [count, isCoordinator] of [
  [4, true],
  [4, false],
  [30, true],
  [30, false],
  [330, true],
] as const) {
  test(`permits: ${count} gateways keep a limit while ${isCoordinator ? 'its coordinator' : 'another gateway'} is cut off from the others`, t => {
    const limits = limitedFleet(count);
    const since = limits.fleet.now;
    const coordinator = limits.coordinator();
    const cut = isCoordinator
      ? coordinator
      : limits.gateways.find(each => each !== coordinator)!;
    limits.fleet.isCut = (from, to) =>
      from === cut.gateway || to === cut.gateway;
    t.true(keepsLimit(limits, since, 12_000));
    limits.fleet.isCut = () => false;
    t.true(keepsLimit(limits, since, RECOVERY_MILLISECONDS));
    const recovered = limits.fleet.now;
    limits.fleet.run(5_000);
    t.true(limits.rateSince(recovered) >= GOOD_SHARE * LIMIT);
  });
}

test('permits: a gateway that joins late learns of the limit before its first request', t => {
  const limits = limitedFleet(30);
  const since = limits.fleet.now;
  const late = limits.gateways[7];
  late.gateway.isUp = false;
  t.true(keepsLimit(limits, since, 6_000));
  late.gateway.restart();
  late.start(limits.fleet.now);
  late.load = 0;
  t.true(keepsLimit(limits, since, 2_000));
  t.is(late.limits.get(simulatedLimits.LIFE), LIMIT);
  late.load = LOAD_PER_SECOND;
  t.true(keepsLimit(limits, since, 8_000));
});

for (const limit of [0, 0.3, 1, 1.7, 40]) {
  test(`permits: a limit of ${limit} is kept and its end is noticed`, t => {
    const limits = limitedFleet(4, limit);
    const since = limits.fleet.now;
    t.true(keepsLimit(limits, since, 16_000));
    t.true(limits.rateSince(since) >= GOOD_SHARE * limit);
    limits.limit = undefined;
    limits.fleet.run(8_000);
    const ended = limits.fleet.now;
    limits.fleet.run(2_000);
    t.true(limits.rateSince(ended) >= 0.9 * LOAD_PER_SECOND);
  });
}
