/** How fast engines generate, as seen in streams that ran to their end. */

/** Time per token assumed before anything was seen, in milliseconds: that of a busy engine. */
const ASSUMED_MILLISECONDS = 12;
/** Share of the average that one stream contributes. */
const STREAM_WEIGHT = 0.2;
/** Tokens below which a stream says little about the pace. */
const MIN_TOKENS = 40;

/** Moving average of the time between tokens by endpoint. */
export class TokenPace {
  private readonly averages = new Map<string, number>();

  /** Notes a whole stream that took the time from its first token to its last. */
  add(endpoint: string, milliseconds: number, tokens: number): void {
    if (tokens < MIN_TOKENS) {
      return;
    }
    const seen = milliseconds / tokens;
    const before = this.averages.get(endpoint) ?? seen;
    this.averages.set(endpoint, before + (seen - before) * STREAM_WEIGHT);
  }

  /** Milliseconds per token. */
  get(endpoint: string): number {
    return this.averages.get(endpoint) ?? ASSUMED_MILLISECONDS;
  }
}
