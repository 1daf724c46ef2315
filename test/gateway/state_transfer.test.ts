/** Where a gateway that hears of a newer configuration gets it from. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as ava from 'ava';
import * as neverthrow from 'neverthrow';
import * as limitReporter from '../../src/base/node/limit_reporter';
import * as jsonLog from '../../src/base/node/json_log';
import * as metrics from '../../src/base/node/metrics';
import * as memberTable from '../../src/gateway/common/fleet/member_table';
import * as peerDigest from '../../src/gateway/common/fleet/peer_digest';
import * as watcherElection from '../../src/gateway/common/fleet/watcher_election';
import * as machineShares from '../../src/gateway/common/machine_shares';
import * as stateSource from '../../src/gateway/common/state_source';
import * as evacuationFollower from '../../src/gateway/node/evacuation_follower';
import * as gatewayMetrics from '../../src/gateway/node/gateway_metrics';
import * as stateTransfer from '../../src/gateway/node/fleet/state_transfer';
import * as stateFollower from '../../src/gateway/node/state_follower';
import * as freePorts from '../../standins/free_ports';
import * as tcpRelay from '../../standins/tcp_relay';
import * as gatewayRecords from '../support/gateway_records';

const test = ava.default;
const IP = '127.0.0.1';
const OTHERS = 8;
/** Keeps digests recent for the whole test, however long it takes. */
const FAR_AHEAD_MILLISECONDS = 3_600_000;

/** Offers one version; counts reads; watches never answer. */
class CountingSource extends stateSource.StateSource {
  reads = 0;

  constructor(public version: number) {
    super();
  }

  async readConfiguration() {
    this.reads++;
    const value = gatewayRecords.configurationOf({version: this.version});
    return neverthrow.ok({revision: this.version, value});
  }

  watchConfiguration(): ReturnType<
    stateSource.StateSource['watchConfiguration']
  > {
    return new Promise(() => undefined);
  }

  async listInstances(): ReturnType<stateSource.StateSource['listInstances']> {
    return neverthrow.ok({revision: 1, value: []});
  }

  watchInstances(): ReturnType<stateSource.StateSource['watchInstances']> {
    return new Promise(() => undefined);
  }

  async listEvacuations(): ReturnType<
    stateSource.StateSource['listEvacuations']
  > {
    return neverthrow.ok({revision: 1, value: []});
  }

  watchEvacuations(): ReturnType<stateSource.StateSource['watchEvacuations']> {
    return new Promise(() => undefined);
  }
}

function digestOf(
  index: number,
  configurationVersion: number,
  stateAddress: string,
): peerDigest.PeerDigest {
  return {
    name: `gateway-${index}`,
    stateAddress,
    configurationVersion,
    instancesPosition: 0,
    isSourceAway: false,
    sourceAgeMilliseconds: 0,
    loads: {},
    crashes: [],
    peers: [],
    isWide: true,
  };
}

/** A gateway among others that watch for it. */
function createFollower(source: CountingSource): stateFollower.StateFollower {
  const own = {ip: '10.0.0.1', name: 'gateway-0', isWide: false};
  const members = new memberTable.MemberTable(own, []);
  for (let index = 1; index <= OTHERS; index++) {
    const receivedAt = performance.now() + FAR_AHEAD_MILLISECONDS;
    const digest = digestOf(index, 1, '');
    members.addDigest(`10.0.1.${index}`, digest, 0, receivedAt);
  }
  return new stateFollower.StateFollower(
    source,
    new watcherElection.WatcherElection(members),
    new jsonLog.JsonLog({}, '/dev/null'),
  );
}

/** Follows no evacuations of data centres. */
function evacuationsOf(
  follower: stateFollower.StateFollower,
): evacuationFollower.EvacuationFollower {
  return new evacuationFollower.EvacuationFollower(
    0,
    'gateway-0',
    new CountingSource(1),
    follower,
    new gatewayMetrics.GatewayMetrics(new metrics.MetricsRegistry({})),
    new jsonLog.JsonLog({}, '/dev/null'),
  );
}

