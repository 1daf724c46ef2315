/**
 * Predicts output lengths from what the same customer and route produced,
 * mixed with the route's and the deployment's experience while that is small.
 */
import * as lengthHistogram from './length_histogram';

/** Number of own observations that weigh as much as all wider experience. */
const PRIOR_WEIGHT = 8;
/** Weight of the assumption made before anything was observed. */
const ASSUMPTION_WEIGHT = 2;
/** Median of the length assumed before anything was observed, in tokens. */
const ASSUMED_MEDIAN_TOKENS = 300;
const MAX_SOURCES = 4_096;

/** Tells how likely an output outlasts a length. */
export abstract class LengthDistribution {
  /** Probability that the output has more tokens than `length`, given that it has more than `generated`. */
  abstract survival(length: number, generated: number): number;

  /** Expected number of further tokens, given that more than `generated` exist and at most `limit` may. */
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

/** Mixes the experience of several histograms. */
class MixedDistribution extends LengthDistribution {
  constructor(
    private readonly own: lengthHistogram.LengthHistogram | undefined,
    private readonly route: lengthHistogram.LengthHistogram | undefined,
    private readonly all: lengthHistogram.LengthHistogram,
  ) {
    super();
  }

  survival(length: number, generated: number): number {
    if (length <= generated) {
      return 1;
    }
    const before = this.weightBeyond(generated);
    return before <= 0 ? 0 : Math.min(1, this.weightBeyond(length) / before);
  }

  private weightBeyond(length: number): number {
    // The assumed tail keeps every length possible, whatever was observed.
    const assumed = 1 / (1 + length / ASSUMED_MEDIAN_TOKENS);
    const widest = mix(this.all, length, assumed, ASSUMPTION_WEIGHT);
    const wider = mix(this.route, length, widest, PRIOR_WEIGHT);
    return mix(this.own, length, wider, PRIOR_WEIGHT);
  }
}

function mix(
  histogram: lengthHistogram.LengthHistogram | undefined,
  length: number,
  prior: number,
  priorWeight: number,
): number {
  if (histogram === undefined) {
    return prior;
  }
  return (
    (histogram.weightBeyond(length) + priorWeight * prior) /
    (histogram.totalWeight + priorWeight)
  );
}

/** Learns output lengths by customer and route. */
export class LengthPredictor {
  private readonly byCustomer = new Map<
    string,
    lengthHistogram.LengthHistogram
  >();
  private readonly byRoute = new Map<string, lengthHistogram.LengthHistogram>();
  private readonly all = new lengthHistogram.LengthHistogram();

  /** Number of customer and route pairs with experience of their own. */
  get size(): number {
    return this.byCustomer.size;
  }

  /** Learns the length of a finished output, in tokens. */
  record(customer: string, route: string, length: number): void {
    histogramOf(this.byCustomer, `${customer}/${route}`).record(length);
    histogramOf(this.byRoute, route).record(length);
    this.all.record(length);
  }

  /** Returns the distribution of lengths to expect. */
  distribution(customer: string, route: string): LengthDistribution {
    const own = this.byCustomer.get(`${customer}/${route}`);
    return new MixedDistribution(own, this.byRoute.get(route), this.all);
  }
}

/** Returns the histogram of a source, dropping the least recently updated one when there are too many. */
function histogramOf(
  histograms: Map<string, lengthHistogram.LengthHistogram>,
  source: string,
): lengthHistogram.LengthHistogram {
  const known = histograms.get(source);
  const histogram = known ?? new lengthHistogram.LengthHistogram();
  histograms.delete(source);
  histograms.set(source, histogram);
  if (histograms.size > MAX_SOURCES) {
    histograms.delete(histograms.keys().next().value!);
  }
  return histogram;
}
