/** Gateways whose store is restored from an older copy, after which it assigns earlier revisions a second time. */
import * as ava from 'ava';
import * as storeStandin from '../../standins/store_standin';
import * as gatewayFleet from '../support/gateway_fleet';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {GatewayFleet} = gatewayFleet;
/** Gateways of which some watch the store for the others. */
const MANY = 6;
/** Writes of the system itself that a restored store has lost. */
const LOST_WRITES = 40;

function startFleet(
  t: ava.ExecutionContext,
  count: number,
): Promise<gatewayFleet.GatewayFleet> {
  return GatewayFleet.start(t, count);
}

/** Writes objects that only the system reads, and waits until all gateways know the revisions. */
async function advance(fleet: gatewayFleet.GatewayFleet): Promise<void> {
  for (let count = 0; count < LOST_WRITES; count++) {
    fleet.store.put('others', `o-${count}`, {count});
  }
  fleet.register('i-last');
  await fleet.untilRegistered('i-last');
}

/** Restores the store; the operator and the instances write again what is lost. */
function restore(
  {store}: gatewayFleet.GatewayFleet,
  copy: storeStandin.StoreCopy,
  writeAgain: () => void,
): void {
  store.restore(copy);
  writeAgain();
}

function isDraining(gateway: gatewayFleet.FleetGateway, id: string): boolean {
  const instance = gateway.process.state.instances.get(id);
  return instance === undefined || instance.drainingAt !== undefined;
}

// Guards against revisions of different eras that are compared: departures, new instances and versions are then ignored.
for (const count of [1, 2, MANY]) {
  test(`restored store: ${count} gateways follow departures, new instances and versions afterwards`, async t => {
    const fleet = await startFleet(t, count);
    fleet.register('i-2');
    await fleet.untilRegistered('i-2');
    const copy = fleet.store.copy();
    await advance(fleet);
    restore(fleet, copy, () => fleet.register('i-last'));
    fleet.register('i-3');
    await fleet.untilRegistered('i-3');
    fleet.register('i-2', 'draining');
    await fleet.until(() =>
      fleet.gateways.every(each => isDraining(each, 'i-2')),
    );
    fleet.store.put('config', 'main', testGateway.configurationSpec(2));
    await fleet.until(() =>
      fleet.gateways.every(
        each => each.process.state.configurationVersion === 2,
      ),
    );
    fleet.store.remove('servers', 'i-3');
    await fleet.until(() =>
      fleet.gateways.every(
        each => each.process.state.instances.get('i-3') === undefined,
      ),
    );
    t.true(
      fleet.gateways.every(({process}) => process.state.era.current === 2),
    );
  });
}

// Guards against positions of the era before that a gateway takes over from its peers when it starts.
test('restored store: a gateway that starts afterwards finds instances that register later', async t => {
  const fleet = await startFleet(t, 3);
  const copy = fleet.store.copy();
  await advance(fleet);
  restore(fleet, copy, () => fleet.register('i-last'));
  const restarted = await fleet.restart(fleet.gateways[1]);
  fleet.register('i-4');
  await fleet.untilRegistered('i-4');
  t.truthy(restarted.process.state.instances.get('i-4'));
});

// Guards against a watch from a revision that the restored store has given out again, which misses what came before.
test('restored store: changes up to a revision of the era before are not missed when it is given out again', async t => {
  const fleet = await startFleet(t, 2);
  const copy = fleet.store.copy();
  await advance(fleet);
  restore(fleet, copy, () => fleet.register('i-5'));
  for (let count = 0; count < 2 * LOST_WRITES; count++) {
    fleet.store.put('others', `o-${count}`, {count, again: true});
  }
  await fleet.untilRegistered('i-5');
  t.pass();
});

// Guards against a copy that brings back what had left before the store was restored.
test('restored store: departures, evacuations and withdrawn keys of the lost seconds do not come back', async t => {
  const fleet = await GatewayFleet.start(t, 3, () => ({
    evacuationBound: 5_000,
  }));
  const specOf = (version: number, key: string) =>
    testGateway.configurationSpec(version, {
      tenants: [{name: 'customer-one', apiKeys: [key]}],
    });
  fleet.store.put('config', 'main', specOf(2, 'old-key'));
  fleet.register('i-removed');
  fleet.register('i-draining');
  await fleet.untilRegistered('i-removed');
  await fleet.untilRegistered('i-draining');
  const copy = fleet.store.copy();
  await advance(fleet);
  fleet.store.put('config', 'main', specOf(3, 'new-key'));
  fleet.store.put('evacuations', 'b', {});
  fleet.store.remove('servers', 'i-removed');
  fleet.register('i-draining', 'draining');
  const hasLeft = (each: gatewayFleet.FleetGateway) =>
    each.process.state.configurationVersion === 3 &&
    each.process.state.instances.get('i-removed') === undefined &&
    isDraining(each, 'i-draining');
  await fleet.until(() => fleet.gateways.every(hasLeft));
  fleet.store.restore(copy);
  fleet.register('i-6');
  let isRevived = false;
  await fleet.until(() => {
    isRevived ||= !fleet.gateways.every(hasLeft);
    return fleet.gateways.every(
      each => each.process.state.instances.get('i-6') !== undefined,
    );
  });
  t.false(isRevived);
  const statuses = await Promise.all(
    fleet.gateways.map(each => fleet.requestStatus(each, 'old-key')),
  );
  t.deepEqual(new Set(statuses), new Set([401]));
});
