/** Repeats of a fleet of gateways, counted where they arrive. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as retryArrivals from '../../standins/retry_arrivals';
import * as gatewayFleet from '../support/gateway_fleet';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const GATEWAYS = 3;
const RESTARTS = 3;
const REQUESTS_PER_LIFE = 60;
/** Budget of the gateways of the fleet. */
const POLICY = {windowMilliseconds: 10_000, ratio: 0.2, allowance: 50};

let requestCount = 0;

/** Starts replicas that reject everything, and counts what arrives there. */
async function addRejectingReplicas(
  t: ava.ExecutionContext,
  fleet: gatewayFleet.GatewayFleet,
  arrivals: retryArrivals.RetryArrivals,
): Promise<void> {
  for (let index = 2; index <= 6; index++) {
    const id = `i-${index}`;
    const replica = new replicaStandin.ReplicaStandin(
      id,
      (request, response) => {
        const attempt = request.headers['x-rhubarbvane-attempt-id'];
        arrivals.recordArrival(String(attempt), performance.now());
        replicaStandin.shed(request, response);
      },
    );
    t.teardown(() => replica.close());
    const address = await replica.listen();
    fleet.register(id, 'ready', 'ledger', address);
    await fleet.untilRegistered(id);
  }
}

async function sendRequests(
  fleet: gatewayFleet.GatewayFleet,
  arrivals: retryArrivals.RetryArrivals,
): Promise<void> {
  const answers = Array.from({length: REQUESTS_PER_LIFE}, (_, index) => {
    arrivals.recordRequest(performance.now());
    const attempt = String(++requestCount).padStart(16, '0');
    return fleet.requestStatus(
      fleet.gateways[index % GATEWAYS],
      testGateway.KEY,
      '/read/a',
      {'X-Rhubarbvane-Attempt-Id': attempt},
    );
  });
  await Promise.all(answers);
}

test('retry budget: gateways that all restart several times within a window do not exceed it', async t => {
  const fleet = await gatewayFleet.GatewayFleet.start(t, GATEWAYS);
  const arrivals = new retryArrivals.RetryArrivals(POLICY);
  await addRejectingReplicas(t, fleet, arrivals);
  await sendRequests(fleet, arrivals);
  for (let restart = 0; restart < RESTARTS; restart++) {
    await fleet.restartAll();
    await sendRequests(fleet, arrivals);
  }
  const {repeats, allowed} = arrivals.worstWindow();
  t.true(repeats > 0);
  t.true(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});
