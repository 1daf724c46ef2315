/**
 * Queues generations while every engine is expected to be full, as in bursts of
 * long generations. A generation starts when memory for it becomes available,
 * the most urgent first, and is refused as soon as it cannot start in time.
 */

/** Maximum share of an engine's memory that all runs may need at their expected ends. Above 1 because runs peak at different times. */
export const MAX_MEMORY_SHARE = 1.1;
/** Share of the latency objective that a generation may spend waiting; the rest is for processing its prompt. */
const WAIT_SHARE = 0.6;
/** Maximum queue length; more generations could not start in time. */
const MAX_WAITING = 64;

/** A queued generation. */
export interface WaitingGeneration {
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly arrivedAt: number;
  readonly objectiveMilliseconds: number;
}

/** Generations that left the queue in one step. */
export interface QueueStep<T> {
  readonly started: T[];
  readonly refused: T[];
}

/** Latest time at which the generation can start and still meet its objective. */
export function latestStart(waiting: WaitingGeneration): number {
  return waiting.arrivedAt + waiting.objectiveMilliseconds * WAIT_SHARE;
}

/** Queued generations, ordered by urgency and then by arrival. */
export class GenerationQueue<T extends WaitingGeneration> {
  private readonly waiting: T[] = [];

  get length(): number {
    return this.waiting.length;
  }

  /** Adds a generation; returns false when the queue is full. */
  add(entry: T): boolean {
    if (this.waiting.length >= MAX_WAITING) {
      return false;
    }
    let index = this.waiting.length;
    while (index > 0 && precedes(entry, this.waiting[index - 1])) {
      index--;
    }
    this.waiting.splice(index, 0, entry);
    return true;
  }

  remove(entry: T): void {
    const index = this.waiting.indexOf(entry);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /** Starts, in order, each generation that `tryStart` accepts, and refuses those that are too late. */
  step(now: number, tryStart: (entry: T) => boolean): QueueStep<T> {
    const started: T[] = [];
    const refused: T[] = [];
    let blockedUrgency = Infinity;
    for (const entry of [...this.waiting]) {
      if (now > latestStart(entry)) {
        refused.push(entry);
      } else if (entry.urgency <= blockedUrgency && tryStart(entry)) {
        started.push(entry);
      } else {
        // Less urgent generations must not take the memory that this one waits for.
        blockedUrgency = Math.min(blockedUrgency, entry.urgency);
      }
    }
    [...started, ...refused].forEach(entry => this.remove(entry));
    return {started, refused};
  }
}

function precedes(left: WaitingGeneration, right: WaitingGeneration): boolean {
  return (
    left.urgency < right.urgency ||
    (left.urgency === right.urgency && left.arrivedAt < right.arrivedAt)
  );
}
