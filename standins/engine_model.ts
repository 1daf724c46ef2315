/**
 * A step-by-step model of an engine with continuous batching, paged memory
 * and a prefix cache. The engine stand-in runs it in real time and the policy
 * benchmark on a simulated clock.
 */

/** Sizes of an engine. */
export interface EngineShape {
  /** Tokens of context that fit into memory. */
  readonly capacityTokens: number;
  /** Tokens in one page of memory. */
  readonly pageTokens: number;
  /** Largest batch. */
  readonly maxSequences: number;
  /** Time of a step whatever its batch, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Further time for each sequence of the batch, in milliseconds. */
  readonly sequenceMilliseconds: number;
  /** Further time for each thousand tokens of context, in milliseconds. */
  readonly contextMilliseconds: number;
  /** Prompt tokens processed a second. */
  readonly prefillTokensPerSecond: number;
  /** Prompt tokens processed in one step at the most. */
  readonly prefillChunkTokens: number;
}

/** The engine that the benchmarks and the demo use. */
export const DEFAULT_SHAPE: EngineShape = {
  capacityTokens: 120_000,
  pageTokens: 16,
  maxSequences: 128,
  stepMilliseconds: 12,
  sequenceMilliseconds: 0.05,
  contextMilliseconds: 0.04,
  prefillTokensPerSecond: 20_000,
  prefillChunkTokens: 256,
};

/** A generation inside the engine. */
export interface Sequence {
  readonly run: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's pages, each covering all pages before it. */
  readonly pageHashes: readonly string[];
  /** Number of tokens after which the model stops. */
  readonly outputTokens: number;
  readonly priority: number;
  generated: number;
  /** Tokens of context that must still be processed before the next output token. */
  prefillLeft: number;
  preemptions: number;
  arrival: number;
}

/** What one step did. */
export interface StepResult {
  readonly milliseconds: number;
  readonly produced: readonly Sequence[];
  readonly finished: readonly Sequence[];
  readonly preempted: readonly Sequence[];
}

/** Prompt pages that the engine keeps, in use or for later. */
class PrefixCache {
  private readonly references = new Map<string, number>();
  /** Pages that no sequence holds, the least recently used first. */
  private readonly idle = new Set<string>();

  get size(): number {
    return this.references.size + this.idle.size;
  }

  has(hash: string): boolean {
    return this.references.has(hash) || this.idle.has(hash);
  }

  hold(hash: string): void {
    this.idle.delete(hash);
    this.references.set(hash, (this.references.get(hash) ?? 0) + 1);
  }

  release(hash: string): void {
    const held = this.references.get(hash) ?? 0;
    if (held > 1) {
      this.references.set(hash, held - 1);
      return;
    }
    this.references.delete(hash);
    this.idle.add(hash);
  }

  /** Drops the oldest page that no sequence holds. */
  evictOne(): boolean {
    for (const hash of this.idle) {
      this.idle.delete(hash);
      return true;
    }
    return false;
  }

  hashes(): string[] {
    return [...this.references.keys(), ...this.idle];
  }
}

/** Batches sequences and runs out of memory as an engine does. */
export class EngineModel {
  readonly running: Sequence[] = [];
  readonly waiting: Sequence[] = [];
  preemptionCount = 0;
  private readonly cache = new PrefixCache();
  private ownPages = 0;
  private arrivals = 0;

  constructor(readonly shape: EngineShape) {}

  /** Tokens of memory in use, kept prefixes included. */
  get usedTokens(): number {
    return this.usedPages * this.shape.pageTokens;
  }

  private get usedPages(): number {
    return this.ownPages + this.cache.size;
  }

  private get totalPages(): number {
    return Math.floor(this.shape.capacityTokens / this.shape.pageTokens);
  }

  /** Hashes of the prompt pages held now. */
  cachedPrefixes(): string[] {
    return this.cache.hashes();
  }

  add(
    input: Pick<
      Sequence,
      'run' | 'promptTokens' | 'pageHashes' | 'outputTokens' | 'priority'
    >,
  ): Sequence {
    const sequence: Sequence = {
      ...input,
      generated: 0,
      prefillLeft: 0,
      preemptions: 0,
      arrival: this.arrivals++,
    };
    this.enqueue(sequence);
    return sequence;
  }

  /** Removes a sequence wherever it is. */
  remove(run: string): boolean {
    const waitingIndex = this.waiting.findIndex(
      sequence => sequence.run === run,
    );
    if (waitingIndex >= 0) {
      this.waiting.splice(waitingIndex, 1);
      return true;
    }
    const runningIndex = this.running.findIndex(
      sequence => sequence.run === run,
    );
    if (runningIndex < 0) {
      return false;
    }
    this.release(this.running[runningIndex]);
    this.running.splice(runningIndex, 1);
    return true;
  }

