/**
 * A step-by-step model of an engine with continuous batching, paged memory
 * and a prefix cache. The engine stand-in runs it in real time and the policy
 * benchmark on a simulated clock.
 */

/** Sizes and speeds of an engine. */
export interface EngineParameters {
  /** Tokens of context that fit into memory. */
  readonly capacityTokens: number;
  /** Tokens in one page of memory. */
  readonly pageTokens: number;
  /** Maximum number of sequences in the batch. */
  readonly maxSequences: number;
  /** Fixed time of a step, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Additional time per sequence of the batch, in milliseconds. */
  readonly sequenceMilliseconds: number;
  /** Additional time per 1,000 tokens of context, in milliseconds. */
  readonly contextMilliseconds: number;
  /** Prompt tokens processed per second. */
  readonly prefillTokensPerSecond: number;
  /** Maximum number of prompt tokens processed in one step. */
  readonly prefillChunkTokens: number;
}

/** The engine that the benchmarks and the demo use. */
export const DEFAULT_PARAMETERS: EngineParameters = {
  capacityTokens: 120_000,
  pageTokens: 16,
  maxSequences: 128,
  stepMilliseconds: 12,
  sequenceMilliseconds: 0.05,
  contextMilliseconds: 0.04,
  prefillTokensPerSecond: 20_000,
  prefillChunkTokens: 256,
};

/** A generation in the engine. */
export interface Sequence {
  readonly run: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's pages, each covering all pages before it. */
  readonly pageHashes: readonly string[];
  /** Number of tokens after which the model ends its output. */
  readonly outputTokens: number;
  readonly priority: number;
  generated: number;
  /** Tokens of context that must still be processed before the next output token. */
  pendingPrefillTokens: number;
  preemptions: number;
  arrival: number;
}

/** Result of one step. */
export interface StepResult {
  readonly milliseconds: number;
  readonly produced: readonly Sequence[];
  readonly finished: readonly Sequence[];
  readonly preempted: readonly Sequence[];
}

/** Prompt pages in the engine's memory, in use or cached for reuse. */
class PrefixCache {
  private readonly references = new Map<string, number>();
  /** Pages that no sequence uses, the least recently used first. */
  private readonly unreferenced = new Set<string>();

  get size(): number {
    return this.references.size + this.unreferenced.size;
  }

  has(hash: string): boolean {
    return this.references.has(hash) || this.unreferenced.has(hash);
  }

  acquire(hash: string): void {
    this.unreferenced.delete(hash);
    this.references.set(hash, (this.references.get(hash) ?? 0) + 1);
  }

  release(hash: string): void {
    const count = this.references.get(hash) ?? 0;
    if (count > 1) {
      this.references.set(hash, count - 1);
      return;
    }
    this.references.delete(hash);
    this.unreferenced.add(hash);
  }

  /** Evicts the least recently used page that no sequence uses; returns whether there was one. */
  evictOne(): boolean {
    for (const hash of this.unreferenced) {
      this.unreferenced.delete(hash);
      return true;
    }
    return false;
  }

  hashes(): string[] {
    return [...this.references.keys(), ...this.unreferenced];
  }
}

/** Batches sequences, and preempts them when memory is exhausted, as an engine does. */
export class EngineModel {
  readonly running: Sequence[] = [];
  readonly waiting: Sequence[] = [];
  preemptionCount = 0;
  private readonly cache = new PrefixCache();
  private privatePages = 0;
  private arrivals = 0;

  constructor(readonly parameters: EngineParameters) {}

  /** Tokens of memory in use, including cached prefixes. */
  get usedTokens(): number {
    return this.usedPages * this.parameters.pageTokens;
  }

  private get usedPages(): number {
    return this.privatePages + this.cache.size;
  }

  private get totalPages(): number {
    return Math.floor(
      this.parameters.capacityTokens / this.parameters.pageTokens,
    );
  }

