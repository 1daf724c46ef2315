/** Periodic and on-demand execution of an action. */
import * as disposable from '../common/disposable';

/** Runs its action at a fixed interval, and once for all requests made in the same turn of the event loop. */
export class TickLoop implements disposable.Disposable {
  private readonly interval: disposable.Disposable;
  private immediate: NodeJS.Immediate | undefined;
  private isDisposed = false;

  constructor(
    intervalMilliseconds: number,
    private readonly action: () => void,
  ) {
    this.interval = disposable.every(intervalMilliseconds, () =>
      this.request(),
    );
  }

  /** Schedules the action after the current turn of the event loop. */
  request(): void {
    if (this.immediate !== undefined || this.isDisposed) {
      return;
    }
    this.immediate = setImmediate(() => {
      this.immediate = undefined;
      this.action();
    });
  }

  dispose(): void {
    this.isDisposed = true;
    this.interval.dispose();
    clearImmediate(this.immediate);
  }
}
