/** Chooses the instance to which a request is sent. */
import * as instanceTable from './instance_table';
import * as runTable from './run_table';
import * as callOutlook from './speeds/call_outlook';
import * as engineOutlook from './speeds/engine_outlook';

/** Properties of a request that placement considers. */
export interface PlacementRequest {
  /** Data centre of this gateway. */
  readonly dataCentre: string;
  /** Ids of instances to which this request must not be sent again. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the instance may get this request; see `InstanceAvailability`. */
  readonly isAvailable: (instance: instanceTable.Instance) => boolean;
  /** Returns a random number between 0 and 1; breaks ties, so that gateways with the same view choose differently. */
  readonly draw: () => number;
}

/** A call of a plain service to be placed. */
export interface CallRequest extends PlacementRequest {
  /** What the measured speeds of the instances lead to; undefined unless they differ. */
  readonly callOutlook?: callOutlook.CallOutlook;
}

/** A generation to be placed. */
export interface GenerationRequest extends PlacementRequest {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  /** Memory capacity of one instance, in tokens. */
  readonly capacityTokens: number;
  /** Cost of an instance in another data centre, in milliseconds. */
  readonly remoteCostMilliseconds: number;
  /** Number of gateways that use the same reports. */
  readonly gatewayCount: number;
  /** Version of the instance's software; undefined if any will do, as long as the stream has no event. */
  readonly softwareVersion: string | undefined;
  /** Whether a copy is placed, which is only useful at an instance that is known to respond. */
  readonly isCopy: boolean;
  /** What the measured speeds of the instances lead to; undefined unless they differ. */
  readonly outlook?: engineOutlook.EngineOutlook;
}

/** Instance chosen for a generation. */
export interface GenerationChoice {
  readonly instance: instanceTable.Instance;
  /** Memory that all runs including this one are expected to need at their ends, as a share of the capacity. */
  readonly memoryShare: number;
  /** Measured speed of the instance; undefined if it is not known or does not differ from others. */
  readonly speed?: number;
  /** Expected longest pause while a prompt is read there, in milliseconds; undefined as `speed`. */
  readonly forecastPauseMilliseconds?: number;
}

/** Failure rate above which an instance is considered failing; healthy services stay below it. */
const FAILING_RATE = 0.5;
/** Minimum distance of a failing instance from the median failure rate, since errors caused by requests affect all instances alike. */
const FAILING_EXCESS = 0.25;
/** Maximum share of an endpoint's instances that is avoided because of failures. */
const MAX_AVOIDED_SHARE = 0.34;
/** Time for which a failing instance is avoided after its last failure, in milliseconds. */
const AVOID_MILLISECONDS = 2_000;
/** Cost of sending a request to another data centre, in open requests. */
const REMOTE_COST = 0.6;
/** Time that an engine needs to process one prompt token while it generates tokens of other runs, in milliseconds. */
const PREFILL_MILLISECONDS_PER_TOKEN = 0.14;
/** Cost of a full engine memory, in milliseconds. */
const MEMORY_COST_MILLISECONDS = 600;
/** Share of the memory above which preemption becomes likely. */
const PREEMPTION_RISK_SHARE = 0.9;
const PREEMPTION_RISK_COST_MILLISECONDS = 5_000;
/** Time by which each run queued at an engine delays a new one, in milliseconds. */
const QUEUED_COST_MILLISECONDS = 400;
/** Range of the random cost that breaks ties, in milliseconds. */
const TIE_BREAK_MILLISECONDS = 20;
/** Cost of a failure rate of 1, in milliseconds. */
const FAILURE_COST_MILLISECONDS = 2_000;
/** Cost of an engine that is still warming up, in milliseconds. */
const WARM_UP_COST_MILLISECONDS = 300;

/** Number of gateways up to which each considers all instances; with so few, digests are frequent enough. */
const MAX_GATEWAYS_WITHOUT_SAMPLING = 6;
/** Number of instances that each gateway considers when there are more gateways. */
const SAMPLE_SIZE = 3;
/**
 * Numbers of instances considered when speeds differ: of those at which no
 * stream would pause too long, and of the others, which are needed once the
 * first are full.
 */
const SUITABLE_SAMPLE_SIZE = 5;
const UNSUITABLE_SAMPLE_SIZE = 3;

/** Returns the instances that may take new work, without those that fail far more often than the others; only those to be probed, if there are any. */
export function candidates(
  instances: readonly instanceTable.Instance[],
  {excluded, isAvailable}: Pick<PlacementRequest, 'excluded' | 'isAvailable'>,
  now: number,
  mayProbe: (instance: instanceTable.Instance) => boolean = () => true,
): instanceTable.Instance[] {
  const ready = instances.filter(
    instance => isAvailable(instance) && !excluded.has(instance.record.id),
  );
  const probed = ready.filter(
    each => instanceTable.isDueForProbe(each, now) && mayProbe(each),
  );
  if (probed.length > 0) {
    return probed;
  }
  const rateOf = (instance: instanceTable.Instance) =>
    instanceTable.failureRateOf(instance, now);
  const rates = ready.map(rateOf).sort((left, right) => left - right);
  const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
  const failing = ready
    .filter(instance => isFailing(instance, median, now))
    .sort((left, right) => rateOf(right) - rateOf(left))
    .slice(0, Math.floor(instances.length * MAX_AVOIDED_SHARE));
  const healthy = ready.filter(instance => !failing.includes(instance));
  return healthy.length > 0 ? healthy : ready;
}

function isFailing(
  instance: instanceTable.Instance,
  median: number,
  now: number,
): boolean {
  const rate = instanceTable.failureRateOf(instance, now);
  return (
    rate > FAILING_RATE &&
    rate > median + FAILING_EXCESS &&
    now - instance.lastFailureAt < AVOID_MILLISECONDS
  );
}

