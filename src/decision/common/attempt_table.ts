/** Attempts at a side process, and tombstones of withdrawn attempts. */
import * as failure from '../../base/common/failure';
import * as generationRequest from '../../protocol/common/generation_request';
import * as lengthPredictor from './length_predictor';
import * as prefixTable from './prefix_table';

/** Lifecycle state of an attempt. */
export enum AttemptState {
  /** Queued here until it fits on the engine. */
  Waiting = 'waiting',
  /** Running on the engine. */
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
}

/** One execution of a generation at one endpoint instance. */
export interface Attempt {
  readonly id: string;
  readonly request: generationRequest.GenerationRequest;
  readonly distribution: lengthPredictor.LengthDistribution;
  /** Hashes of the complete chunks of the prompt; each also covers all text before its chunk. */
  readonly chunks: readonly string[];
  /** Monotonic milliseconds at which the attempt arrived. */
  readonly arrivedAt: number;
  state: AttemptState;
  /** Monotonic milliseconds at which the attempt started; 0 before. */
  startedAt: number;
  /** Output so far; a token's index is its position in the array. */
  readonly tokens: string[];
  finishReason: string;
  failure: failure.Failure | undefined;
  /** Id of the link that receives the output; empty while no entry is attached. */
  link: string;
  /** Whether output is held back because the caller reads slowly. */
  isPaused: boolean;
  /** Whether the complete output was handed to the caller's connection. */
  isDelivered: boolean;
  /** Index of the next token to send on the link. */
  nextToSend: number;
  /** Monotonic milliseconds since which no entry has been attached. */
  detachedAt: number;
  /** Monotonic milliseconds at which the attempt ended. */
  endedAt: number;
}

/** Whether the attempt has not ended yet. */
export function isOpen(attempt: Attempt): boolean {
  return (
    attempt.state === AttemptState.Waiting ||
    attempt.state === AttemptState.Running
  );
}

/** Marks a withdrawn attempt, so that a late hand-off of it is rejected. */
export interface Tombstone {
  /** Monotonic milliseconds at which the tombstone was created. */
  readonly at: number;
  /** Whether it is certain that the attempt never ran at this incarnation. */
  readonly neverStarted: boolean;
}

/** Holds attempts, and tombstones of withdrawn attempts. */
export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>();
  private readonly open = new Set<Attempt>();
  private readonly tombstones = new Map<string, Tombstone>();

  get size(): number {
    return this.attempts.size;
  }

  get(id: string): Attempt | undefined {
    return this.attempts.get(id);
  }

  add(
    id: string,
    request: generationRequest.GenerationRequest,
    distribution: lengthPredictor.LengthDistribution,
    link: string,
    now: number,
  ): Attempt {
    const attempt: Attempt = {
      id,
      request,
      distribution,
      chunks: prefixTable.chunkHashes(request.prompt),
      arrivedAt: now,
      state: AttemptState.Waiting,
      startedAt: 0,
      tokens: [],
      finishReason: '',
      failure: undefined,
      link,
      isPaused: false,
      isDelivered: false,
      nextToSend: 0,
      detachedAt: now,
      endedAt: 0,
    };
    this.attempts.set(id, attempt);
    this.open.add(attempt);
    return attempt;
  }

  /** Removes an attempt and leaves a tombstone, so that a late hand-off of it is rejected. */
  remove(attempt: Attempt, now: number): void {
    const neverStarted = attempt.startedAt === 0;
    this.attempts.delete(attempt.id);
    this.open.delete(attempt);
    this.tombstones.set(attempt.id, {at: now, neverStarted});
  }

  /** Ends an attempt; its output is kept until it is removed. */
  end(
    attempt: Attempt,
    state: AttemptState.Completed | AttemptState.Failed,
    now: number,
  ): void {
    attempt.state = state;
    attempt.endedAt = now;
    this.open.delete(attempt);
  }

  /** Adds a tombstone for an attempt that is not in the table; returns the existing one if there is one. */
  addTombstone(id: string, now: number): Tombstone {
    const existing = this.tombstones.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const tombstone = {at: now, neverStarted: true};
    this.tombstones.set(id, tombstone);
    return tombstone;
  }

  hasTombstone(id: string): boolean {
    return this.tombstones.has(id);
  }

  /** Removes tombstones created before the time. */
  removeTombstones(before: number): void {
    for (const [id, tombstone] of this.tombstones) {
      if (tombstone.at >= before) {
        return;
      }
      this.tombstones.delete(id);
    }
  }

  all(): Iterable<Attempt> {
    return this.attempts.values();
  }

  waiting(): Attempt[] {
    return [...this.open].filter(
      attempt => attempt.state === AttemptState.Waiting,
    );
  }

  running(): Attempt[] {
    return [...this.open].filter(
      attempt => attempt.state === AttemptState.Running,
    );
  }

  get openCount(): number {
    return this.open.size;
  }
}
