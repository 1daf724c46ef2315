/** Estimates how fast engines generate tokens, from completed streams. */

/** Time per token assumed before the first stream, in milliseconds: that of a busy engine. */
const ASSUMED_MILLISECONDS = 12;
/** Weight of one stream in the moving average. */
const STREAM_WEIGHT = 0.2;
/** Minimum length of a stream, in tokens; shorter ones say little about the pace. */
const MIN_TOKENS = 40;

/** Moving average of the time between tokens, by endpoint. */
export class TokenPace {
  private readonly averages = new Map<string, number>();

  /** Adds a complete stream with the time from its first token to its last. */
  add(endpoint: string, milliseconds: number, tokens: number): void {
    if (tokens < MIN_TOKENS) {
      return;
    }
    const measured = milliseconds / tokens;
    const average = this.averages.get(endpoint) ?? measured;
    this.averages.set(endpoint, average + (measured - average) * STREAM_WEIGHT);
  }

  /** Returns the milliseconds per token. */
  get(endpoint: string): number {
    return this.averages.get(endpoint) ?? ASSUMED_MILLISECONDS;
  }
}
