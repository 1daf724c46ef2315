/** Evacuations of data centres at several gateways: in force everywhere in time, whoever reaches the store. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as storeStandin from '../../standins/store_standin';
import * as tcpRelay from '../../standins/tcp_relay';
import * as gatewayFleet from '../support/gateway_fleet';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {GatewayFleet} = gatewayFleet;
const {RelayMode} = tcpRelay;
const BOUND = 5_000;
const FOLLOWING = () => ({evacuationBound: BOUND});
/** Enough gateways for three to watch the store for the others. */
const MANY = 8;
const ZONE = 'z';

/** Starts gateways, and a replica in the data centre that the tests evacuate and one outside of it. */
async function start(
  t: ava.ExecutionContext,
  count: number,
  variationOf: (index: number) => gatewayFleet.FleetVariation = FOLLOWING,
) {
  const fleet = await GatewayFleet.start(t, count, variationOf);
  const inside = await addReplica(t, fleet, 'i-inside', ZONE);
  const outside = await addReplica(t, fleet, 'i-outside', 'b');
  // No replica listens at its address.
  fleet.store.remove('servers', 'i-1');
  await fleet.untilRegistered('i-inside');
  await fleet.untilRegistered('i-outside');
  await fleet.until(() =>
    fleet.gateways.every(
      each => each.process.state.instances.get('i-1') === undefined,
    ),
  );
  return {fleet, inside, outside};
}

async function addReplica(
  t: ava.ExecutionContext,
  fleet: gatewayFleet.GatewayFleet,
  id: string,
  zone: string,
): Promise<replicaStandin.ReplicaStandin> {
  const replica = new replicaStandin.ReplicaStandin(
    id,
    replicaStandin.succeed(id),
  );
  const address = await replica.listen();
  t.teardown(() => replica.close());
  fleet.register(id, 'ready', 'ledger', address, 'v1', zone);
  return replica;
}

function isEvacuated({process}: gatewayFleet.FleetGateway): boolean {
  return process.evacuations.dataCentres.evacuatedSince(ZONE) !== undefined;
}

/** Waits until all of the gateways agree; returns the time that it took, in milliseconds. */
async function untilInForce(
  fleet: gatewayFleet.GatewayFleet,
  expected: boolean,
  gateways = fleet.gateways,
): Promise<number> {
  const startedAt = performance.now();
  await fleet.until(() =>
    gateways.every(each => isEvacuated(each) === expected),
  );
  return performance.now() - startedAt;
}

/** Sends requests through each gateway; returns how many reached the replica. */
async function countAt(
  fleet: gatewayFleet.GatewayFleet,
  replica: replicaStandin.ReplicaStandin,
): Promise<number> {
  const before = replica.requests.length;
  await Promise.all(
    fleet.gateways.flatMap(gateway =>
      Array.from({length: 10}, () =>
        fleet.requestStatus(gateway, testGateway.KEY),
      ),
    ),
  );
  return replica.requests.length - before;
}

function evacuationCalls({store}: gatewayFleet.GatewayFleet): string[] {
  return store.calls.filter(each => each.includes('/evacuations'));
}

test('evacuations: ordered, withdrawn and ordered again at three gateways, each in force within the bound', async t => {
  const {fleet, inside} = await start(t, 3);
  t.true((await countAt(fleet, inside)) > 0);
  for (let round = 0; round < 2; round++) {
    fleet.store.put('evacuations', ZONE, {});
    t.true((await untilInForce(fleet, true)) < BOUND);
    t.is(await countAt(fleet, inside), 0);
    fleet.store.remove('evacuations', ZONE);
    t.true((await untilInForce(fleet, false)) < BOUND);
    t.true((await countAt(fleet, inside)) > 0);
  }
});

test('evacuations: a gateway that cannot reach the store hears of orders and withdrawals from its peers', async t => {
  const {fleet, inside} = await start(t, 3);
  const [cut] = fleet.gateways;
  cut.relay.setMode(RelayMode.Cut);
  for (let round = 0; round < 2; round++) {
    fleet.store.put('evacuations', ZONE, {});
    t.true((await untilInForce(fleet, true)) < BOUND);
    t.is(await countAt(fleet, inside), 0);
    fleet.store.remove('evacuations', ZONE);
    t.true((await untilInForce(fleet, false)) < BOUND);
  }
});

test('evacuations: a gateway that starts with or without the store knows them before its first request', async t => {
  const {fleet, inside, outside} = await start(t, 3);
  fleet.store.put('evacuations', ZONE, {});
  await untilInForce(fleet, true);
  for (const mode of [RelayMode.Pass, RelayMode.Cut]) {
    const restarted = await fleet.restart(fleet.gateways[2], mode);
    t.true(isEvacuated(restarted));
    t.is(await countAt(fleet, inside), 0);
    t.true((await countAt(fleet, outside)) > 0);
  }
});

