/**
 * Plans how running generations leave an instance that is about to end.
 *
 * Answers instances that are taken away with one or two seconds of notice. Each
 * run is copied while it goes on, one after the other since all share a link,
 * and goes on from its copy when the instance breaks off: what it generated in
 * between is read again in a few milliseconds. Stopping a run to copy its last
 * tokens would wait behind the whole copies of other runs.
 */

/**
 * Time after which a copy is brought up to date, in milliseconds. What the copy
 * lacks is read again before the next event, so it bounds the caller's pause;
 * copies expire after seconds.
 */
const REFRESH_MILLISECONDS = 250;

/** How far a run's evacuation has come. */
export enum EvacuationState {
  /** To be copied at `dueAt`. */
  Waiting = 'waiting',
  Copying = 'copying',
  /** Ended, moved or without need of a copy. */
  Done = 'done',
}

/** A run to be evacuated. */
export interface EvacuatedRun<T> {
  readonly run: T;
  /** What its caller loses if the run is lost; larger goes first. */
  readonly value: number;
  state: EvacuationState;
  dueAt: number;
  /** Instances that had no room for the run. */
  readonly fullTargets: Set<string>;
  /** Whether there is a copy, which only needs to be brought up to date. */
  isCopied: boolean;
}

/** The evacuation of one instance by one gateway. */
export class Evacuation<T> {
  private readonly runs: EvacuatedRun<T>[];

  constructor(
    runs: readonly {readonly run: T; readonly value: number}[],
    now: number,
  ) {
    this.runs = [];
    runs.forEach(each => this.add(each.run, each.value, now));
  }

  /** Adds a run that came to the instance later. */
  add(run: T, value: number, now: number): void {
    this.runs.push({
      run,
      value,
      state: EvacuationState.Waiting,
      dueAt: now,
      fullTargets: new Set(),
      isCopied: false,
    });
    this.runs.sort((left, right) => right.value - left.value);
  }

  get isDone(): boolean {
    return this.runs.every(each => each.state === EvacuationState.Done);
  }

  /** The run to copy now, which counts as being copied from then on; undefined when there is none. */
  next(now: number): EvacuatedRun<T> | undefined {
    if (this.runs.some(each => each.state === EvacuationState.Copying)) {
      return undefined;
    }
    const due = this.runs
      .filter(
        each => each.state === EvacuationState.Waiting && each.dueAt <= now,
      )
      .sort((left, right) => Number(left.isCopied) - Number(right.isCopied))[0];
    if (due !== undefined) {
      due.state = EvacuationState.Copying;
    }
    return due;
  }

  /** Notes a copy, to be brought up to date after a while. */
  markCopied(copied: EvacuatedRun<T>, now: number): void {
    copied.state = EvacuationState.Waiting;
    copied.isCopied = true;
    copied.dueAt = now + REFRESH_MILLISECONDS;
  }

  /** Notes a failed copy, to be tried again after the pause. */
  markFailed(
    failed: EvacuatedRun<T>,
    now: number,
    pauseMilliseconds: number,
  ): void {
    failed.state = EvacuationState.Waiting;
    failed.dueAt = now + pauseMilliseconds;
  }
}
