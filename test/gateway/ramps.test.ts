/** Cold instances of a service with a ramp, behind gateways as processes with sockets. */
import * as ava from 'ava';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as platformObjects from '../../standins/platform_objects';
import * as requestLimit from '../../standins/request_limit';
import * as gatewayFleet from '../support/gateway_fleet';
import * as limitedReplica from '../support/limited_replica';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {GatewayFleet} = gatewayFleet;
const GATEWAYS = 3;
const RAMP = 5;
const LOAD_PER_SECOND = 100;
const LOAD_MILLISECONDS = 7_000;
/** Time after which the ramp is to be used to a good part: gateways that have just started do not know each other. */
const SETTLING_MILLISECONDS = 3_000;
const GOOD_SHARE = 0.6;

/** A configuration whose plain service has the ramp. */
function rampedConfiguration(version: number): object {
  return testGateway.configurationSpec(version, {
    services: [
      {...platformObjects.serviceSpec('ledger'), rampPerS: RAMP, warmupS: 60},
      platformObjects.serviceSpec('writers', platformObjects.engineSpec()),
    ],
  });
}

/** Writes the registration of an instance that is cold for some time. */
function registerCold(
  fleet: gatewayFleet.GatewayFleet,
  address: string,
  warmLeftMs: number,
  fields: object = {},
): void {
  const spec = platformObjects.registrationSpec('ledger', address);
  fleet.store.put('servers', 'i-1', {...spec, warmLeftMs, ...fields});
}

/** A fleet with one instance of its service. */
async function startFleet(
  t: ava.ExecutionContext,
  warmLeftMs: number,
): Promise<{
  fleet: gatewayFleet.GatewayFleet;
  replica: limitedReplica.LimitedReplica;
  address: string;
}> {
  const replica = new limitedReplica.LimitedReplica('i-1');
  const fleet = await GatewayFleet.start(t, GATEWAYS);
  t.teardown(() => replica.close());
  fleet.store.put('config', 'main', rampedConfiguration(2));
  const address = await replica.listen();
  registerCold(fleet, address, warmLeftMs);
  await fleet.until(() =>
    fleet.gateways.every(({process: {state}}) => {
      const record = state.instances.get('i-1')?.record;
      return state.configurationVersion === 2 && record?.address === address;
    }),
  );
  return {fleet, replica, address};
}

