/** Forecasts the engine memory that running generations will need. */
import * as lengthPredictor from './length_predictor';

/** Memory use and expected length of one generation. */
export interface GenerationMemory {
  /** Prompt tokens that are not shared with other generations. */
  readonly promptTokens: number;
  readonly generated: number;
  readonly maxTokens: number;
  readonly distribution: lengthPredictor.LengthDistribution;
}

const FIRST_HORIZON = 8;
const HORIZON_GROWTH = 1.35;
const HORIZON_COUNT = 26;

/**
 * Steps ahead at which memory is forecast. Each running generation grows by one
 * token per step. A peak between two horizons is underestimated by at most the
 * growth between them.
 */
export const HORIZONS: readonly number[] = Array.from(
  {length: HORIZON_COUNT},
  (_, index) => Math.round(FIRST_HORIZON * HORIZON_GROWTH ** index),
);

/** Probability of still running below which a generation is ignored at a horizon. */
const MIN_SURVIVAL = 0.05;

/** Sums of the mean and the variance of memory at each horizon. */
export class MemoryForecast {
  private readonly means = new Float64Array(HORIZONS.length);
  private readonly variances = new Float64Array(HORIZONS.length);
  private currentTokens = 0;

  /** `constantTokens` is memory that does not depend on any single generation. */
  constructor(constantTokens = 0) {
    this.currentTokens = constantTokens;
    this.means.fill(constantTokens);
  }

  /** Adds a generation that is running or about to start. */
  add(generation: GenerationMemory): void {
    this.currentTokens += generation.promptTokens + generation.generated;
    for (let index = 0; index < HORIZONS.length; index++) {
      const survival = survivalAt(generation, HORIZONS[index]);
      const size =
        generation.promptTokens + generation.generated + HORIZONS[index];
      this.means[index] += survival * size;
      this.variances[index] += survival * (1 - survival) * size * size;
    }
  }

  /** Peak memory over all horizons, in tokens, with a margin of `deviations` standard deviations. */
  peak(deviations: number): number {
    let peak = this.currentTokens;
    for (let index = 0; index < HORIZONS.length; index++) {
      peak = Math.max(peak, this.memoryAt(index, deviations));
    }
    return peak;
  }

  /**
   * Peak memory with one more generation, over the horizons at which that one is
   * likely to be running. It has no effect on memory after its end.
   */
  peakWith(generation: GenerationMemory, deviations: number): number {
    let peak =
      this.currentTokens + generation.promptTokens + generation.generated;
    for (let index = 0; index < HORIZONS.length; index++) {
      const survival = survivalAt(generation, HORIZONS[index]);
      if (survival < MIN_SURVIVAL) {
        break;
      }
      const size =
        generation.promptTokens + generation.generated + HORIZONS[index];
      const mean = this.means[index] + survival * size;
      const variance =
        this.variances[index] + survival * (1 - survival) * size * size;
      peak = Math.max(peak, mean + deviations * Math.sqrt(variance));
    }
    return peak;
  }

  private memoryAt(index: number, deviations: number): number {
    return this.means[index] + deviations * Math.sqrt(this.variances[index]);
  }
}

/** Probability that the generation is still running `horizon` steps ahead. */
function survivalAt(generation: GenerationMemory, horizon: number): number {
  const length = generation.generated + horizon;
  // A generation ends at its token limit at the latest.
  return length > generation.maxTokens
    ? 0
    : generation.distribution.survival(length, generation.generated);
}