  /** Hashes of the prompt pages in memory. */
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
      pendingPrefillTokens: 0,
      preemptions: 0,
      arrival: this.arrivals++,
    };
    this.enqueue(sequence);
    return sequence;
  }

  /** Removes a waiting or running sequence; returns whether it was found. */
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

  /** Runs one step of the batch; the duration is 0 when no sequence is running. */
  step(): StepResult {
    this.admit();
    const preempted = this.preemptUntilFit();
    if (this.running.length === 0) {
      return {milliseconds: 0, produced: [], finished: [], preempted};
    }
    const prefilled = this.prefill();
    const produced = this.running.filter(
      sequence =>
        sequence.pendingPrefillTokens === 0 && !prefilled.has(sequence),
    );
    for (const sequence of produced) {
      this.appendToken(sequence);
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
    const parameters = this.parameters;
    let prefillTokens = 0;
    for (const tokens of prefilled.values()) {
      prefillTokens += tokens;
    }
    const batchTime = parameters.sequenceMilliseconds * this.running.length;
    const contextTime =
      (parameters.contextMilliseconds * this.usedTokens) / 1000;
    const prefillTime =
      (prefillTokens * 1000) / parameters.prefillTokensPerSecond;
    return parameters.stepMilliseconds + batchTime + contextTime + prefillTime;
  }

  /** Admits waiting sequences in order of priority while the context of the next one fits. */
  private admit(): void {
    while (
      this.waiting.length > 0 &&
      this.running.length < this.parameters.maxSequences
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
    const privatePages = this.privatePagesOf(sequence, sequence.generated);
    const hasRoom = this.freePages(missing.length + privatePages + 1);
    if (!hasRoom) {
      return false;
    }
    const hits = sequence.pageHashes.filter(hash =>
      this.cache.has(hash),
    ).length;
    sequence.pageHashes.forEach(hash => this.cache.acquire(hash));
    this.privatePages += privatePages;
    const contextTokens = sequence.promptTokens + sequence.generated;
    sequence.pendingPrefillTokens = Math.max(
      1,
      contextTokens - hits * this.parameters.pageTokens,
    );
    return true;
  }

  private privatePagesOf(sequence: Sequence, generated: number): number {
    const shared = sequence.pageHashes.length * this.parameters.pageTokens;
    return Math.ceil(
      Math.max(0, sequence.promptTokens + generated - shared) /
        this.parameters.pageTokens,
    );
  }

  /** Frees pages by evicting cached prefixes; returns whether enough are free. */
  private freePages(pages: number): boolean {
    while (this.usedPages + pages > this.totalPages) {
      if (!this.cache.evictOne()) {
        return false;
      }
    }
    return true;
  }

  /** Preempts sequences, lowest priority and latest arrival first, until the next tokens fit. */
  private preemptUntilFit(): Sequence[] {
    const preempted: Sequence[] = [];
    while (this.running.length > 0 && !this.freePages(this.pagesNeededNext())) {
      const victim = this.running.reduce(lowerPriority);
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
        this.privatePagesOf(sequence, sequence.generated + 1) >
        this.privatePagesOf(sequence, sequence.generated)
      ) {
        pages++;
      }
    }
    return pages;
  }

  private prefill(): Map<Sequence, number> {
    const processed = new Map<Sequence, number>();
    let budget = this.parameters.prefillChunkTokens;
    for (const sequence of this.running) {
      if (sequence.pendingPrefillTokens === 0) {
        continue;
      }
      const tokens = Math.min(budget, sequence.pendingPrefillTokens);
      sequence.pendingPrefillTokens -= tokens;
      budget -= tokens;
      processed.set(sequence, tokens);
    }
    return processed;
  }

  private appendToken(sequence: Sequence): void {
    const before = this.privatePagesOf(sequence, sequence.generated);
    sequence.generated++;
    this.privatePages +=
      this.privatePagesOf(sequence, sequence.generated) - before;
  }

  private release(sequence: Sequence): void {
    this.privatePages -= this.privatePagesOf(sequence, sequence.generated);
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

function lowerPriority(left: Sequence, right: Sequence): Sequence {
  if (left.priority !== right.priority) {
    return left.priority < right.priority ? left : right;
  }
  return left.arrival > right.arrival ? left : right;
}
