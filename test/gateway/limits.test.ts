/** Instances that name a limit on the requests that they take from all gateways together. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as gatewayFleet from '../support/gateway_fleet';
import * as limitedReplica from '../support/limited_replica';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {GatewayFleet} = gatewayFleet;
const GATEWAYS = 3;
/** Requests of callers a second, at all gateways together. */
const LOAD_PER_SECOND = 60;
const LOAD_MILLISECONDS = 7_000;

interface LimitCase {
  readonly title: string;
  readonly requestsPerSecond: number;
  /** Whether the service has another instance, which names no limit. */
  readonly hasSoundInstance: boolean;
  /** Number of gateways at which callers arrive. */
  readonly loadedGateways: number;
}

const CASES: readonly LimitCase[] = [
  {
    title: 'beside a sound instance',
    requestsPerSecond: 2,
    hasSoundInstance: true,
    loadedGateways: GATEWAYS,
  },
  {
    title: 'as the only instance',
    requestsPerSecond: 3.5,
    hasSoundInstance: false,
    loadedGateways: GATEWAYS,
  },
  {
    title: 'with all load at one gateway',
    requestsPerSecond: 20,
    hasSoundInstance: false,
    loadedGateways: 1,
  },
];

/** Sends requests at a steady rate to the gateways in turn; returns their statuses. */
async function sendLoad(
  fleet: gatewayFleet.GatewayFleet,
  loadedGateways: number,
): Promise<number[]> {
  const answers: Promise<number>[] = [];
  const startedAt = performance.now();
  const total = (LOAD_PER_SECOND * LOAD_MILLISECONDS) / 1000;
  while (answers.length < total) {
    const elapsed = performance.now() - startedAt;
    const due = Math.floor((elapsed * LOAD_PER_SECOND) / 1000);
    while (answers.length < Math.min(due, total)) {
      const gateway = fleet.gateways[answers.length % loadedGateways];
      answers.push(fleet.requestStatus(gateway, testGateway.KEY));
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  return Promise.all(answers);
}

for (const each of CASES) {
  test(`limits: an instance that names a limit gets no more requests than it takes, ${each.title}`, async t => {
    const limited = new limitedReplica.LimitedReplica('i-1');
    limited.limit = String(each.requestsPerSecond);
    const fleet = await GatewayFleet.start(t, GATEWAYS);
    t.teardown(() => limited.close());
    fleet.register('i-1', 'ready', 'ledger', await limited.listen());
    if (each.hasSoundInstance) {
      const sound = new replicaStandin.ReplicaStandin(
        'i-2',
        replicaStandin.succeed('record'),
      );
      t.teardown(() => sound.close());
      fleet.register('i-2', 'ready', 'ledger', await sound.listen());
      await fleet.untilRegistered('i-2');
    }
    await fleet.until(() =>
      fleet.gateways.every(
        gateway =>
          gateway.process.state.instances.get('i-1')?.record.address !==
          '127.0.0.1:9',
      ),
    );
    const statuses = await sendLoad(fleet, each.loadedGateways);
    const most = limited.mostArrivals();
    t.log(`${most} requests in 4 s of ${limited.arrivals.length}`);
    t.true(most <= limitedReplica.allowed(each.requestsPerSecond));
    t.true(statuses.every(status => status === 200 || status === 503));
    t.is(
      each.hasSoundInstance && statuses.some(status => status !== 200),
      false,
    );
  });
}
