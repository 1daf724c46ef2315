/** Counts the requests of this gateway to instances that name a limit, for the log. */

/** Requests to one incarnation of an instance. */
export interface Usage {
  /** Requests sent. */
  sent: number;
  /** Requests among them that were sent to another instance before. */
  repeated: number;
}

/** Incarnations counted at a time; others are left out. */
const MAX_COUNTED = 256;

/** Requests by incarnation since they were last taken. */
export class LimitUsage {
  private usages = new Map<string, Usage>();

  recordSend(life: string, isRepeat: boolean): void {
    const usage = this.usages.get(life) ?? {sent: 0, repeated: 0};
    if (this.usages.size >= MAX_COUNTED && !this.usages.has(life)) {
      return;
    }
    this.usages.set(life, usage);
    usage.sent++;
    usage.repeated += isRepeat ? 1 : 0;
  }

  /** Returns the counts and starts anew. */
  take(): ReadonlyMap<string, Usage> {
    const {usages} = this;
    this.usages = new Map();
    return usages;
  }
}
