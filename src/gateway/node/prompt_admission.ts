/** Decides whether a generation may be sent to an engine, in view of crashes that parts of its prompt may have caused. */
import * as deadline from '../../base/common/deadline';
import * as resultCode from '../../base/common/result_code';
import * as promptPartBlame from '../common/prompt_part_blame';
import * as promptTrials from '../common/prompt_trials';
import * as callContext from './call_context';

const {Verdict} = promptPartBlame;

/** Retry delay while another prompt with the same parts is tried, in seconds. */
const TRIAL_RETRY_SECONDS = 1;

/** Parts that a log line names at most. */
const MAX_NAMED_PARTS = 8;

/** The admission of one call. */
export class PromptAdmission {
  private trial: promptTrials.PromptTrial | undefined;

  constructor(private readonly context: callContext.CallContext) {}

  /** Refuses a call that would need a trial while another one is under way; returns whether it has ended. */
  endIfTrialIsTaken(): boolean {
    const {services} = this.context;
    const parts = this.partsOnTrial();
    const isTaken =
      parts !== undefined &&
      services.promptTrials.isClaimed(parts, performance.now());
    if (isTaken) {
      this.endWithoutTrial();
    }
    return isTaken;
  }

  /** Resolves with whether the call may be sent now; it has ended otherwise. */
  async admit(): Promise<boolean> {
    const {context} = this;
    const parts = this.partsOnTrial();
    if (parts === undefined) {
      return true;
    }
    const trial = context.services.promptTrials.claim(parts, performance.now());
    if (trial === undefined) {
      this.endWithoutTrial();
      return false;
    }
    await deadline.delay(promptTrials.SETTLE_MILLISECONDS);
    if (context.isOver || context.endIfPoisoned()) {
      trial.end();
      return false;
    }
    if (this.partsOnTrial() === undefined) {
      trial.end();
      return true;
    }
    if (!trial.mayStart) {
      trial.end();
      this.endWithoutTrial();
      return false;
    }
    this.trial = trial;
    context.log('prompt-trial-started', {
      parts: parts.slice(0, MAX_NAMED_PARTS),
    });
    return true;
  }

  /** Ends the trial, once its outcome is known to all tables. */
  endTrial(): void {
    this.trial?.end();
    this.trial = undefined;
  }

  /** Parts of which only one prompt at a time may be sent; undefined if the call may simply be sent. */
  private partsOnTrial(): readonly string[] | undefined {
    const {services, call} = this.context;
    const {sharedParts} = call.caller;
    const judgement = services.promptParts.judge(
      sharedParts,
      performance.now(),
    );
    return judgement?.verdict === Verdict.Trial ? judgement.parts : undefined;
  }

  private endWithoutTrial(): void {
    this.context.endWithoutSend(
      resultCode.ResultCode.PoisonRequest,
      'another prompt is tried that shares parts which may crash engines',
      TRIAL_RETRY_SECONDS,
    );
  }
}