  /** Runs one step of the batch. An idle engine takes no time. */
  step(): StepResult {
    this.admit();
    const preempted = this.makeRoom();
    if (this.running.length === 0) {
      return {milliseconds: 0, produced: [], finished: [], preempted};
    }
    const prefilled = this.prefill();
    const produced = this.running.filter(
      sequence => sequence.prefillLeft === 0 && !prefilled.has(sequence),
    );
    for (const sequence of produced) {
      this.grow(sequence);
    }
    const finished = produced.filter(
      sequence => sequence.generated >= sequence.outputTokens,
    );
    const milliseconds = this.stepTime(prefilled);
    for (const sequence of finished) {
      this.remove(sequence.run);
    }
    return {milliseconds, produced, finished, preempted};
  }

  private stepTime(prefilled: ReadonlyMap<Sequence, number>): number {
    const shape = this.shape;
    let prefillTokens = 0;
    for (const tokens of prefilled.values()) {
      prefillTokens += tokens;
    }
    const batchTime = shape.sequenceMilliseconds * this.running.length;
    const contextTime = (shape.contextMilliseconds * this.usedTokens) / 1000;
    const prefillTime = (prefillTokens * 1000) / shape.prefillTokensPerSecond;
    return shape.stepMilliseconds + batchTime + contextTime + prefillTime;
  }

  /** Admits in order of priority while the prompt of the next one fits. */
  private admit(): void {
    while (
      this.waiting.length > 0 &&
      this.running.length < this.shape.maxSequences
    ) {
      const next = this.waiting[0];
      if (!this.reserveContext(next)) {
        return;
      }
      this.waiting.shift();
      this.running.push(next);
    }
  }

  private reserveContext(sequence: Sequence): boolean {
    const missing = sequence.pageHashes.filter(hash => !this.cache.has(hash));
    const own = this.ownPagesOf(sequence, sequence.generated);
    const isRoomy = this.free(missing.length + own + 1);
    if (!isRoomy) {
      return false;
    }
    const hits = sequence.pageHashes.filter(hash =>
      this.cache.has(hash),
    ).length;
    sequence.pageHashes.forEach(hash => this.cache.hold(hash));
    this.ownPages += own;
    const contextTokens = sequence.promptTokens + sequence.generated;
    sequence.prefillLeft = Math.max(
      1,
      contextTokens - hits * this.shape.pageTokens,
    );
    return true;
  }

  private ownPagesOf(sequence: Sequence, generated: number): number {
    const shared = sequence.pageHashes.length * this.shape.pageTokens;
    return Math.ceil(
      Math.max(0, sequence.promptTokens + generated - shared) /
        this.shape.pageTokens,
    );
  }

  /** Makes pages free by dropping kept prefixes. */
  private free(pages: number): boolean {
    while (this.usedPages + pages > this.totalPages) {
      if (!this.cache.evictOne()) {
        return false;
      }
    }
    return true;
  }

  /** Preempts the least urgent and latest sequences until the next tokens fit. */
  private makeRoom(): Sequence[] {
    const preempted: Sequence[] = [];
    while (this.running.length > 0 && !this.free(this.pagesNeededNext())) {
      const victim = this.running.reduce(lessUrgent);
      this.remove(victim.run);
      victim.preemptions++;
      this.preemptionCount++;
      preempted.push(victim);
      this.enqueue(victim);
    }
    return preempted;
  }

  private pagesNeededNext(): number {
    let pages = 0;
    for (const sequence of this.running) {
      if (
        this.ownPagesOf(sequence, sequence.generated + 1) >
        this.ownPagesOf(sequence, sequence.generated)
      ) {
        pages++;
      }
    }
    return pages;
  }

  private prefill(): Map<Sequence, number> {
    const done = new Map<Sequence, number>();
    let left = this.shape.prefillChunkTokens;
    for (const sequence of this.running) {
      if (sequence.prefillLeft === 0) {
        continue;
      }
      const tokens = Math.min(left, sequence.prefillLeft);
      sequence.prefillLeft -= tokens;
      left -= tokens;
      done.set(sequence, tokens);
    }
    return done;
  }

  private grow(sequence: Sequence): void {
    const before = this.ownPagesOf(sequence, sequence.generated);
    sequence.generated++;
    this.ownPages += this.ownPagesOf(sequence, sequence.generated) - before;
  }

  private release(sequence: Sequence): void {
    this.ownPages -= this.ownPagesOf(sequence, sequence.generated);
    sequence.pageHashes.forEach(hash => this.cache.release(hash));
  }

  private enqueue(sequence: Sequence): void {
    const isBefore = (other: Sequence) =>
      other.priority < sequence.priority ||
      (other.priority === sequence.priority &&
        other.arrival > sequence.arrival);
    const index = this.waiting.findIndex(isBefore);
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, sequence);
  }
}

function lessUrgent(left: Sequence, right: Sequence): Sequence {
  if (left.priority !== right.priority) {
    return left.priority < right.priority ? left : right;
  }
  return left.arrival > right.arrival ? left : right;
}
