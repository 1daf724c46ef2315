/**
 * Measures how long an instance of a plain service takes to answer. Meant for
 * services whose instances differ, with single slow answers at all of them.
 */

/** Answers that an estimate covers. */
const ANSWER_COUNT = 5;
/** Position of the estimate among the sorted answers: a single slow one has no influence, and two quick ones show that the instance has recovered. */
const ANSWER_POSITION = 1;
/** Answer time that counts as speed 1, in milliseconds. Only the unit in which speeds are given. */
const UNIT_MILLISECONDS = 100;
/** Shortest answer time that is told apart, in milliseconds. */
const MIN_MILLISECONDS = 1;

/** Answer times of one instance. */
export class ServiceMeter {
  private readonly answers: number[] = [];

  /** Speed as the inverse of the answer time; undefined before the first answer. */
  get speed(): number | undefined {
    if (this.answers.length === 0) {
      return undefined;
    }
    const sorted = [...this.answers].sort((left, right) => left - right);
    const time = sorted[Math.min(sorted.length - 1, ANSWER_POSITION)];
    return UNIT_MILLISECONDS / Math.max(MIN_MILLISECONDS, time);
  }

  add(milliseconds: number): void {
    this.answers.push(milliseconds);
    if (this.answers.length > ANSWER_COUNT) {
      this.answers.shift();
    }
  }
}
