/** Forecasts the memory that running generations will need. */
import * as lengthPredictor from './length_predictor';

/** A generation whose memory is forecast. */
export interface MemoryUser {
  readonly promptTokens: number;
  readonly generated: number;
  readonly maxTokens: number;
  readonly distribution: lengthPredictor.LengthDistribution;
}

/** Numbers of steps ahead at which memory is forecast. Each running generation grows by one token a step. */
const HORIZONS: readonly number[] = [
  8, 32, 96, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384,
];

/** Sums of expected memory and its variance at each horizon. */
export class MemoryForecast {
  private readonly means = new Float64Array(HORIZONS.length);
  private readonly variances = new Float64Array(HORIZONS.length);
  private now = 0;

  /** Adds a generation that runs or is about to. */
  add(user: MemoryUser): void {
    this.now += user.promptTokens + user.generated;
    for (let index = 0; index < HORIZONS.length; index++) {
      const length = user.generated + HORIZONS[index];
      // One that has reached its limit has surely ended.
      const alive =
        length > user.maxTokens
          ? 0
          : user.distribution.survival(length, user.generated);
      const size = user.promptTokens + length;
      this.means[index] += alive * size;
      this.variances[index] += alive * (1 - alive) * size * size;
    }
  }

  /** Largest memory over all horizons that is exceeded with the tail probability of a normal deviate, in tokens. */
  peak(deviations: number): number {
    let peak = this.now;
    for (let index = 0; index < HORIZONS.length; index++) {
      peak = Math.max(
        peak,
        this.means[index] + deviations * Math.sqrt(this.variances[index]),
      );
    }
    return peak;
  }

  /** Returns an independent copy. */
  copy(): MemoryForecast {
    const copy = new MemoryForecast();
    copy.means.set(this.means);
    copy.variances.set(this.variances);
    copy.now = this.now;
    return copy;
  }
}
