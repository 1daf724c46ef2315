/** Compares token streams through an entry and side processes with engines called directly. */
import * as localDeployment from '../standins/local_deployment';
import * as benchArguments from './arguments';
import * as crowdedPath from './crowded_path';
import * as loadGenerator from './load_generator';
import * as processUsage from './process_usage';

/** Share of the target load that one node serves. */
const REQUESTS_PER_SECOND = 82;
const TOKENS_PER_REQUEST = 244;
const PROMPT_TOKENS = 100;
const WARM_UP_SECONDS = 5;

interface PathResult extends loadGenerator.LoadReport {
  readonly path: string;
  readonly requestsPerSecond: number;
  /** CPU time of the entry divided by elapsed time; 1 is one core. */
  readonly entryCores: number;
  readonly entryMicrosecondsPerToken: number;
  readonly sideMicrosecondsPerToken: number;
}

async function measure(
  deployment: localDeployment.LocalDeployment,
  isDirect: boolean,
  requestsPerSecond: number,
  seconds: number,
): Promise<PathResult> {
  const entry = deployment.entries[0].url;
  const sides = deployment.engines.map(pair => pair.side.url);
  const usedBySides = async () =>
    (await Promise.all(sides.map(processUsage.readProcessorSeconds))).reduce(
      (sum, value) => sum + value,
      0,
    );
  const entryBefore = await processUsage.readProcessorSeconds(entry);
  const sidesBefore = await usedBySides();
  const startedAt = performance.now();
  const report = await loadGenerator.generateLoad({
    urls: isDirect
      ? deployment.engines.map(pair => pair.endpoint.url)
      : [entry],
    token: isDirect ? '' : localDeployment.CUSTOMER_TOKEN,
    requestsPerSecond,
    seconds,
    tokensPerRequest: TOKENS_PER_REQUEST,
    promptTokens: PROMPT_TOKENS,
    model: localDeployment.MODEL,
  });
  const elapsedSeconds = (performance.now() - startedAt) / 1000;
  const entryUsed =
    (await processUsage.readProcessorSeconds(entry)) - entryBefore;
  const sidesUsed = (await usedBySides()) - sidesBefore;
  return {
    path: isDirect ? 'direct' : 'through rhubarbvane',
    requestsPerSecond,
    ...report,
    entryCores: entryUsed / elapsedSeconds,
    entryMicrosecondsPerToken: (entryUsed * 1e6) / report.tokens,
    sideMicrosecondsPerToken: (sidesUsed * 1e6) / report.tokens,
  };
}

function print(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/** Prints a JSON line for each measurement and one for the comparison. */
export async function run(args: readonly string[]): Promise<void> {
  if (args.includes('--crowded')) {
    return crowdedPath.run(args);
  }
  const seconds = benchArguments.numberArgument(args, 'seconds', 20);
  const rate = benchArguments.numberArgument(args, 'rate', REQUESTS_PER_SECOND);
  const engines = benchArguments.numberArgument(args, 'engines', 5);
  const steps = benchArguments.argument(args, 'ceiling', '1.25,1.5,1.75,2');
  const deployment = new localDeployment.LocalDeployment({
    entries: 1,
    engines,
    services: 0,
    engineArguments: ['--capacity-tokens', '400000'],
    sideSettings: ['[admission]', 'max_running = 512'].join('\n'),
  });
  await deployment.start();
  try {
    await measure(deployment, false, rate, WARM_UP_SECONDS);
    const direct = await measure(deployment, true, rate, seconds);
    print(direct);
    const through = await measure(deployment, false, rate, seconds);
    print(through);
    print({
      comparison: 'through over direct',
      betweenTokensP99AddedMilliseconds:
        through.betweenTokensP99 - direct.betweenTokensP99,
      betweenTokensP99Ratio: through.betweenTokensP99 / direct.betweenTokensP99,
      firstTokenP95AddedMilliseconds:
        through.firstTokenP95 - direct.firstTokenP95,
      ceilingTokensPerSecondByProcessor: Math.round(
        1e6 / through.entryMicrosecondsPerToken,
      ),
    });
    for (const step of steps.split(',').filter(text => text !== '')) {
      const factor = Number(step);
      const baseline = await measure(deployment, true, rate * factor, seconds);
      print({step: factor, ...baseline});
      print({
        step: factor,
        ...(await measure(deployment, false, rate * factor, seconds)),
      });
    }
  } finally {
    await deployment.stop();
  }
}
