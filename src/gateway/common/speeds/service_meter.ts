/**
 * Measures how long an instance of a plain service takes to answer. Meant for
 * services whose instances have different speeds, and each of which gives an
 * occasional slow answer.
 */

/** Answers that an estimate covers. */
const ANSWER_COUNT = 4;
/** Position of the estimate among the sorted answers: a single slow one has no influence, and two quick ones show that the instance has recovered. */
const ANSWER_POSITION = 1;
/** Answer time that counts as speed 1, in milliseconds. Only the unit in which speeds are given. */
const UNIT_MILLISECONDS = 100;
/** Ratio of answer times beyond which an instance has changed. */
const LIKE_RATIO = 2;
/** Shortest answer time that is told apart, in milliseconds. */
const MIN_MILLISECONDS = 1;

/** Answer time at the speed, in milliseconds. */
export function answerMilliseconds(speed: number): number {
  return UNIT_MILLISECONDS / speed;
}

/** Whether an answer time fits the expected one, up to chance. */
export function isLike(milliseconds: number, expected: number): boolean {
  return (
    milliseconds <= expected * LIKE_RATIO &&
    expected <= milliseconds * LIKE_RATIO
  );
}

interface Answer {
  readonly milliseconds: number;
  /** Monotonic milliseconds at which the answer was complete. */
  readonly at: number;
}

/** Speed of an instance, and when it was last confirmed. */
export interface ServiceEstimate {
  /** Inverse of the answer time. */
  readonly speed: number;
  /** Monotonic milliseconds of the last answer that fits. A later one that does not must not make an old speed look new. */
  readonly at: number;
}

/** Answer times of one instance. */
export class ServiceMeter {
  private answers: Answer[] = [];

  /** Removes the answers that do not fit the expected time. */
  removeUnlike(expected: number): void {
    this.answers = this.answers.filter(({milliseconds}) =>
      isLike(milliseconds, expected),
    );
  }

  /** Adds an answer; returns the estimate with it. */
  add(milliseconds: number, now: number): ServiceEstimate {
    this.answers.push({milliseconds, at: now});
    if (this.answers.length > ANSWER_COUNT) {
      this.answers.shift();
    }
    const sorted = this.answers
      .map(each => each.milliseconds)
      .sort((left, right) => left - right);
    const time = sorted[Math.min(sorted.length - 1, ANSWER_POSITION)];
    const fitting = this.answers.filter(each =>
      isLike(each.milliseconds, time),
    );
    return {
      speed: UNIT_MILLISECONDS / Math.max(MIN_MILLISECONDS, time),
      at: fitting[fitting.length - 1].at,
    };
  }
}
