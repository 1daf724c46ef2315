/** Requests of the two specified deployments, with lengths that only the oracle policy knows. */
import * as pureRand from 'pure-rand';
import * as generationRequest from '../../src/protocol/common/generation_request';

/** Names of workloads. */
export enum WorkloadName {
  Cooperative = 'cooperative',
  Association = 'association',
}

/** One request of a workload. */
export interface WorkloadRequest {
  /** Milliseconds from the start. */
  readonly at: number;
  readonly customer: string;
  readonly route: string;
  readonly requestClass: generationRequest.RequestClass;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maxTokens: number;
}

interface WorkloadParameters {
  readonly replicas: number;
  /** Weight of each customer in the traffic. */
  readonly customerWeights: readonly number[];
  readonly draftShare: number;
  readonly templates: number;
  readonly templateTokens: number;
  readonly draftMedianTokens: number;
  /** Standard deviation of the logarithm of draft lengths. */
  readonly draftSpread: number;
  readonly draftLimitTokens: number;
  readonly quickMedianTokens: number;
}

/** Parameters of the workloads. */
export const WORKLOADS: Readonly<Record<WorkloadName, WorkloadParameters>> = {
  [WorkloadName.Cooperative]: {
    replicas: 6,
    customerWeights: [30, 20, 15, 5, 5, 5, 5, 5, 5, 5],
    draftShare: 0.25,
    templates: 1,
    templateTokens: 1_024,
    draftMedianTokens: 900,
    draftSpread: 1.1,
    draftLimitTokens: 32_768,
    quickMedianTokens: 12,
  },
  [WorkloadName.Association]: {
    replicas: 8,
    customerWeights: [25, 25, 10, 10, 5, 5, 5, 5, 5, 5],
    draftShare: 0.4,
    templates: 8,
    templateTokens: 2_048,
    draftMedianTokens: 2_200,
    draftSpread: 0.9,
    draftLimitTokens: 32_768,
    quickMedianTokens: 24,
  },
};

const QUICK_SPREAD = 0.6;
const QUICK_LIMIT_TOKENS = 256;
const OWN_PROMPT_TOKENS = 300;
const CHARACTERS_PER_TOKEN = 4;
const BURST_PERIOD_MILLISECONDS = 60_000;
const BURST_LENGTH_MILLISECONDS = 10_000;
const BURST_FACTOR = 2;

/** Random numbers that can be reproduced from a seed. */
export class Random {
  private readonly generator: pureRand.RandomGenerator;

  constructor(seed: number) {
    this.generator = pureRand.xoroshiro128plus(seed);
  }

  uniform(): number {
    return (
      (pureRand.unsafeUniformIntDistribution(0, 0x7ffffffe, this.generator) +
        1) /
      0x80000000
    );
  }

  exponential(mean: number): number {
    return -mean * Math.log(this.uniform());
  }

  logNormal(median: number, spread: number): number {
    const angle = 2 * Math.PI * this.uniform();
    const normal = Math.sqrt(-2 * Math.log(this.uniform())) * Math.cos(angle);
    return median * Math.exp(spread * normal);
  }

  weighted(weights: readonly number[]): number {
    let remaining =
      this.uniform() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex(weight => (remaining -= weight) < 0);
    return index < 0 ? weights.length - 1 : index;
  }
}

/** Options of a workload. */
export interface WorkloadOptions {
  readonly name: WorkloadName;
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** Second from which the first customer's drafts are five times as long; 0 for never. */
  readonly changeAtSecond: number;
  /** Output tokens per second to request; arrival times are scaled to meet it, since heavy tails make seeds differ. 0 for no scaling. */
  readonly offeredTokensPerSecond: number;
}

/** Generates the requests in order of time. */
export function makeWorkload(options: WorkloadOptions): WorkloadRequest[] {
  const random = new Random(options.seed);
  const parameters = WORKLOADS[options.name];
  const requests: WorkloadRequest[] = [];
  const meanGap = 1000 / options.requestsPerSecond;
  // Bursts raise the rate, so the rate between them is lowered to keep the mean.
  const burstShare = BURST_LENGTH_MILLISECONDS / BURST_PERIOD_MILLISECONDS;
  const baseRateFactor = 1 / (1 + (BURST_FACTOR - 1) * burstShare);
  let at = 0;
  while (at < options.seconds * 1000) {
    const isBurst = at % BURST_PERIOD_MILLISECONDS < BURST_LENGTH_MILLISECONDS;
    at += random.exponential(
      meanGap / (baseRateFactor * (isBurst ? BURST_FACTOR : 1)),
    );
    const hasChanged =
      options.changeAtSecond > 0 && at > options.changeAtSecond * 1000;
    requests.push(
      makeRequest(random, parameters, at, hasChanged, requests.length),
    );
  }
  return scaleToOfferedLoad(requests, options);
}

function scaleToOfferedLoad(
  requests: WorkloadRequest[],
  options: WorkloadOptions,
): WorkloadRequest[] {
  if (options.offeredTokensPerSecond === 0) {
    return requests;
  }
  const tokens = requests.reduce(
    (sum, request) => sum + request.outputTokens,
    0,
  );
  const offered = tokens / options.seconds;
  const factor = offered / options.offeredTokensPerSecond;
  return requests.map(request => ({...request, at: request.at * factor}));
}

function makeRequest(
  random: Random,
  parameters: WorkloadParameters,
  at: number,
  hasChanged: boolean,
  sequence: number,
): WorkloadRequest {
  const customer = random.weighted(parameters.customerWeights);
  const isDraft = random.uniform() < parameters.draftShare;
  const ownTokens = Math.round(OWN_PROMPT_TOKENS * (0.5 + random.uniform()));
  const ownPrompt = `${sequence} `.padEnd(
    ownTokens * CHARACTERS_PER_TOKEN,
    'x',
  );
  const template = Math.floor(random.uniform() * parameters.templates);
  const templatePrompt = `template ${template} `.padEnd(
    parameters.templateTokens * CHARACTERS_PER_TOKEN,
    't',
  );
  const prompt = isDraft ? templatePrompt + ownPrompt : ownPrompt;
  // Each customer has its own typical length.
  const lengthFactor = 0.5 + customer / parameters.customerWeights.length;
  const changeFactor = hasChanged && customer === 0 ? 5 : 1;
  const drawnTokens = isDraft
    ? random.logNormal(
        parameters.draftMedianTokens * lengthFactor * changeFactor,
        parameters.draftSpread,
      )
    : random.logNormal(parameters.quickMedianTokens, QUICK_SPREAD);
  const maxTokens = isDraft ? parameters.draftLimitTokens : QUICK_LIMIT_TOKENS;
  return {
    at,
    customer: `customer-${customer}`,
    route: isDraft ? 'drafts' : 'quick',
    requestClass: isDraft
      ? generationRequest.RequestClass.Draft
      : generationRequest.RequestClass.Quick,
    prompt,
    promptTokens: generationRequest.estimateTokens(prompt),
    outputTokens: Math.max(1, Math.min(maxTokens, Math.round(drawnTokens))),
    maxTokens,
  };
}
