/** Measures CPU time, memory and store calls of whole processes. */
import * as localDeployment from '../../standins/local_deployment';
import * as loadGenerator from '../load_generator';
import * as processUsage from '../process_usage';
import * as fits from './fit';

const SECONDS = 6;
const IDLE_SECONDS = 8;

function pause(seconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, seconds * 1000));
}

interface TrafficCost {
  readonly count: number;
  readonly entryMicroseconds: number;
  readonly sideMicroseconds: number;
}

async function send(
  deployment: localDeployment.LocalDeployment,
  requestsPerSecond: number,
  tokensPerRequest: number,
): Promise<TrafficCost> {
  const entry = deployment.entries[0].url;
  const sides = deployment.engines.map(pair => pair.side.url);
  const used = async () => {
    const entrySeconds = await processUsage.readProcessorSeconds(entry);
    const sideSeconds = await Promise.all(
      sides.map(processUsage.readProcessorSeconds),
    );
    return {
      entrySeconds,
      sideSeconds: sideSeconds.reduce((sum, value) => sum + value, 0),
    };
  };
  const before = await used();
  const report = await loadGenerator.generateLoad({
    urls: [entry],
    token: localDeployment.CUSTOMER_TOKEN,
    requestsPerSecond,
    seconds: SECONDS,
    tokensPerRequest,
    promptTokens: 100,
    model: localDeployment.MODEL,
  });
  const after = await used();
  return {
    count: tokensPerRequest === 1 ? report.requests : report.tokens,
    entryMicroseconds: (after.entrySeconds - before.entrySeconds) * 1e6,
    sideMicroseconds: (after.sideSeconds - before.sideSeconds) * 1e6,
  };
}

async function trafficSlopes(
  deployment: localDeployment.LocalDeployment,
): Promise<fits.Slope[]> {
  await send(deployment, 40, 100);
  const slopes: fits.Slope[] = [];
  for (const [unitName, tokens, rates] of [
    ['token', 244, [15, 30, 45, 60]],
    ['request of one token', 1, [50, 100, 150, 200]],
  ] as const) {
    const costs: TrafficCost[] = [];
    for (const rate of rates) {
      costs.push(await send(deployment, rate, tokens));
    }
    const counts = costs.map(cost => cost.count);
    slopes.push(
      fits.fit(
        `entry time by ${unitName}`,
        'microseconds',
        counts,
        costs.map(cost => cost.entryMicroseconds),
      ),
      fits.fit(
        `side process time by ${unitName}`,
        'microseconds',
        counts,
        costs.map(cost => cost.sideMicroseconds),
      ),
    );
  }
  return slopes;
}

/** Measures the heap in use of an entry and a side process by the number of running streams. */
async function memorySlopes(
  deployment: localDeployment.LocalDeployment,
): Promise<fits.Slope[]> {
  const sizes = [100, 200, 300, 400];
  const entry: number[] = [];
  const side: number[] = [];
  for (const size of sizes) {
    const pending = loadGenerator.generateLoad({
      urls: [deployment.entries[0].url],
      token: localDeployment.CUSTOMER_TOKEN,
      requestsPerSecond: size,
      seconds: 1,
      tokensPerRequest: 300,
      promptTokens: 100,
      model: localDeployment.MODEL,
    });
    await pause(3);
    entry.push(
      await processUsage.readMetric(
        deployment.entries[0].url,
        'nodejs_heap_size_used_bytes',
      ),
    );
    side.push(
      await processUsage.readMetric(
        deployment.engines[0].side.url,
        'nodejs_heap_size_used_bytes',
      ),
    );
    await pending;
  }
  const perSide = sizes.map(size => size / deployment.engines.length);
  return [
    fits.fit('entry heap by running stream', 'bytes', sizes, entry),
    fits.fit(
      'side process heap by running stream of 150 tokens so far',
      'bytes',
      perSide,
      side,
    ),
  ];
}

interface IdleCost {
  readonly storeCalls: number;
  readonly gossipBytes: number;
  readonly entryMicroseconds: number;
  readonly residentBytes: number;
}

/** Measures a deployment with the given number of entries and no load; rates are per second. */
async function measureIdle(entries: number): Promise<IdleCost> {
  const deployment = new localDeployment.LocalDeployment({
    entries,
    engines: 1,
    services: 0,
  });
  await deployment.start();
  try {
    await pause(2);
    const {url} = deployment.entries[0];
    const calls = async () => {
      const answer = await localDeployment.callJson(
        'GET',
        `${deployment.platform.url}/admin/calls`,
      );
      return Object.values(answer.body as Record<string, number>).reduce(
        (sum, count) => sum + count,
        0,
      );
    };
    const read = async () => ({
      calls: await calls(),
      gossip: await processUsage.readMetric(
        url,
        'rhubarbvane_control_bytes_total',
        'gossip',
      ),
      seconds: await processUsage.readProcessorSeconds(url),
    });
    const before = await read();
    await pause(IDLE_SECONDS);
    const after = await read();
    return {
      storeCalls: (after.calls - before.calls) / IDLE_SECONDS,
      gossipBytes: (after.gossip - before.gossip) / IDLE_SECONDS,
      entryMicroseconds:
        ((after.seconds - before.seconds) * 1e6) / IDLE_SECONDS,
      residentBytes: await processUsage.readMetric(
        url,
        'process_resident_memory_bytes',
      ),
    };
  } finally {
    await deployment.stop();
  }
}

async function idleSlopes(): Promise<fits.Slope[]> {
  const sizes = [1, 2, 4, 8];
  const costs: IdleCost[] = [];
  for (const size of sizes) {
    costs.push(await measureIdle(size));
  }
  return [
    fits.fit(
      'store calls a second by entry, no load',
      'calls a second',
      sizes,
      costs.map(cost => cost.storeCalls),
    ),
    fits.fit(
      'gossip bytes a second of one entry by entry in the deployment',
      'bytes a second',
      sizes,
      costs.map(cost => cost.gossipBytes),
    ),
    fits.fit(
      'time a second of one idle entry by entry in the deployment',
      'microseconds a second',
      sizes,
      costs.map(cost => cost.entryMicroseconds),
    ),
    fits.fit(
      'resident memory of one idle entry by entry in the deployment',
      'bytes',
      sizes,
      costs.map(cost => cost.residentBytes),
    ),
  ];
}

/** Measures the slopes of whole processes. */
export async function measure(): Promise<fits.Slope[]> {
  const deployment = new localDeployment.LocalDeployment({
    entries: 1,
    engines: 4,
    services: 0,
    engineArguments: ['--capacity-tokens', '400000'],
    sideSettings: ['[admission]', 'max_running = 512'].join('\n'),
  });
  await deployment.start();
  const slopes: fits.Slope[] = [];
  try {
    slopes.push(...(await trafficSlopes(deployment)));
    slopes.push(...(await memorySlopes(deployment)));
  } finally {
    await deployment.stop();
  }
  slopes.push(...(await idleSlopes()));
  return slopes;
}
