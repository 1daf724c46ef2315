/** Runs the systems of a process on one loop. */
import * as disposable from '../common/disposable';

/** Calls its action once after any number of requests in the same turn of the event loop, and at a steady rate. */
export class TickLoop implements disposable.Disposable {
  private readonly steady: disposable.Disposable;
  private immediate: NodeJS.Immediate | undefined;
  private isDisposed = false;

  constructor(
    intervalMilliseconds: number,
    private readonly action: () => void,
  ) {
    this.steady = disposable.every(intervalMilliseconds, () => this.request());
  }

  /** Runs the action soon. */
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
    this.steady.dispose();
    clearImmediate(this.immediate);
  }
}
