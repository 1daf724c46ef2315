/**
 * Predicts output lengths from earlier outputs of the same customer and route,
 * combined with those of the route and the deployment while there are few.
 */
import * as lengthHazards from './length_hazards';

/** Number of observations of a bucket that weigh as much as the estimate of the parent. */
const PRIOR_WEIGHT = 4;
/** Weight of the assumed distribution, in observations. */
const ASSUMPTION_WEIGHT = 1;
/** Median of the distribution assumed before the first observation, in tokens. */
const ASSUMED_MEDIAN_TOKENS = 300;
const MAX_ESTIMATORS = 4_096;

/** Probability distribution of an output's length. */
export abstract class LengthDistribution {
  /** Probability that the output has more tokens than `length`, given that it has more than `generated`. */
  abstract survival(length: number, generated: number): number;

  /** Expected number of further tokens, given that the output has more than `generated` and at most `limit` tokens. */
  expectedRemaining(generated: number, limit: number): number {
    let expected = 0;
    let from = generated;
    let alive = 1;
    while (from < limit && alive > 0.001) {
      const step = Math.max(1, Math.ceil(from * 0.2));
      const to = Math.min(limit, from + step);
      const aliveAfter = this.survival(to, generated);
      expected += ((alive + aliveAfter) / 2) * (to - from);
      from = to;
      alive = aliveAfter;
    }
    return expected;
  }
}

/** Estimates hazard rates from the observations of one scope, with those of the wider scope as prior. */
class HazardEstimator {
  readonly own = new lengthHazards.LengthHazards();
  private readonly curve = new Float64Array(lengthHazards.BUCKET_COUNT + 1);
  private curveVersion = -1;

  constructor(
    private readonly parent: HazardEstimator | undefined,
    private readonly priorWeight: number,
  ) {}

  /** Increases with each observation in this scope or a wider one. */
  get version(): number {
    return this.own.version + (this.parent?.version ?? 0);
  }

  /** Probability that an output that reached the bucket ends inside it. */
  hazard(bucket: number): number {
    const prior =
      this.parent === undefined
        ? assumedHazard(bucket)
        : this.parent.hazard(bucket);
    return this.own.hazard(bucket, prior, this.priorWeight);
  }

  /** Probability that an output has more tokens than `length`. */
  survival(length: number): number {
    this.refresh();
    const bucket = lengthHazards.bucketOf(length);
    const from = lengthHazards.BOUNDS[bucket];
    const width = lengthHazards.BOUNDS[bucket + 1] - from;
    const share = Math.min(1, (length - from) / width);
    const before = this.curve[bucket];
    return before + share * (this.curve[bucket + 1] - before);
  }

  private refresh(): void {
    if (this.curveVersion === this.version) {
      return;
    }
    this.curveVersion = this.version;
    this.curve[0] = 1;
    for (let bucket = 0; bucket < lengthHazards.BUCKET_COUNT; bucket++) {
      this.curve[bucket + 1] = this.curve[bucket] * (1 - this.hazard(bucket));
    }
  }
}

/** Hazard of the assumed distribution; its heavy tail keeps every length possible, whatever was observed. */
function assumedHazard(bucket: number): number {
  const survival = (length: number) => 1 / (1 + length / ASSUMED_MEDIAN_TOKENS);
  const from = survival(lengthHazards.BOUNDS[bucket]);
  return 1 - survival(lengthHazards.BOUNDS[bucket + 1]) / from;
}

class EstimatedDistribution extends LengthDistribution {
  constructor(private readonly estimator: HazardEstimator) {
    super();
  }

  survival(length: number, generated: number): number {
    if (length <= generated) {
      return 1;
    }
    const before = this.estimator.survival(generated);
    return before <= 0 ? 0 : this.estimator.survival(length) / before;
  }
}

/** Estimates output lengths by customer and route. */
export class LengthPredictor {
  private readonly all = new HazardEstimator(undefined, ASSUMPTION_WEIGHT);
  private readonly byRoute = new Map<string, HazardEstimator>();
  private readonly byCustomer = new Map<string, HazardEstimator>();

  /** Number of pairs of customer and route with observations of their own. */
  get size(): number {
    return this.byCustomer.size;
  }

  /** Records that an output grew from one length to another and is still running. */
  advance(customer: string, route: string, from: number, to: number): void {
    const last = lengthHazards.bucketOf(to);
    for (let bucket = lengthHazards.bucketOf(from); bucket < last; bucket++) {
      this.estimators(customer, route).forEach(estimator =>
        estimator.own.recordPass(bucket),
      );
    }
  }

  /** Records the final length of an output whose growth was recorded by `advance`. */
  finish(customer: string, route: string, length: number): void {
    const bucket = lengthHazards.bucketOf(length);
    this.estimators(customer, route).forEach(estimator =>
      estimator.own.recordEnd(bucket),
    );
  }

  /** Records a complete output at once. */
  record(customer: string, route: string, length: number): void {
    this.advance(customer, route, 0, length);
    this.finish(customer, route, length);
  }

  /** Returns the expected distribution of lengths. */
  distribution(customer: string, route: string): LengthDistribution {
    const [own] = this.estimators(customer, route);
    return new EstimatedDistribution(own);
  }

  /** Returns the estimators from the narrowest scope to the widest; the least recently used ones are evicted. */
  private estimators(customer: string, route: string): HazardEstimator[] {
    const routeEstimator = getOrCreate(
      this.byRoute,
      route,
      () => new HazardEstimator(this.all, PRIOR_WEIGHT),
    );
    const own = getOrCreate(
      this.byCustomer,
      `${customer}/${route}`,
      () => new HazardEstimator(routeEstimator, PRIOR_WEIGHT),
    );
    return [own, routeEstimator, this.all];
  }
}

function getOrCreate(
  estimators: Map<string, HazardEstimator>,
  name: string,
  create: () => HazardEstimator,
): HazardEstimator {
  const estimator = estimators.get(name) ?? create();
  estimators.delete(name);
  estimators.set(name, estimator);
  if (estimators.size > MAX_ESTIMATORS) {
    estimators.delete(estimators.keys().next().value!);
  }
  return estimator;
}
