/**
 * Forecasts the longest pause of a stream while its engine reads a prompt, from
 * the pauses of earlier streams. Meant for engines that read a chunk of a
 * waiting prompt in each step: the pause then depends on the speed of the
 * instance, and hardly on the number of prompts.
 */
import * as speedMeter from './speed_meter';

/** Time of a step at speed 1 in which a chunk of a prompt is read, assumed until pauses were seen, in milliseconds: a chunk of 512 tokens at 14 tokens per millisecond. */
const ASSUMED_READING_STEP_MILLISECONDS = 44;
/** Length of a gap, in usual ones, from which a prompt was read in it; slow spells make gaps 2.5 times as long. */
const READING_FACTOR = 2.8;
/** Length of a gap, in usual ones, beyond which it has other causes, such as a preemption. */
const MAX_FACTOR = 20;
/** Gaps with prompts that a forecast covers. */
const GAP_COUNT = 32;
/** Gaps needed in place of the assumption. */
const MIN_GAPS = 8;
/** Gaps after which the forecast is renewed. */
const RENEW_GAPS = 4;
/** Quantile of the gaps: many hold fewer chunks than steps, and a long stream meets several prompts. Slow spells while prompts are read are rarer than the rest. */
const GAP_QUANTILE = 0.85;

/** Steps in which prompts are read, at one endpoint. */
export class PauseForecast {
  private readonly gaps = new Float64Array(GAP_COUNT);
  private readonly scratch = new Float64Array(GAP_COUNT);
  private gapCount = 0;
  private step = ASSUMED_READING_STEP_MILLISECONDS;

  /** Adds the time between two events of a stream, for each token, at an instance of this speed. */
  add(gapMilliseconds: number, tokens: number, speed: number): void {
    const step = (gapMilliseconds * speed) / tokens;
    const usual = speedMeter.stepMilliseconds(1);
    if (step < usual * READING_FACTOR || step > usual * MAX_FACTOR) {
      return;
    }
    this.gaps[this.gapCount++ % GAP_COUNT] = step;
    if (this.gapCount >= MIN_GAPS && this.gapCount % RENEW_GAPS === 0) {
      this.scratch.set(this.gaps);
      const count = Math.min(GAP_COUNT, this.gapCount);
      this.step = speedMeter.quantileOf(this.scratch, count, GAP_QUANTILE);
    }
  }

  /** Expected time between two events while a prompt is read at an instance of this speed, in milliseconds. */
  longestPause(tokensPerEvent: number, speed: number): number {
    return (this.step * tokensPerEvent) / speed;
  }
}
