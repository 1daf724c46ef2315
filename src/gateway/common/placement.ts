/** Chooses the instance that a request is sent to. */
import * as instanceTable from './instance_table';
import * as runTable from './run_table';

/** What placement knows of a request. */
export interface PlacementRequest {
  /** Data centre of this gateway. */
  readonly dataCentre: string;
  /** Instances that this request must not go to again. */
  readonly excluded: ReadonlySet<string>;
  /** Between 0 and 1; breaks ties so that gateways with the same view choose differently. */
  readonly draw: () => number;
}

/** A generation to be placed. */
export interface GenerationRequest extends PlacementRequest {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  /** Memory of one instance, in tokens. */
  readonly capacityTokens: number;
  /** Cost of an instance in another data centre, in milliseconds. */
  readonly remoteCostMilliseconds: number;
  /** Gateways that place by the same reports. */
  readonly gatewayCount: number;
  /** Whether a copy is placed, which only helps at an instance that surely lives. */
  readonly isCopy: boolean;
}

/** Where a generation may go. */
export interface GenerationChoice {
  readonly instance: instanceTable.Instance;
  /** Memory expected at the end of all runs with this one, over the capacity. */
  readonly memoryShare: number;
}

/** Failure rate above which an instance counts as failing; healthy services fail fewer requests by themselves. */
const FAILING_RATE = 0.5;
/** How far a failing instance is above the median of its peers, since errors of requests themselves are spread evenly. */
const FAILING_EXCESS = 0.25;
/** Largest share of an endpoint's instances that is avoided for failures. */
const MAX_AVOIDED_SHARE = 0.34;
/** Time after its last failure for which a failing instance is avoided, in milliseconds. */
const AVOID_MILLISECONDS = 2_000;
/** Cost of a request that goes to another data centre, in open requests. */
const REMOTE_COST = 0.6;
/** Milliseconds that an engine takes to read one prompt token between the tokens of other runs. */
const PREFILL_MILLISECONDS_PER_TOKEN = 0.14;
/** Cost of filling an engine's memory completely, in milliseconds. */
const MEMORY_COST_MILLISECONDS = 600;
/** Share of the memory beyond which preemption threatens. */
const PREEMPTION_RISK_SHARE = 0.9;
const PREEMPTION_RISK_COST_MILLISECONDS = 5_000;
/** Time for which a run that waits at an engine keeps a new one waiting, in milliseconds. */
const QUEUED_COST_MILLISECONDS = 400;
/** Range of the random part of the cost, in milliseconds. */
const TIE_BREAK_MILLISECONDS = 20;
/** Cost of a full failure rate, in milliseconds. */
const FAILURE_COST_MILLISECONDS = 2_000;
/** Time after registration in which a starting engine is slow, in milliseconds. */
const WARM_UP_COST_MILLISECONDS = 300;

/** Gateways up to which each looks at all instances; their digests are frequent enough. */
const MAX_GATEWAYS_WITHOUT_SAMPLING = 6;
/** Instances that each of many gateways looks at. */
const SAMPLE_SIZE = 3;

/** Instances that may take new work, without those that fail far more than their peers. */
export function candidates(
  instances: readonly instanceTable.Instance[],
  excluded: ReadonlySet<string>,
  now: number,
): instanceTable.Instance[] {
  const ready = instances.filter(
    row => row.drainingAt === undefined && !excluded.has(row.record.id),
  );
  const rates = ready
    .map(row => row.failureRate)
    .sort((left, right) => left - right);
  const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
  const failing = ready
    .filter(row => isFailing(row, median, now))
    .sort((left, right) => right.failureRate - left.failureRate)
    .slice(0, Math.floor(instances.length * MAX_AVOIDED_SHARE));
  const healthy = ready.filter(row => !failing.includes(row));
  return healthy.length > 0 ? healthy : ready;
}

function isFailing(
  row: instanceTable.Instance,
  median: number,
  now: number,
): boolean {
  return (
    row.failureRate > FAILING_RATE &&
    row.failureRate > median + FAILING_EXCESS &&
    now - row.lastFailureAt < AVOID_MILLISECONDS
  );
}

/** Answers short calls at a rate far below capacity: the least open requests, near ones first. */
export function placeCall(
  instances: readonly instanceTable.Instance[],
  request: PlacementRequest,
  now: number,
): instanceTable.Instance | undefined {
  const cost = (row: instanceTable.Instance) =>
    row.openRequests +
    (row.record.dataCentre === request.dataCentre ? 0 : REMOTE_COST) +
    row.failureRate * 4 +
    request.draw() * 0.1;
  return cheapest(candidates(instances, request.excluded, now), cost);
}

/**
 * Answers long generations on engines whose memory binds before their slots:
 * spreads expected memory and prompts still to be read.
 */
export function placeGeneration(
  instances: readonly instanceTable.Instance[],
  loads: ReadonlyMap<string, runTable.InstanceLoad>,
  request: GenerationRequest,
  now: number,
): GenerationChoice | undefined {
  const size = request.promptTokens + request.expectedTokens;
  const shareOf = (row: instanceTable.Instance) =>
    ((loads.get(row.record.id)?.memoryTokens ?? 0) + size) /
    request.capacityTokens;
  const cost = (row: instanceTable.Instance) => {
    const share = shareOf(row);
    const load = loads.get(row.record.id);
    const prefillTokens = load?.prefillTokens ?? 0;
    const queuedRuns = load?.queuedRuns ?? 0;
    const isWarm = now - row.firstSeenAt > row.record.warmUpMilliseconds;
    return (
      share * MEMORY_COST_MILLISECONDS +
      Math.max(0, share - PREEMPTION_RISK_SHARE) *
        PREEMPTION_RISK_COST_MILLISECONDS +
      prefillTokens * PREFILL_MILLISECONDS_PER_TOKEN +
      queuedRuns * QUEUED_COST_MILLISECONDS +
      row.failureRate * FAILURE_COST_MILLISECONDS +
      (isWarm ? 0 : WARM_UP_COST_MILLISECONDS) +
      (row.record.dataCentre === request.dataCentre
        ? 0
        : request.remoteCostMilliseconds) +
      request.draw() * TIE_BREAK_MILLISECONDS
    );
  };
  const possible = candidates(instances, request.excluded, now).filter(
    row => !request.isCopy || !instanceTable.isSuspect(row),
  );
  const instance = cheapest(sample(possible, request), cost);
  return instance && {instance, memoryShare: shareOf(instance)};
}

/**
 * Many gateways with the same late reports would all choose the least loaded
 * instance, so each chooses among a few drawn at random.
 */
function sample(
  rows: readonly instanceTable.Instance[],
  request: GenerationRequest,
): readonly instanceTable.Instance[] {
  if (
    request.gatewayCount <= MAX_GATEWAYS_WITHOUT_SAMPLING ||
    rows.length <= SAMPLE_SIZE
  ) {
    return rows;
  }
  const rest = [...rows];
  return Array.from({length: SAMPLE_SIZE}, () => {
    const index = Math.min(
      rest.length - 1,
      Math.floor(request.draw() * rest.length),
    );
    return rest.splice(index, 1)[0];
  });
}

function cheapest(
  rows: readonly instanceTable.Instance[],
  cost: (row: instanceTable.Instance) => number,
): instanceTable.Instance | undefined {
  let best: instanceTable.Instance | undefined;
  let bestCost = Infinity;
  for (const row of rows) {
    const rowCost = cost(row);
    if (rowCost < bestCost) {
      best = row;
      bestCost = rowCost;
    }
  }
  return best;
}
