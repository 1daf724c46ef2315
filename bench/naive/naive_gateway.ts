/**
 * Baseline that the gateway's mechanisms are compared with: requests go to the
 * instance with the fewest open requests, without queues, retries, copies or
 * peer state. Not shipped; see bench/naive/system.toml.
 */
import * as http from 'node:http';
import * as jsonLog from '../../src/base/node/json_log';
import * as memoryAccount from '../../src/base/common/memory_account';
import * as blockPool from '../../src/base/node/block_pool';
import * as bodyStore from '../../src/base/node/body_store';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as memberTable from '../../src/gateway/common/fleet/member_table';
import * as routeIndex from '../../src/gateway/common/route_index';
import * as watcherElection from '../../src/gateway/common/fleet/watcher_election';
import * as gatewaySettings from '../../src/gateway/node/gateway_settings';
import * as stateFollower from '../../src/gateway/node/state_follower';
import * as platformAdapter from '../../src/platform/platform_adapter';

const MAX_BODY_BYTES = 100_000;
const ALL_BODIES_BYTES = 64_000_000;
/** Time after the stop signal during which the load balancer still routes callers here, in milliseconds. */
const STOP_MILLISECONDS = 7_500;

const settings = gatewaySettings
  .readGatewaySettings(platformAdapter.settingsPath())
  ._unsafeUnwrap();
const log = new jsonLog.JsonLog({gateway: settings.instance.name});
const {ip, name} = settings.instance;
const members = new memberTable.MemberTable({ip, name, isWide: true}, []);
const follower = new stateFollower.StateFollower(
  platformAdapter.createStateSource(settings.platform.store, () => undefined),
  new watcherElection.WatcherElection(members),
  log,
);
const client = platformAdapter.createInstanceClient(() => undefined);
const decoder = platformAdapter.createCallerDecoder();
const bodies = new bodyStore.BodyStore(
  new memoryAccount.MemoryAccount(bodyStore.boundsFor(ALL_BODIES_BYTES)),
  new blockPool.BlockPool(),
);
let isStopping = false;

function answer(response: http.ServerResponse, status: number): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(status, {'Content-Length': 0}).end();
}

function leastLoaded(endpoint: string): instanceTable.Instance | undefined {
  return [...follower.instances.forEndpoint(endpoint)]
    .filter(instance => instance.drainingAt === undefined)
    .sort((left, right) => left.openRequests - right.openRequests)[0];
}

async function handle(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const index = follower.routes;
  const caller = decoder.decode(request);
  const route = index?.findRoute(caller.host, caller.path);
  const body = await bodies.read(request, MAX_BODY_BYTES, '');
  if (index === undefined || body.isErr()) {
    return answer(response, index === undefined ? 503 : 400);
  }
  if (route === undefined) {
    return answer(response, 404);
  }
  const customer = index.findCustomer(caller.key ?? '');
  if (index.needsKeys && !route.isPublic && customer === undefined) {
    return answer(response, 401);
  }
  const endpoint = routeIndex.drawEndpoint(route, Math.random()) ?? '';
  const instance = leastLoaded(endpoint);
  if (instance === undefined) {
    return answer(response, 503);
  }
  const exchange = client.send(instance, {
    caller,
    body: body.value.chunks,
    remainingMilliseconds: Math.min(
      caller.waitMilliseconds ?? Infinity,
      route.timeoutMilliseconds,
    ),
    customer: customer?.name,
    urgency: route.isGeneration ? route.priority : undefined,
    lastEventId: caller.lastEventId,
    continuation: undefined,
    backupAddress: undefined,
    isSentAgain: false,
  });
  instance.openRequests++;
  response.once('close', () => exchange.cancel());
  void exchange.closed.then(() => body.value.release());
  await deliver(exchange, response);
  instance.openRequests--;
}

async function deliver(
  exchange: instanceClient.Exchange,
  response: http.ServerResponse,
): Promise<void> {
  const result = await exchange.response;
  if (result.isErr() || result.value.isNotExecuted) {
    const isNotRun = result.isOk() || instanceClient.wasNeverSent(result.error);
    return answer(response, isNotRun ? 503 : 502);
  }
  const {status, passedHeaders, body} = result.value;
  await new Promise<void>(resolve => {
    response.writeHead(status, [...passedHeaders]);
    body.listen({
      onData: chunk => void response.write(chunk),
      onDidEnd: () => {
        response.end();
        resolve();
      },
      onDidFail: () => {
        response.destroy();
        resolve();
      },
    });
  });
}

function listen(server: http.Server, address: string): void {
  const [ip, port] = address.split(':');
  server.listen(Number(port), ip, 1_024);
}

follower.start();
listen(
  http.createServer(
    {keepAliveTimeout: 120_000},
    (request, response) => void handle(request, response),
  ),
  settings.listen.callers,
);
listen(
  http.createServer((_, response) => {
    const isReady =
      !isStopping &&
      follower.routes !== undefined &&
      follower.instances.size > 0;
    response.writeHead(isReady ? 200 : 503).end();
  }),
  settings.listen.readiness,
);
process.once('SIGTERM', () => {
  isStopping = true;
  setTimeout(() => process.exit(0), STOP_MILLISECONDS);
});
