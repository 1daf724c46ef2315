/**
 * Plans how running generations leave an instance that is about to end.
 *
 * All gateways copy to the same link, so the plan has two phases: first each
 * run is copied while it goes on, one after the other; then, at a moment that
 * every gateway derives from the notice alone, all runs are stopped and the
 * few tokens made since are copied. A stop that waits behind the whole copy of
 * another run would leave its caller without events for too long.
 */

/** Time from notice to the end of an instance that does not say when it leaves, in milliseconds. */
export const ASSUMED_NOTICE_MILLISECONDS = 1_500;
/** Time before the end at which the runs are stopped, in milliseconds: for the last parts and lost answers. */
const STOP_MARGIN_MILLISECONDS = 350;

/** How far a run's evacuation has come. */
export enum EvacuationState {
  Waiting = 'waiting',
  Copying = 'copying',
  Copied = 'copied',
  Stopping = 'stopping',
  Done = 'done',
}

/** A run to be evacuated. */
export interface EvacuatedRun<T> {
  readonly run: T;
  /** What its caller loses if the run is lost; larger goes first. */
  readonly value: number;
  state: EvacuationState;
}

/** What to do next. */
export interface EvacuationCommands<T> {
  readonly copy: EvacuatedRun<T>[];
  readonly stop: EvacuatedRun<T>[];
}

/** The evacuation of one instance by one gateway. */
export class Evacuation<T> {
  private readonly runs: EvacuatedRun<T>[];
  private endsAt: number;

  constructor(
    runs: readonly {readonly run: T; readonly value: number}[],
    readonly startedAt: number,
  ) {
    this.runs = runs
      .map(each => ({...each, state: EvacuationState.Waiting}))
      .sort((left, right) => right.value - left.value);
    this.endsAt = startedAt + ASSUMED_NOTICE_MILLISECONDS;
  }

  /** Moment at which the runs are stopped. */
  get stopsAt(): number {
    return this.endsAt - STOP_MARGIN_MILLISECONDS;
  }

  get isDone(): boolean {
    return this.runs.every(each => each.state === EvacuationState.Done);
  }

  /** Learns when the instance ends. */
  noteEnd(endsAt: number): void {
    this.endsAt = Math.max(endsAt, this.startedAt);
  }

  /** Gives the next commands; the runs count as under way from then on. */
  step(now: number): EvacuationCommands<T> {
    const stop =
      now >= this.stopsAt ? this.inState(EvacuationState.Copied) : [];
    stop.forEach(each => (each.state = EvacuationState.Stopping));
    const isCopying = this.inState(EvacuationState.Copying).length > 0;
    const next = this.runs.find(each => each.state === EvacuationState.Waiting);
    if (isCopying || next === undefined || now >= this.endsAt) {
      return {copy: [], stop};
    }
    next.state = EvacuationState.Copying;
    return {copy: [next], stop};
  }

  private inState(state: EvacuationState): EvacuatedRun<T>[] {
    return this.runs.filter(each => each.state === state);
  }
}
