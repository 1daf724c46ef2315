/** Graceful shutdown of a process. */
/** Whether a process is shutting down. Cannot be reversed. */
export class ShutdownState {
  private hasBegun = false;

  get isLeaving(): boolean {
    return this.hasBegun;
  }

  /** Begins the shutdown; further calls have no effect. */
  begin(): void {
    this.hasBegun = true;
  }
}
