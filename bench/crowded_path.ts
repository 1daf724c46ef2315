/** Measures stall time, preemptions and tail latency near the engines' capacity, over real sockets: engines called directly in round robin, and through the product. */
import * as http from 'node:http';
import * as httpClient from '../src/base/node/http_client';
import * as localDeployment from '../standins/local_deployment';
import * as benchArguments from './arguments';
import * as meters from './policy/meter';
import * as workloads from './policy/workload';

const ENGINES = 3;
/** Engines run faster than real time, so that several minutes of work take one. */
const SPEED = 4;
const CAPACITY_TOKENS = 48_000;
const DEFAULT_LOAD = 0.95;
/** Output tokens per second of one engine of this capacity in the calibration of the policy benchmark. */
const ENGINE_TOKENS_PER_SECOND = 1_050;
const DEFAULT_SECONDS = 60;
const REQUESTS_PER_SECOND = 9;

interface CrowdedResult extends meters.PolicyResult {
  readonly path: string;
}

async function countPreemptions(
  deployment: localDeployment.LocalDeployment,
): Promise<number> {
  const records = await Promise.all(
    deployment.engines.map(pair =>
      localDeployment.callJson('GET', `${pair.endpoint.url}/runs`),
    ),
  );
  return records.reduce(
    (sum, record) => sum + Number(record.body.preemptions),
    0,
  );
}

async function send(
  url: string,
  isDirect: boolean,
  request: workloads.WorkloadRequest,
  agent: http.Agent,
  meter: meters.PolicyMeter,
  startedAt: number,
): Promise<void> {
  const now = () => (performance.now() - startedAt) * SPEED;
  const requestMeter = new meters.RequestMeter(
    request.customer,
    request.requestClass,
    now(),
    request.outputTokens,
  );
  meter.recordRequest(requestMeter);
  const response = await httpClient.openHttp({
    method: 'POST',
    url: `${url}/v1/completions`,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${localDeployment.CUSTOMER_TOKEN}`,
    },
    body: JSON.stringify({
      model: localDeployment.MODEL,
      prompt: `${request.prompt} [length=${request.outputTokens}]`,
      max_tokens: request.maxTokens,
      priority: isDirect ? 0 : request.requestClass,
      stream: true,
    }),
    timeoutMilliseconds: 600_000,
    agent,
  });
  if (response.statusCode !== 200) {
    response.resume();
    meter.refused++;
    return;
  }
  let tokens = 0;
  response.setEncoding('utf8');
  for await (const chunk of response) {
    const count = (chunk as string).split('"finish_reason":null').length - 1;
    for (let index = 0; index < count; index++) {
      meter.recordToken(requestMeter, now());
    }
    tokens += count;
  }
  if (tokens === request.outputTokens) {
    meter.recordCompletion(requestMeter, now());
  }
}

async function measure(
  deployment: localDeployment.LocalDeployment,
  isDirect: boolean,
  requests: readonly workloads.WorkloadRequest[],
): Promise<CrowdedResult> {
  const urls = isDirect
    ? deployment.engines.map(pair => pair.endpoint.url)
    : deployment.entries.map(entry => entry.url);
  const agent = new http.Agent({keepAlive: true, maxSockets: Infinity});
  const before = await countPreemptions(deployment);
  const meter = new meters.PolicyMeter(0, requests[requests.length - 1].at);
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  for (const [sequence, request] of requests.entries()) {
    const wait = request.at / SPEED - (performance.now() - startedAt);
    if (wait > 0) {
      await new Promise(resolve => setTimeout(resolve, wait));
    }
    const url = urls[sequence % urls.length];
    pending.push(
      send(url, isDirect, request, agent, meter, startedAt).catch(
        () => undefined,
      ),
    );
  }
  await Promise.all(pending);
  agent.destroy();
  const path = isDirect ? 'direct, in turn' : 'through rhubarbvane';
  return {
    path,
    ...meter.result((await countPreemptions(deployment)) - before, 0),
  };
}

/** Prints a JSON line for each path. Times are in seconds and milliseconds of engine time, which passes SPEED times as fast as real time. */
export async function run(args: readonly string[]): Promise<void> {
  const load = benchArguments.numberArgument(args, 'load', DEFAULT_LOAD);
  const seconds =
    benchArguments.numberArgument(args, 'seconds', DEFAULT_SECONDS) * SPEED;
  const seed = benchArguments.numberArgument(args, 'seed', 1);
  const requests = workloads.makeWorkload({
    name: workloads.WorkloadName.Cooperative,
    seed,
    requestsPerSecond: REQUESTS_PER_SECOND,
    seconds,
    changeAtSecond: 0,
    offeredTokensPerSecond: load * ENGINES * ENGINE_TOKENS_PER_SECOND,
  });
  for (const isDirect of [true, false]) {
    const deployment = new localDeployment.LocalDeployment({
      entries: 2,
      engines: ENGINES,
      services: 0,
      engineArguments: [
        '--capacity-tokens',
        String(CAPACITY_TOKENS),
        '--speed',
        String(SPEED),
      ],
    });
    await deployment.start();
    try {
      const result = await measure(deployment, isDirect, requests);
      process.stdout.write(`${JSON.stringify(result)}\n`);
    } finally {
      await deployment.stop();
    }
  }
}
