/** Gateways that share the ramp of a cold instance on a simulated clock, and what each size of fleet has to stand. */
import * as ava from 'ava';
import * as requestLimit from '../../standins/request_limit';
import * as simulatedFleet from './simulated_fleet';
import * as simulatedLimits from './simulated_limits';

export const SEED = 20_261_205;
export const LOAD_PER_SECOND = 200;
/** Time for which the instance stays cold, in milliseconds; longer than any test. */
export const COLD_MILLISECONDS = 600_000;
/** Share of the ramp that is to be used. */
export const GOOD_SHARE = 0.6;
/** Time until gateways agree on the members again after one was lost, in milliseconds. */
export const RECOVERY_MILLISECONDS = 10_000;
/** Time for which gateways are cut off, in milliseconds; longer than members take to be given up. */
const CUT_MILLISECONDS = 20_000;

/** Lets the runner report the tests before; the simulations leave it no time. */
function reportResults(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Gateways that know each other and an instance that has just registered, under a load beyond its ramp. */
export function coldFleet(
  count: number,
  ramp: number,
): simulatedLimits.SimulatedLimits {
  const fleet = new simulatedFleet.SimulatedFleet(count, SEED);
  fleet.introduceAll();
  const limits = new simulatedLimits.SimulatedLimits(fleet);
  fleet.run(2_000);
  limits.registerCold(ramp, COLD_MILLISECONDS);
  limits.setLoad(LOAD_PER_SECOND);
  return limits;
}

/** Runs for the time; returns whether the instance never got too many requests in a second. */
export function keepsRamp(
  t: ava.ExecutionContext,
  limits: simulatedLimits.SimulatedLimits,
  ramp: number,
  milliseconds: number,
): boolean {
  limits.fleet.run(milliseconds);
  const most = limits.mostInSecond(0);
  t.log(`${most} in a second, ${limits.rateSince(0)} a second in all`);
  return most <= requestLimit.allowedWhileCold(ramp);
}

/** Tests that fleets of a size keep the ramp. */
export function testFleet(test: ava.TestFn, count: number, ramp: number): void {
  // A second coordinator, or permits that are kept too long, would break the bound.
  test.serial(
    `ramps: ${count} gateways keep a ramp of ${ramp} a second together and use it`,
    async t => {
      await reportResults();
      const limits = coldFleet(count, ramp);
      t.true(keepsRamp(t, limits, ramp, 2_000));
      const since = limits.fleet.now;
      limits.fleet.startCounting();
      t.true(keepsRamp(t, limits, ramp, 10_000));
      t.log(`${limits.rateSince(since)} a second used`);
      t.true(limits.rateSince(since) >= GOOD_SHARE * ramp);
      const bytes = limits.fleet.gateways.map(each => each.directBytes / 10);
      t.log(`at most ${Math.max(...bytes)} bytes/s`);
      t.true(Math.max(...bytes) <= 8_000);
    },
  );

  // Gateways that use shares beside an old and a new coordinator would break the bound.
  test.serial(
    `ramps: ${count} gateways keep a ramp of ${ramp} a second while its coordinator is killed and starts again`,
    async t => {
      await reportResults();
      const limits = coldFleet(count, ramp);
      limits.fleet.run(2_000);
      for (const downMilliseconds of count > 30 ? [8_000] : [1_000, 20_000]) {
        const killed = limits.coordinator();
        killed.gateway.isUp = false;
        t.true(keepsRamp(t, limits, ramp, downMilliseconds));
        killed.gateway.restart();
        killed.start(limits.fleet.now);
        limits.registerCold(ramp, COLD_MILLISECONDS, 1, [killed]);
        t.true(keepsRamp(t, limits, ramp, RECOVERY_MILLISECONDS));
      }
      const recovered = limits.fleet.now;
      limits.fleet.run(5_000);
      t.true(limits.rateSince(recovered) >= GOOD_SHARE * ramp);
    },
  );

  for (const isCoordinator of [true, false]) {
    // A gateway that is alone would send what it takes for its own part.
    test.serial(
      `ramps: ${count} gateways keep a ramp of ${ramp} a second while ${isCoordinator ? 'its coordinator' : 'another gateway'} is cut off`,
      async t => {
        await reportResults();
        const limits = coldFleet(count, ramp);
        limits.fleet.run(2_000);
        const coordinator = limits.coordinator();
        const cut = isCoordinator
          ? coordinator
          : limits.gateways.find(each => each !== coordinator)!;
        limits.fleet.isCut = (from, to) =>
          from === cut.gateway || to === cut.gateway;
        t.true(keepsRamp(t, limits, ramp, CUT_MILLISECONDS));
        limits.fleet.isCut = () => false;
        t.true(keepsRamp(t, limits, ramp, RECOVERY_MILLISECONDS));
        const recovered = limits.fleet.now;
        limits.fleet.run(5_000);
        t.true(limits.rateSince(recovered) >= GOOD_SHARE * ramp);
      },
    );
  }
}
