/**
 * Schedules the migration of running generations away from an instance that is
 * about to terminate.
 *
 * Instances may be terminated with one or two seconds of notice. Each run is
 * copied while it keeps running, one at a time since all copies share a link,
 * and resumes from its copy when the instance terminates: tokens generated
 * since the copy are recomputed in a few milliseconds. Stopping a run to copy
 * its last tokens would have to wait for the full copies of other runs.
 */

/**
 * Time after which a copy is refreshed, in milliseconds. Tokens missing from
 * the copy are recomputed before the next event, so this bounds the pause that
 * the caller sees; copies expire after a few seconds.
 */
const REFRESH_MILLISECONDS = 250;

/** Progress of a run's evacuation. */
export enum EvacuationState {
  /** To be copied at `dueAt`. */
  Waiting = 'waiting',
  Copying = 'copying',
  /** Ended, moved, or needs no copy. */
  Done = 'done',
}

/** A run to be evacuated. */
export interface EvacuatedRun<T> {
  readonly run: T;
  /** Cost to the caller of losing the run; runs with larger values are copied first. */
  readonly value: number;
  state: EvacuationState;
  dueAt: number;
  /** Instances that had no memory for the run. */
  readonly fullTargets: Set<string>;
  /** Whether a copy exists, which only needs to be refreshed. */
  isCopied: boolean;
}

/** Tracks the evacuation of one instance by one gateway. */
export class Evacuation<T> {
  private readonly runs: EvacuatedRun<T>[];

  constructor(
    runs: readonly {readonly run: T; readonly value: number}[],
    now: number,
  ) {
    this.runs = [];
    runs.forEach(each => this.add(each.run, each.value, now));
  }

  /** Adds a run that was placed on the instance after the evacuation began. */
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

  /** Returns the run to copy now and marks it as being copied; undefined when there is none. */
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

  /** Marks a run as copied and schedules the refresh of its copy. */
  markCopied(copied: EvacuatedRun<T>, now: number): void {
    copied.state = EvacuationState.Waiting;
    copied.isCopied = true;
    copied.dueAt = now + REFRESH_MILLISECONDS;
  }

  /** Marks a copy as failed and schedules a retry after the pause. */
  markFailed(
    failed: EvacuatedRun<T>,
    now: number,
    pauseMilliseconds: number,
  ): void {
    failed.state = EvacuationState.Waiting;
    failed.dueAt = now + pauseMilliseconds;
  }
}