/**
 * Places a short call on the instance that is expected to answer first: by its
 * open requests and, where instances differ, by their answer times, preferring
 * this gateway's data centre. Meant for rates far below capacity.
 */
export function placeCall(
  instances: readonly instanceTable.Instance[],
  request: CallRequest,
  now: number,
): instanceTable.Instance | undefined {
  const {callOutlook: outlook} = request;
  const eligible = candidates(instances, request, now);
  const requestsAhead = (candidate: instanceTable.Instance) =>
    candidate.openRequests +
    (candidate.record.dataCentre === request.dataCentre ? 0 : REMOTE_COST) +
    instanceTable.failureRateOf(candidate, now) * 4 +
    request.draw() * 0.1;
  const expectedTime = (candidate: instanceTable.Instance) =>
    ((requestsAhead(candidate) + 1) * (outlook?.timeOf(candidate) ?? 1)) /
    Math.max(1, candidate.record.slots);
  return (
    outlook?.takeTrial(eligible, request.draw) ??
    cheapest(eligible, outlook === undefined ? requestsAhead : expectedTime)
  );
}

/**
 * Places a long generation on an engine, balancing expected memory and prompt
 * tokens still to be processed. Meant for engines that run out of memory before
 * they run out of slots.
 */
export function placeGeneration(
  instances: readonly instanceTable.Instance[],
  loads: runTable.LoadView,
  request: GenerationRequest,
  now: number,
): GenerationChoice | undefined {
  const {outlook} = request;
  const size = request.promptTokens + request.expectedTokens;
  const shareOf = (candidate: instanceTable.Instance) =>
    ((loads.get(candidate.record.id)?.memoryTokens ?? 0) + size) /
    request.capacityTokens;
  const cost = (candidate: instanceTable.Instance) => {
    const share = shareOf(candidate);
    const load = loads.get(candidate.record.id);
    const prefillTokens = load?.prefillTokens ?? 0;
    const queuedRuns = load?.queuedRuns ?? 0;
    const isWarm =
      now - candidate.firstSeenAt > candidate.record.warmUpMilliseconds;
    return (
      share * MEMORY_COST_MILLISECONDS +
      Math.max(0, share - PREEMPTION_RISK_SHARE) *
        PREEMPTION_RISK_COST_MILLISECONDS +
      prefillTokens * PREFILL_MILLISECONDS_PER_TOKEN +
      queuedRuns * QUEUED_COST_MILLISECONDS +
      instanceTable.failureRateOf(candidate, now) * FAILURE_COST_MILLISECONDS +
      (isWarm ? 0 : WARM_UP_COST_MILLISECONDS) +
      (outlook?.cost(candidate, load) ?? 0) +
      (candidate.record.dataCentre === request.dataCentre
        ? 0
        : request.remoteCostMilliseconds) +
      request.draw() * TIE_BREAK_MILLISECONDS
    );
  };
  const {softwareVersion} = request;
  const compatible =
    softwareVersion === undefined
      ? instances
      : instances.filter(
          each => instanceTable.versionOf(each.record) === softwareVersion,
        );
  const mayProbe = (candidate: instanceTable.Instance) =>
    !request.isCopy && shareOf(candidate) <= 1;
  const eligible = candidates(compatible, request, now, mayProbe).filter(
    candidate => !request.isCopy || !instanceTable.isSuspect(candidate),
  );
  const considered =
    outlook === undefined
      ? sample(eligible, request, SAMPLE_SIZE)
      : sampleBySuitability(eligible, request, outlook, loads);
  const instance = cheapest(considered, cost);
  return (
    instance && {
      instance,
      memoryShare: shareOf(instance),
      speed: outlook?.speedOf(instance),
      forecastPauseMilliseconds: outlook?.longestPause(instance),
    }
  );
}

/**
 * Many gateways with the same delayed reports would all choose the least loaded
 * instance, so each chooses from a small random sample.
 */
function sample(
  instances: readonly instanceTable.Instance[],
  request: GenerationRequest,
  size: number,
): readonly instanceTable.Instance[] {
  if (
    request.gatewayCount <= MAX_GATEWAYS_WITHOUT_SAMPLING ||
    instances.length <= size
  ) {
    return instances;
  }
  const remaining = [...instances];
  return Array.from({length: size}, () => {
    const index = Math.min(
      remaining.length - 1,
      Math.floor(request.draw() * remaining.length),
    );
    return remaining.splice(index, 1)[0];
  });
}

function sampleBySuitability(
  instances: readonly instanceTable.Instance[],
  request: GenerationRequest,
  outlook: engineOutlook.EngineOutlook,
  loads: runTable.LoadView,
): readonly instanceTable.Instance[] {
  const suitable: instanceTable.Instance[] = [];
  const others: instanceTable.Instance[] = [];
  for (const instance of instances) {
    const load = loads.get(instance.record.id);
    (outlook.isSuitable(instance, load) ? suitable : others).push(instance);
  }
  return [
    ...sample(suitable, request, SUITABLE_SAMPLE_SIZE),
    ...sample(others, request, UNSUITABLE_SAMPLE_SIZE),
  ];
}

function cheapest(
  instances: readonly instanceTable.Instance[],
  cost: (instance: instanceTable.Instance) => number,
): instanceTable.Instance | undefined {
  let best: instanceTable.Instance | undefined;
  let bestCost = Infinity;
  for (const instance of instances) {
    const instanceCost = cost(instance);
    if (instanceCost < bestCost) {
      best = instance;
      bestCost = instanceCost;
    }
  }
  return best;
}
