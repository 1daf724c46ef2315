/**
 * An engine that reads a chunk of the first waiting prompt in each step and
 * yields one token for each run, on the clock of a test.
 */

/** Tokens of a prompt that are read in one step. */
const CHUNK_TOKENS = 512;
const PROMPT_TOKENS_PER_MILLISECOND = 14;
const STEP_MILLISECONDS = 7;
const STEP_MILLISECONDS_PER_RUN = 0.3;
const SPELL_FACTOR = 2.5;
/** Tokens in one event. */
export const TOKENS_PER_EVENT = 4;

/** A generation at an engine. */
export interface ScriptedRun {
  promptTokens: number;
  /** Tokens that are yet to be generated. */
  outputTokens: number;
  /** Called with each event. */
  readonly onEvent: (now: number) => void;
  readonly onEnd: (now: number) => void;
}

/** One engine; `step` is to be called at `nextAt`. */
export class ScriptedEngine {
  nextAt = Infinity;
  spellUntil = -Infinity;
  private readonly waiting: ScriptedRun[] = [];
  private readonly running = new Map<ScriptedRun, number>();

  constructor(public speed: number) {}

  get runCount(): number {
    return this.waiting.length + this.running.size;
  }

  add(run: ScriptedRun, now: number): void {
    this.waiting.push(run);
    if (this.nextAt === Infinity) {
      this.nextAt = now + this.stepTime(now);
    }
  }

  /** Ends the step that was to end now, and begins the next. */
  step(): void {
    const now = this.nextAt;
    for (const [run, generated] of this.running) {
      this.running.set(run, generated + 1);
      const isOver = generated + 1 >= run.outputTokens;
      if (isOver || (generated + 1) % TOKENS_PER_EVENT === 0) {
        run.onEvent(now);
      }
      if (isOver) {
        this.running.delete(run);
        run.onEnd(now);
      }
    }
    const first = this.waiting[0];
    if (first !== undefined) {
      first.promptTokens -= CHUNK_TOKENS;
      if (first.promptTokens <= 0) {
        this.waiting.shift();
        this.running.set(first, 0);
      }
    }
    this.nextAt = this.runCount > 0 ? now + this.stepTime(now) : Infinity;
  }

  private stepTime(now: number): number {
    const chunk = Math.min(CHUNK_TOKENS, this.waiting[0]?.promptTokens ?? 0);
    const time =
      STEP_MILLISECONDS +
      STEP_MILLISECONDS_PER_RUN * this.running.size +
      chunk / PROMPT_TOKENS_PER_MILLISECOND;
    const factor = now < this.spellUntil ? SPELL_FACTOR : 1;
    return (time * factor) / this.speed;
  }
}