/** Sends requests at a steady rate to the gateways in turn, and adds their answers to the list; returns their statuses. */
async function sendLoad(
  fleet: gatewayFleet.GatewayFleet,
  gateways: readonly gatewayFleet.FleetGateway[],
  milliseconds: number,
  answers: Promise<number>[] = [],
): Promise<number[]> {
  const startedAt = performance.now();
  const total = (LOAD_PER_SECOND * milliseconds) / 1000;
  while (answers.length < total) {
    const elapsed = performance.now() - startedAt;
    const due = Math.min(total, Math.floor((elapsed * LOAD_PER_SECOND) / 1000));
    while (answers.length < due) {
      const gateway = gateways[answers.length % gateways.length];
      answers.push(fleet.requestStatus(gateway, testGateway.KEY));
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  return Promise.all(answers);
}

/** Waits until all gateways know that the instance is cold, and what they sent before is answered. */
async function untilCold(
  fleet: gatewayFleet.GatewayFleet,
  sent: readonly Promise<number>[],
): Promise<void> {
  await fleet.until(() =>
    fleet.gateways.every(({process}) => {
      const {record} = process.state.instances.get('i-1')!;
      const life = instanceTable.lifeOf(record);
      return (
        process.coldInstances.leftMilliseconds(life, performance.now()) > 10_000
      );
    }),
  );
  await Promise.all([...sent]);
}

function isKept(
  t: ava.ExecutionContext,
  {arrivals}: limitedReplica.LimitedReplica,
  since = 0,
): boolean {
  const times = arrivals.filter(at => at >= since);
  const most = requestLimit.mostInWindow(times, 1_000);
  t.log(`${most} in a second, ${times.length} in all`);
  return most <= Math.floor(requestLimit.allowedWhileCold(RAMP));
}

for (const loaded of [1, GATEWAYS]) {
  // Gateways that count alone would send the ramp each, or a part of it each.
  test.serial(
    `ramps: a cold instance gets its ramp from ${GATEWAYS} gateways together with load at ${loaded}`,
    async t => {
      const {fleet, replica} = await startFleet(t, 60_000);
      const startedAt = performance.now();
      const statuses = await sendLoad(
        fleet,
        fleet.gateways.slice(0, loaded),
        LOAD_MILLISECONDS,
      );
      t.true(isKept(t, replica));
      const settled = replica.arrivals.filter(
        at => at >= startedAt + SETTLING_MILLISECONDS,
      );
      const seconds = (LOAD_MILLISECONDS - SETTLING_MILLISECONDS) / 1000;
      t.true(settled.length >= GOOD_SHARE * RAMP * seconds);
      t.true(statuses.every(status => status === 200 || status === 503));
    },
  );
}

// A gateway that knows nothing of before would count anew.
test.serial(
  'ramps: a gateway that starts again beside others does not send more',
  async t => {
    const {fleet, replica} = await startFleet(t, 60_000);
    const load = sendLoad(fleet, fleet.gateways.slice(1), LOAD_MILLISECONDS);
    await new Promise(resolve => setTimeout(resolve, 2_500));
    const restarted = await fleet.restart(fleet.gateways[0]);
    await sendLoad(fleet, [restarted], 4_000);
    await load;
    t.true(isKept(t, replica));
  },
);

for (const [title, fields] of [
  ['the same entry written again', {}],
  ['a new start at the same address', {born: 2}],
] as const) {
  // Statements about the former entry would keep the instance warm.
  test.serial(
    `ramps: an instance that was warm is held to its ramp at once by ${title}`,
    async t => {
      const {fleet, replica, address} = await startFleet(t, 1);
      const sent: Promise<number>[] = [];
      const load = sendLoad(fleet, fleet.gateways, LOAD_MILLISECONDS, sent);
      await fleet.until(() => replica.arrivals.length >= 100);
      registerCold(fleet, address, 60_000, fields);
      await untilCold(fleet, sent);
      const since = performance.now();
      await load;
      t.true(isKept(t, replica, since));
    },
  );
}

// An answer is seen by one gateway, and the others have to be told; odd values end nothing.
test.serial(
  'ramps: an instance that says in answers that it is cold again is held to its ramp, also while it sends odd values',
  async t => {
    const {fleet, replica} = await startFleet(t, 1);
    const sent: Promise<number>[] = [];
    const load = sendLoad(fleet, fleet.gateways, LOAD_MILLISECONDS, sent);
    await fleet.until(() => replica.arrivals.length >= 100);
    const {handler} = replica;
    let count = 0;
    replica.handler = (request, response) => {
      const odd = ['NaN', '-1', '', 'soon', '1e400'];
      const value = count++ === 0 ? '60000' : odd[count % odd.length];
      response.setHeader('X-Rhubarbvane-Warmup-Ms', value);
      handler(request, response);
    };
    const saidAt = performance.now();
    await untilCold(fleet, sent);
    t.log(`${Math.round(performance.now() - saidAt)} ms until all know`);
    const since = performance.now();
    await load;
    t.true(isKept(t, replica, since));
  },
);

// The limits of a cold instance would be used beside its ramp.
test.serial('ramps: of a ramp and a limit the smaller one counts', async t => {
  const {fleet, replica} = await startFleet(t, 60_000);
  replica.limit = '1';
  await sendLoad(fleet, fleet.gateways, LOAD_MILLISECONDS);
  t.true(isKept(t, replica));
  t.true(replica.mostArrivals() <= requestLimit.allowedRequests(1));
});

// An instance that stays at its ramp would be lost to its service.
test.serial(
  'ramps: an instance is used in full when its time is over, or when it says so',
  async t => {
    const {fleet, replica} = await startFleet(t, 60_000);
    const {handler} = replica;
    replica.handler = (request, response) => {
      response.setHeader('X-Rhubarbvane-Warmup-Ms', '0');
      handler(request, response);
    };
    await sendLoad(fleet, fleet.gateways, 4_000);
    const since = performance.now();
    const statuses = await sendLoad(fleet, fleet.gateways, 1_500);
    const used = replica.arrivals.filter(at => at >= since).length;
    t.log(`${used} of ${statuses.length}`);
    t.true(used >= 0.9 * statuses.length);
  },
);
