/** Several gateways: which of them read the store, and how its state reaches the others. */
import * as ava from 'ava';
import * as tcpRelay from '../../standins/tcp_relay';
import * as gatewayFleet from '../support/gateway_fleet';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {GatewayFleet} = gatewayFleet;
const MANY = 8;

test('peers: three of many gateways watch the store, and all receive instances and configurations', async t => {
  const fleet = await GatewayFleet.start(t, MANY);
  await fleet.until(() => fleet.watchers.length === 3);
  fleet.register('i-2');
  fleet.store.put('config', 'main', testGateway.configurationSpec(2));
  await fleet.untilRegistered('i-2');
  await fleet.until(() =>
    fleet.gateways.every(each => each.process.state.configurationVersion === 2),
  );
  fleet.store.remove('servers', 'i-2');
  await fleet.until(() =>
    fleet.gateways.every(
      each => each.process.state.instances.get('i-2') === undefined,
    ),
  );
  t.is(fleet.watchers.length, 3);
});

test('peers: when all watchers stop, other gateways read the store', async t => {
  const fleet = await GatewayFleet.start(t, MANY);
  await fleet.until(() => fleet.watchers.length === 3);
  const ended = fleet.watchers;
  ended.forEach(each => each.process.dispose());
  fleet.register('i-2');
  const rest = fleet.gateways.filter(each => !ended.includes(each));
  await fleet.untilRegistered('i-2', rest);
  t.is(rest.length, MANY - 3);
});

test('peers: watchers whose connections to the store fall silent are replaced', async t => {
  const fleet = await GatewayFleet.start(t, MANY);
  await fleet.until(() => fleet.watchers.length === 3);
  const before = fleet.watchers;
  before.forEach(each => each.relay.setMode(tcpRelay.RelayMode.SilenceAll));
  fleet.register('i-2');
  fleet.store.put('config', 'main', testGateway.configurationSpec(2));
  await fleet.untilRegistered('i-2');
  await fleet.until(() =>
    fleet.gateways.every(each => each.process.state.configurationVersion === 2),
  );
  // Reads that were in flight when the silence began can bring these changes;
  // later ones need new watchers.
  await fleet.until(() => fleet.watchers.some(each => !before.includes(each)));
  fleet.register('i-3');
  fleet.store.put('config', 'main', testGateway.configurationSpec(3));
  await fleet.untilRegistered('i-3');
  await fleet.until(() =>
    fleet.gateways.every(each => each.process.state.configurationVersion === 3),
  );
  t.deepEqual(
    before.filter(each => each.relay.isPassing),
    [],
  );
});

test('peers: a gateway whose connections the store refuses still rejects a removed key', async t => {
  const fleet = await GatewayFleet.start(t, 2);
  const [cut] = fleet.gateways;
  cut.relay.setMode(tcpRelay.RelayMode.Cut);
  const tenants = [{name: 'customer-one', apiKeys: ['key-two']}];
  fleet.store.put(
    'config',
    'main',
    testGateway.configurationSpec(2, {tenants}),
  );
  await fleet.until(() => cut.process.state.configurationVersion === 2);
  t.is(await fleet.requestStatus(cut, testGateway.KEY), 401);
});
