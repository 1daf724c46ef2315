/**
 * Recent answer times of routes, and the time within which most answers arrive.
 * Meant for services whose instances have slow spells of up to a second: the
 * quantile is taken of each block of consecutive answers, and the median of the
 * blocks counts, so a spell that affects fewer than half of the blocks does not
 * change it. Adding an answer costs one array write, and every twentieth a sort
 * of twenty numbers.
 */

/** Share of the answers that arrive within the returned time. */
const QUANTILE = 0.95;
/** Number of answers in a block; with fewer than one block there is no quantile. */
export const BLOCK_ANSWERS = 20;
/** Number of blocks kept. At 100 answers per second, a spell of 600 ms affects at most 4 of them. */
const MAX_BLOCKS = 9;
/** Age after which a block is not used any more, in milliseconds. */
const MAX_AGE_MILLISECONDS = 300_000;
/** Maximum number of routes; the least recently answered is dropped first, and begins again without answers. */
const MAX_ROUTES = 256;

interface Block {
  readonly quantile: number;
  /** Monotonic milliseconds of its last answer. */
  readonly endedAt: number;
}

/** Answer times of one route. */
export class AnswerTimes {
  private readonly current: number[] = [];
  private readonly blocks: Block[] = [];
  private median: number | undefined;

  /** Adds the time of an answer, in milliseconds. */
  add(milliseconds: number, now: number): void {
    this.current.push(milliseconds);
    if (this.current.length < BLOCK_ANSWERS) {
      return;
    }
    const sorted = this.current.splice(0).sort((left, right) => left - right);
    this.blocks.push({quantile: quantileOf(sorted), endedAt: now});
    if (this.blocks.length > MAX_BLOCKS) {
      this.blocks.shift();
    }
    this.median = medianOf(this.blocks);
  }

  /** Time within which 95% of the answers arrive, in milliseconds; undefined with too few recent answers. */
  quantile(now: number): number | undefined {
    const oldestAllowed = now - MAX_AGE_MILLISECONDS;
    while (this.blocks.length > 0 && this.blocks[0].endedAt < oldestAllowed) {
      this.blocks.shift();
      this.median = medianOf(this.blocks);
    }
    return this.median;
  }
}

/** Answer times by the name of the route. */
export class RouteAnswerTimes {
  private readonly routes = new Map<string, AnswerTimes>();

  /** Number of routes with answers. */
  get size(): number {
    return this.routes.size;
  }

  add(route: string, milliseconds: number, now: number): void {
    const times = this.routes.get(route) ?? new AnswerTimes();
    this.routes.delete(route);
    this.routes.set(route, times);
    if (this.routes.size > MAX_ROUTES) {
      this.routes.delete(this.routes.keys().next().value!);
    }
    times.add(milliseconds, now);
  }

  /** Time within which 95% of the answers arrive, in milliseconds; undefined with too few recent answers. */
  quantile(route: string, now: number): number | undefined {
    return this.routes.get(route)?.quantile(now);
  }
}

/** Median-unbiased estimate of the quantile; the nearest rank of 20 answers would be the 92nd percentile in the median. */
function quantileOf(sorted: readonly number[]): number {
  const rank = QUANTILE * (sorted.length + 1 / 3) + 1 / 3;
  const below = Math.floor(rank);
  const low = sorted[below - 1];
  const high = sorted[Math.min(below, sorted.length - 1)];
  return low + (rank - below) * (high - low);
}

/** Lower median, so that of two blocks the faster one counts. */
function medianOf(blocks: readonly Block[]): number | undefined {
  const sorted = blocks
    .map(block => block.quantile)
    .sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
