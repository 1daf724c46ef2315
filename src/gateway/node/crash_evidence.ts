/** Tells the tables of crashes how the answer of one instance to a generation began and ended. */
import * as hash from '../../base/common/hash';
import * as instanceTable from '../common/instance_table';
import * as callContext from './call_context';

/** Time after the first event from which the instance counts as having survived the beginning of the answer, in milliseconds. */
const SURVIVED_MILLISECONDS = 300;

/** The evidence that one segment of a stream gives. */
export class CrashEvidence {
  /** Monotonic milliseconds; undefined before the first event. */
  private firstEventAt: number | undefined;
  private isSurvived = false;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly instance: instanceTable.Instance,
  ) {}

  /** Whether the instance has survived the beginning of its answer. */
  get hasSurvived(): boolean {
    return this.isSurvived;
  }

  /** Records that events have arrived. */
  recordEvents(now: number): void {
    this.firstEventAt ??= now;
    if (now - this.firstEventAt >= SURVIVED_MILLISECONDS) {
      this.recordSurvival(now);
    }
  }

  /** Records that the stream is complete. */
  recordCompletion(now: number): void {
    const {services, call} = this.context;
    services.crashes.clear(call.fingerprint, now);
    this.recordSurvival(now);
  }

  /** Records that the instance broke off its answer; `isAbandoned` if this gateway closed the connection. Resolves when the parts of the prompt are judged. */
  async recordLoss(now: number, isAbandoned: boolean): Promise<void> {
    this.context.recordCrash(this.instance);
    const {sharedParts} = this.context.call.caller;
    if (!this.hasSurvived && !isAbandoned && sharedParts.length > 0) {
      await this.blameParts(now);
    }
  }

  /** Counts the loss against the parts of the prompt, unless the instance still answers and so broke off this answer only. */
  private async blameParts(lostAt: number): Promise<void> {
    const {services, call} = this.context;
    const report = await services.client.readReport(this.instance);
    if (report !== undefined) {
      return;
    }
    services.promptParts.recordCrash(
      call.caller.sharedParts,
      {
        life: instanceTable.lifeOf(this.instance.record),
        request: hash.hashOf(call.fingerprint).toString(36),
      },
      lostAt,
    );
  }

  private recordSurvival(now: number): void {
    if (!this.isSurvived) {
      this.isSurvived = true;
      const {services, call} = this.context;
      services.promptParts.recordBegun(call.caller.sharedParts, now);
    }
  }
}