function createTransfer(
  t: ava.ExecutionContext,
  follower: stateFollower.StateFollower,
): stateTransfer.StateTransfer {
  const transfer = new stateTransfer.StateTransfer(
    follower,
    evacuationsOf(follower),
    {
      bounds: machineShares.divide({memoryMegabytes: 0, descriptors: 0})
        .peerServer,
      limits: new limitReporter.LimitReporter(
        () => undefined,
        () => undefined,
      ),
    },
    new jsonLog.JsonLog({}, '/dev/null'),
  );
  t.teardown(() => transfer.dispose());
  t.teardown(() => follower.dispose());
  return transfer;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

/** A follower that has version 1 and lets others watch. */
async function startedFollower(source: CountingSource) {
  const follower = createFollower(source);
  follower.start();
  await until(() => follower.configurationVersion === 1);
  await until(() => !follower.isWatching);
  return follower;
}

test('state transfer: a gateway that does not watch takes a newer configuration from the peer, without a call to the store', async t => {
  const ahead = createFollower(new CountingSource(2));
  await ahead.readConfiguration();
  const address = `${IP}:${await freePorts.freeStreamPort(IP)}`;
  createTransfer(t, ahead).listen(address);
  const source = new CountingSource(1);
  const follower = await startedFollower(source);
  const transfer = createTransfer(t, follower);
  const readsBefore = source.reads;
  transfer.fetchNewerState(digestOf(1, 2, address), performance.now());
  await until(() => follower.configurationVersion === 2);
  t.is(source.reads, readsBefore);
});

test('state transfer: a gateway whose peer does not answer reads the newer configuration from the store', async t => {
  const source = new CountingSource(1);
  const follower = await startedFollower(source);
  const transfer = createTransfer(t, follower);
  const refusing = `${IP}:${await freePorts.freeStreamPort(IP)}`;
  source.version = 2;
  transfer.fetchNewerState(digestOf(1, 2, refusing), performance.now());
  await until(() => follower.configurationVersion === 2);
  t.is(follower.configurationVersion, 2);
});

test('state transfer: a configuration relayed by a gateway that does not read allowed regions is read from the store as well, so that no restriction is lost', async t => {
  const ahead = createFollower(new CountingSource(2));
  const old = {version: 2, hasAllowedRegions: undefined};
  ahead.applyPeerState(
    {
      configurationRevision: 2,
      configuration: gatewayRecords.configurationOf(old),
      instancesPosition: 0,
      instances: [],
    },
    'gateway-2',
  );
  const address = `${IP}:${await freePorts.freeStreamPort(IP)}`;
  createTransfer(t, ahead).listen(address);
  const source = new CountingSource(1);
  const follower = await startedFollower(source);
  const transfer = createTransfer(t, follower);
  source.version = 2;
  transfer.fetchNewerState(digestOf(1, 2, address), performance.now());
  await until(
    () =>
      follower.configurationVersion === 2 &&
      follower.routes?.configuration.hasAllowedRegions === true,
  );
  t.is(follower.configurationVersion, 2);
});

/** A large configuration whose routes have the priority. */
function largeConfiguration(version: number, priority: number) {
  const routes = Array.from({length: 3_000}, (_, index) =>
    gatewayRecords.route(`/route-${index}/`, {
      priority: index === 7 ? priority : 0,
    }),
  );
  return gatewayRecords.configurationOf({version, routes});
}

function peerStateOf(version: number): peerDigest.PeerState {
  return {
    configurationRevision: version,
    configuration: largeConfiguration(version, version),
    instancesPosition: 0,
    instances: [],
  };
}

/** Serves state in parts, with pauses between them; returns its address. */
async function listenSlowly(
  t: ava.ExecutionContext,
  state: peerDigest.PeerState,
  parts: number,
  pauseMilliseconds: number,
): Promise<string> {
  const body = Buffer.from(JSON.stringify(state));
  const server = http.createServer(async (_, response) => {
    response.writeHead(200, {'Content-Length': body.length});
    for (let part = 0; part < parts; part++) {
      const start = Math.floor((part * body.length) / parts);
      const end = Math.floor(((part + 1) * body.length) / parts);
      response.write(body.subarray(start, end));
      await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
    }
    response.end();
  });
  await new Promise<void>(resolve => server.listen(0, IP, resolve));
  t.teardown(() => server.close());
  return `${IP}:${(server.address() as net.AddressInfo).port}`;
}

test('state transfer: a version that changes one of 3,000 routes takes less than 2 kB between peers', async t => {
  const ahead = createFollower(new CountingSource(1));
  ahead.applyPeerState(peerStateOf(2), 'gateway-2');
  const address = `${IP}:${await freePorts.freeStreamPort(IP)}`;
  createTransfer(t, ahead).listen(address);
  const relay = new tcpRelay.TcpRelay(Number(address.split(':')[1]));
  t.teardown(() => relay.dispose());
  const relayed = await relay.listen();
  const follower = await startedFollower(new CountingSource(1));
  const transfer = createTransfer(t, follower);
  transfer.fetchNewerState(digestOf(1, 2, relayed), performance.now());
  await until(() => follower.configurationVersion === 2);
  const bytesBefore = relay.bytesFromTarget;
  ahead.applyPeerState(peerStateOf(3), 'gateway-2');
  transfer.fetchNewerState(digestOf(1, 3, relayed), performance.now());
  await until(() => follower.configurationVersion === 3);
  const route = follower.routes?.findRoute('h.example', '/route-7/');
  t.is(route?.priority, 3);
  t.true(relay.bytesFromTarget - bytesBefore < 2_000);
});

test('state transfer: whole state that arrives without a long pause is taken however long it takes', async t => {
  const address = await listenSlowly(t, peerStateOf(2), 8, 250);
  const source = new CountingSource(1);
  const follower = await startedFollower(source);
  const transfer = createTransfer(t, follower);
  const readsBefore = source.reads;
  transfer.fetchNewerState(digestOf(1, 2, address), performance.now());
  await until(
    () => follower.configurationVersion === 2 || source.reads > readsBefore,
  );
  t.is(follower.configurationVersion, 2);
});

test('state transfer: a change of the current era is not applied to a configuration that a peer of an earlier era sent', async t => {
  const follower = createFollower(new CountingSource(1));
  follower.applyPeerState({...peerStateOf(1), storeEra: 1}, 'gateway-2');
  follower.era.observe(2, 'gateway-3');
  follower.applyPeerState({...peerStateOf(3), storeEra: 1}, 'gateway-2');
  t.is(follower.configurationVersion, 3);
  const ahead = createFollower(new CountingSource(1));
  const routes = [gatewayRecords.route('/restored/')];
  const restored = gatewayRecords.configurationOf({version: 3, routes});
  const state = {...peerStateOf(3), storeEra: 2, configuration: restored};
  ahead.applyPeerState(state, 'gateway-4');
  const later = {...restored, version: 4};
  ahead.applyPeerState({...state, configuration: later}, 'gateway-4');
  const known = follower.configuration.changeableVersion;
  follower.applyPeerState(ahead.peerState(known), 'gateway-3');
  t.is(follower.configurationVersion, 4);
  t.deepEqual(follower.routes?.configuration.routes, routes);
});

test('state transfer: a change of the current era is not applied to a configuration that a peer kept from an earlier era', async t => {
  const routes = [gatewayRecords.route('/restored/')];
  const restored = gatewayRecords.configurationOf({version: 3, routes});
  const keeping = createFollower(new CountingSource(1));
  keeping.applyPeerState({...peerStateOf(3), storeEra: 1}, 'gateway-2');
  keeping.era.observe(2, 'gateway-3');
  const follower = createFollower(new CountingSource(1));
  follower.applyPeerState(keeping.peerState(), 'gateway-1');
  t.is(follower.configurationVersion, 3);
  const ahead = createFollower(new CountingSource(1));
  const state = {...peerStateOf(3), storeEra: 2, configuration: restored};
  ahead.applyPeerState(state, 'gateway-4');
  const later = {...restored, version: 4};
  ahead.applyPeerState({...state, configuration: later}, 'gateway-4');
  const known = follower.configuration.changeableVersion;
  follower.applyPeerState(ahead.peerState(known), 'gateway-3');
  t.is(follower.configurationVersion, 4);
  t.deepEqual(follower.routes?.configuration.routes, routes);
});
