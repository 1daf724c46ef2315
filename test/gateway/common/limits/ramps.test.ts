/** Cold instances whose ramp some gateways share while datagrams are lost and gateways are killed, cut off or start. */
import * as ava from 'ava';
import * as requestLimit from '../../../../standins/request_limit';
import * as coldFleet from '../../../support/cold_fleet';
import * as simulatedFleet from '../../../support/simulated_fleet';
import * as simulatedLimits from '../../../support/simulated_limits';

const test = ava.default;
const SIZES = [4, 30];
const RAMPS = [5, 33];
const {COLD_MILLISECONDS, GOOD_SHARE, LOAD_PER_SECOND, RECOVERY_MILLISECONDS} =
  coldFleet;

for (const ramp of RAMPS) {
  for (const count of SIZES) {
    coldFleet.testFleet(test, count, ramp);
  }

  for (const count of [4, 30]) {
    // Each half elects a coordinator of its own.
    test(`ramps: two halves of ${count} gateways that are cut from each other keep a ramp of ${ramp} a second`, t => {
      const limits = coldFleet.coldFleet(count, ramp);
      const half = (each: simulatedFleet.SimulatedGateway) => each.index % 2;
      limits.fleet.isCut = (from, to) => half(from) !== half(to);
      t.true(coldFleet.keepsRamp(t, limits, ramp, 40_000));
      limits.fleet.isCut = () => false;
      t.true(coldFleet.keepsRamp(t, limits, ramp, RECOVERY_MILLISECONDS));
    });

    // What a gateway sends is lost, while it hears all others and takes itself for the coordinator.
    test(`ramps: ${count} gateways keep a ramp of ${ramp} a second while nobody hears the coordinator`, t => {
      const limits = coldFleet.coldFleet(count, ramp);
      limits.fleet.run(2_000);
      limits.coordinator().gateway.isMute = true;
      t.true(coldFleet.keepsRamp(t, limits, ramp, 24_000));
    });
  }

  // Gateways that do not know each other yet would each take themselves for the coordinator.
  test(`ramps: 30 gateways that start at once keep a ramp of ${ramp} a second and use it soon`, t => {
    const fleet = new simulatedFleet.SimulatedFleet(30, coldFleet.SEED);
    const limits = new simulatedLimits.SimulatedLimits(fleet);
    limits.gateways.forEach(each => each.start(0));
    limits.registerCold(ramp, COLD_MILLISECONDS);
    limits.setLoad(LOAD_PER_SECOND);
    t.true(coldFleet.keepsRamp(t, limits, ramp, 8_000));
    const since = fleet.now;
    fleet.run(5_000);
    t.true(limits.rateSince(since) >= GOOD_SHARE * ramp);
  });

  // Unused shares and permits of gateways without load would add up.
  test(`ramps: a load that comes in bursts at changing gateways keeps a ramp of ${ramp} a second`, t => {
    const limits = coldFleet.coldFleet(30, ramp);
    for (let burst = 0; burst < 12; burst++) {
      const from = (burst * 7) % 30;
      const loaded = limits.gateways.slice(from, from + (burst % 3) * 10 + 1);
      limits.setLoad(600, loaded);
      limits.fleet.run(300);
      limits.setLoad(0);
      limits.fleet.run(burst % 4 === 0 ? 3_000 : 100);
    }
    t.true(coldFleet.keepsRamp(t, limits, ramp, 1_000));
  });

  // A gateway that takes an instance for cold in vain, or for warm too early, would use a wrong rate.
  test(`ramps: all gateways send at full rate when the time of a ramp of ${ramp} a second is over, and a restarted one learns that`, t => {
    const limits = coldFleet.coldFleet(30, ramp);
    limits.registerCold(ramp, 4_000, 2);
    t.true(coldFleet.keepsRamp(t, limits, ramp, 3_900));
    limits.fleet.run(600);
    const restarted = limits.gateways[9];
    restarted.gateway.restart();
    restarted.start(limits.fleet.now);
    limits.registerCold(ramp, 4_000, 2, [restarted]);
    limits.fleet.run(2_500);
    const since = limits.fleet.now;
    limits.setLoad(LOAD_PER_SECOND, [restarted]);
    limits.fleet.run(1_500);
    const used = limits.rateSince(since);
    t.log(`${used} a second`);
    t.true(used >= 0.8 * LOAD_PER_SECOND);
  });

  // An answer is seen by one gateway; the others have to be told.
  test(`ramps: an instance that says that it is cold again is held to ${ramp} a second by all gateways within half a second`, t => {
    const limits = coldFleet.coldFleet(30, ramp);
    limits.registerCold(ramp, 0, 2);
    limits.fleet.run(2_000);
    limits.warmUp = COLD_MILLISECONDS;
    limits.fleet.run(500);
    const since = limits.fleet.now;
    limits.fleet.run(6_000);
    t.true(limits.mostInSecond(since) <= requestLimit.allowedWhileCold(ramp));
    t.true(limits.rateSince(since) >= GOOD_SHARE * ramp);
  });

  for (const limit of [2, 60]) {
    // The permits of one would be issued beside those of the other.
    test(`ramps: of a ramp of ${ramp} and a limit of ${limit} a second the smaller one counts`, t => {
      const limits = coldFleet.coldFleet(4, ramp);
      limits.limit = limit;
      limits.fleet.run(2_000);
      const since = limits.fleet.now;
      t.true(coldFleet.keepsRamp(t, limits, ramp, 8_000));
      t.true(limits.mostArrivals(since) <= requestLimit.allowedRequests(limit));
      t.true(limits.rateSince(since) >= GOOD_SHARE * Math.min(ramp, limit));
    });
  }
}
