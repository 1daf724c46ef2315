/** Graceful termination of a process. */
/** Whether a process is leaving; it never comes back from that. */
export class ShutdownState {
  private hasBegun = false;

  get isLeaving(): boolean {
    return this.hasBegun;
  }

  /** Begins leaving; further calls have no effect. */
  begin(): void {
    this.hasBegun = true;
  }
}
