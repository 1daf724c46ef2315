/** Graceful termination of a process. */
import * as rxjs from 'rxjs';

/** Whether a process is leaving; it never comes back from that. */
export class Leaving {
  private readonly begun = new rxjs.Subject<void>();
  private isBegun = false;

  get isLeaving(): boolean {
    return this.isBegun;
  }

  /** Fires once, when leaving begins. */
  get onDidBegin(): rxjs.Observable<void> {
    return this.begun;
  }

  /** Begins leaving; further calls have no effect. */
  begin(): void {
    if (this.isBegun) {
      return;
    }
    this.isBegun = true;
    this.begun.next();
  }
}
