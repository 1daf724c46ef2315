/**
 * Holds generations while every engine is expected to be full. Answers bursts
 * of long work: a generation starts when memory for it comes free, the most
 * urgent first, and is refused as soon as it cannot start in time.
 */

/** Largest share of memory, by the expected ends of all runs, to which an engine is filled. Runs peak at different times. */
export const MAX_MEMORY_SHARE = 1.1;
/** Share of the objective that a generation may spend waiting; the rest is for its prompt. */
const WAIT_SHARE = 0.6;
/** Generations that wait at most; more could not start in time. */
const MAX_WAITING = 64;

/** One waiting generation. */
export interface WaitingGeneration {
  /** 0 goes first. */
  readonly urgency: number;
  readonly arrivedAt: number;
  readonly objectiveMilliseconds: number;
}

/** What becomes of a waiting generation. */
export interface QueueStep<T> {
  readonly started: T[];
  readonly refused: T[];
}

/** Last moment at which the generation may start and still be on time. */
export function latestStart(waiting: WaitingGeneration): number {
  return waiting.arrivedAt + waiting.objectiveMilliseconds * WAIT_SHARE;
}

/** Waiting generations in the order in which they start. */
export class GenerationQueue<T extends WaitingGeneration> {
  private readonly waiting: T[] = [];

  get length(): number {
    return this.waiting.length;
  }

  /** Adds a generation; false when too many wait. */
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

  /** Starts what fits by `tryStart`, in order, and refuses what is too late. */
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
        // Less urgent work must not take the memory that this one waits for.
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