test('evacuations: while the store is away the last set stays in force, also at a gateway that is restarted, and one that was withdrawn before does not return', async t => {
  const {fleet, inside} = await start(t, 3);
  const breakStore = (fault: storeStandin.StoreFault) => {
    fleet.store.fault = fault;
    // Ends the pending watches, so that the gateways notice.
    fleet.store.compact();
  };
  const {None, Reset} = storeStandin.StoreFault;
  fleet.store.put('evacuations', ZONE, {});
  await untilInForce(fleet, true);
  breakStore(Reset);
  const restarted = await fleet.restart(fleet.gateways[1]);
  t.true(isEvacuated(restarted));
  t.is(await countAt(fleet, inside), 0);
  breakStore(None);
  fleet.store.remove('evacuations', ZONE);
  t.true((await untilInForce(fleet, false)) < BOUND);
  breakStore(Reset);
  t.false(isEvacuated(await fleet.restart(fleet.gateways[2])));
  t.true((await countAt(fleet, inside)) > 0);
  breakStore(None);
  fleet.store.put('evacuations', ZONE, {});
  t.true((await untilInForce(fleet, true)) < BOUND);
});

test('evacuations: of many gateways only those that watch call the store, and the others hear of changes within the bound', async t => {
  const {fleet, inside} = await start(t, MANY);
  await fleet.until(() => fleet.watchers.length === 3);
  fleet.store.put('evacuations', ZONE, {});
  t.true((await untilInForce(fleet, true)) < BOUND);
  t.is(await countAt(fleet, inside), 0);
  fleet.store.remove('evacuations', ZONE);
  t.true((await untilInForce(fleet, false)) < BOUND);
  const countWatches = (kind: string) =>
    fleet.store.calls.filter(each => each.includes(`/${kind}?watch=`)).length;
  // The one watch that each of the other gateways may have begun at its start has ended by then.
  const settled = countWatches('evacuations') + MANY;
  await fleet.until(() => countWatches('evacuations') >= settled);
  const before = countWatches('evacuations');
  const registrationsBefore = countWatches('servers');
  const ROUNDS = 18;
  await fleet.until(
    () => countWatches('servers') >= registrationsBefore + ROUNDS,
  );
  // Watches of registrations last half as long: where the same gateways begin both, there are half as many of
  // evacuations, and 16 or more where all gateways follow evacuations. The clock tells less: on a busy machine digests
  // come late, and others watch for a moment.
  const begun = countWatches('evacuations') - before;
  t.true(begun < ROUNDS * 0.75, `${begun} watches of evacuations`);
  await fleet.until(() => fleet.watchers.length === 3);
});

test('evacuations: an order is in force within the bound although all open connections to the store have just fallen silent', async t => {
  const {fleet} = await start(t, MANY);
  await fleet.until(() => fleet.watchers.length === 3);
  // Lets watches begin shortly before the silence, which then lasts longest.
  const count = evacuationCalls(fleet).length;
  await fleet.until(() => evacuationCalls(fleet).length > count);
  fleet.gateways.forEach(each => each.relay.setMode(RelayMode.SilenceOpen));
  fleet.store.put('evacuations', ZONE, {});
  t.true((await untilInForce(fleet, true)) < BOUND);
});

test('evacuations: what was withdrawn while no gateway reached the store, and is no longer in its history, is in force afterwards', async t => {
  const {fleet} = await start(t, 3);
  fleet.store.put('evacuations', ZONE, {});
  await untilInForce(fleet, true);
  fleet.gateways.forEach(each => each.relay.setMode(RelayMode.Cut));
  fleet.store.remove('evacuations', ZONE);
  fleet.store.compact();
  fleet.gateways.forEach(each => each.relay.setMode(RelayMode.Pass));
  t.true((await untilInForce(fleet, false)) < BOUND);
});

test('evacuations: beside watching gateways of an older build, which do not read them, others do', async t => {
  // Gateways with wide links watch first; without the setting they behave as the build before.
  const {fleet} = await start(t, MANY, index =>
    index <= 3 ? {linkMegabits: 1_000} : {evacuationBound: BOUND},
  );
  const [old, current] = [fleet.gateways.slice(0, 3), fleet.gateways.slice(3)];
  await fleet.until(
    () =>
      fleet.watchers.length === 3 &&
      fleet.watchers.every(each => old.includes(each)),
  );
  // At first the reads that each gateway makes at its start may help.
  for (let round = 0; round < 3; round++) {
    fleet.store.put('evacuations', ZONE, {});
    t.true((await untilInForce(fleet, true, current)) < BOUND);
    fleet.store.remove('evacuations', ZONE);
    t.true((await untilInForce(fleet, false, current)) < BOUND);
  }
});

test('evacuations: with the setting empty no gateway calls the store for them', async t => {
  const fleet = await GatewayFleet.start(t, 3);
  fleet.store.put('evacuations', 'a', {});
  const restarted = await fleet.restart(fleet.gateways[0]);
  const watches = () =>
    fleet.store.calls.filter(each => each.includes('/servers?watch=')).length;
  const before = watches();
  await fleet.until(() => watches() > before + 6);
  t.deepEqual(evacuationCalls(fleet), []);
  t.is(restarted.process.evacuations.toRelay(), undefined);
});
