/** Graceful termination of a process. */
/** Whether a process is leaving; it never comes back from that. */
export class Leaving {
  private isBegun = false;

  get isLeaving(): boolean {
    return this.isBegun;
  }

  /** Begins leaving; further calls have no effect. */
  begin(): void {
    this.isBegun = true;
  }
}
