/** Random numbers that can be reproduced from a seed. */
import * as pureRand from 'pure-rand';

/** A random number generator that depends only on its seed. */
export class Random {
  private readonly generator: pureRand.RandomGenerator;

  constructor(seed: number) {
    this.generator = pureRand.xoroshiro128plus(seed);
  }

  /** A random integer from `least` to `most`, both included. */
  integer(least: number, most: number): number {
    return pureRand.unsafeUniformIntDistribution(least, most, this.generator);
  }

  chance(share: number): boolean {
    return this.integer(1, 1_000) <= share * 1_000;
  }

  pick<T>(values: readonly T[]): T {
    return values[this.integer(0, values.length - 1)];
  }
}
