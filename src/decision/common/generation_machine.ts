/**
 * State machine of one generation of a caller: placement, hand-off, delivery,
 * retries and completion. It does no I/O: each event returns the commands to
 * execute.
 */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as linkMessages from '../../protocol/common/link_messages';
import * as sideCalls from '../../protocol/common/side_calls';

/** Phase of a generation. */
export enum GenerationPhase {
  Placing = 'placing',
  HandingOff = 'handing-off',
  /** The reply to the hand-off was lost, and the attempt is being withdrawn. */
  Withdrawing = 'withdrawing',
  Running = 'running',
  Done = 'done',
}

/** Kind of a command to the owner of a generation. */
export enum CommandKind {
  Place = 'place',
  Handoff = 'handoff',
  Withdraw = 'withdraw',
  Attach = 'attach',
  Release = 'release',
  Deliver = 'deliver',
  Finish = 'finish',
  Fail = 'fail',
}

/** One attempt at one incarnation of a side process. */
export interface AttemptTarget {
  readonly attempt: string;
  readonly instance: string;
  readonly incarnation: string;
}

/** A command that the owner of a generation must execute. */
export type Command =
  | {readonly kind: CommandKind.Place}
  | {readonly kind: CommandKind.Handoff; readonly target: AttemptTarget}
  | {readonly kind: CommandKind.Withdraw; readonly target: AttemptTarget}
  | {
      readonly kind: CommandKind.Attach;
      readonly target: AttemptTarget;
      readonly fromIndex: number;
    }
  | {readonly kind: CommandKind.Release; readonly target: AttemptTarget}
  | {
      readonly kind: CommandKind.Deliver;
      readonly index: number;
      readonly texts: readonly string[];
    }
  | {
      readonly kind: CommandKind.Finish;
      readonly finishReason: string;
      readonly length: number;
    }
  | {readonly kind: CommandKind.Fail; readonly cause: failure.Failure};

/** Decides whether another attempt may be made after one at the instance. */
export type RetryPermission = (instance: string) => boolean;

/** Maximum number of endpoint instances that one generation may try. */
const MAX_ATTEMPTS = 4;
/** Number of overload refusals by endpoints after which the caller is refused. */
const MAX_OVERLOAD_REFUSALS = 2;

/** State machine of one generation. */
export class GenerationMachine {
  readonly excluded = new Set<string>();
  phase = GenerationPhase.Placing;
  target: AttemptTarget | undefined;
  private received = 0;
  private attempts = 0;
  private overloadRefusals = 0;
  private lastCause: failure.Failure | undefined;
  private mayHaveRun = false;
  private hasRun = false;

  /** With `isStreaming`, each token is delivered as it arrives; once one was delivered, the generation is not run again. */
  constructor(
    private readonly isStreaming: boolean,
    private readonly mayRetry: RetryPermission,
  ) {}

  /** Number of tokens received from the current attempt. */
  get receivedCount(): number {
    return this.received;
  }

  /** Continues an attempt that another entry started. */
  resume(target: AttemptTarget, fromIndex: number): Command[] {
    this.target = target;
    this.received = fromIndex;
    this.hasRun = true;
    this.phase = GenerationPhase.Running;
    return [{kind: CommandKind.Attach, target, fromIndex}];
  }

  /** Event: an endpoint instance was chosen. */
  placed(target: AttemptTarget): Command[] {
    if (this.phase !== GenerationPhase.Placing) {
      return [];
    }
    this.target = target;
    this.attempts++;
    this.received = 0;
    this.phase = GenerationPhase.HandingOff;
    return [{kind: CommandKind.Handoff, target}];
  }

  /** Event: no endpoint instance accepts the work. */
  placementFailed(cause: failure.Failure): Command[] {
    if (this.phase !== GenerationPhase.Placing) {
      return [];
    }
    return this.fail(this.lastCause ?? cause);
  }

  /** Event: the request must not be placed again, whatever happened before. */
  refuse(cause: failure.Failure): Command[] {
    if (this.phase !== GenerationPhase.Placing) {
      return [];
    }
    return this.fail(cause);
  }

  /** Event: the side process replied to the hand-off. */
  handoffReplied(attempt: string, reply: sideCalls.CallReply): Command[] {
    if (!this.isCurrent(attempt) || this.phase !== GenerationPhase.HandingOff) {
      return [];
    }
    if (reply.isAccepted) {
      this.phase = GenerationPhase.Running;
      return [];
    }
    return this.handleRefusal(reply.failure!);
  }

  /** Event: the hand-off failed in transit. */
  handoffLost(attempt: string, neverReached: boolean): Command[] {
    if (!this.isCurrent(attempt) || this.phase !== GenerationPhase.HandingOff) {
      return [];
    }
    if (neverReached) {
      const message = 'the side process cannot be reached';
      return this.handleRefusal(
        failure.notRun(resultCode.ResultCode.EndpointLost, message, 1),
      );
    }
    this.phase = GenerationPhase.Withdrawing;
    return [{kind: CommandKind.Withdraw, target: this.target!}];
  }

  /** Event: the side process reported the state of the withdrawn attempt. */
  withdrawn(attempt: string, state: sideCalls.TombstoneState): Command[] {
    if (
      !this.isCurrent(attempt) ||
      this.phase !== GenerationPhase.Withdrawing
    ) {
      return [];
    }
    if (state === sideCalls.TombstoneState.Started) {
      this.phase = GenerationPhase.Running;
      return [
        {
          kind: CommandKind.Attach,
          target: this.target!,
          fromIndex: this.received,
        },
      ];
    }
    if (state === sideCalls.TombstoneState.IncarnationGone) {
      return this.handleLoss(
        'the side process was replaced during the hand-off',
      );
    }
    return this.handleRefusal(
      failure.notRun(
        resultCode.ResultCode.EndpointLost,
        'the hand-off was withdrawn',
        1,
      ),
    );
  }

  /** Event: tokens arrived. Duplicates and tokens of other attempts are dropped. */
  tokensArrived(frame: linkMessages.TokenFrame): Command[] {
    if (!this.isCurrent(frame.attempt) || this.phase === GenerationPhase.Done) {
      return [];
    }
    this.markRunning();
    if (frame.index > this.received) {
      return [
        {
          kind: CommandKind.Attach,
          target: this.target!,
          fromIndex: this.received,
        },
      ];
    }
    const texts = frame.texts.slice(this.received - frame.index);
    if (texts.length === 0) {
      return [];
    }
    const index = this.received;
    this.received += texts.length;
    return [{kind: CommandKind.Deliver, index, texts}];
  }

  /** Event: the attempt ended. */
  ended(frame: linkMessages.EndFrame): Command[] {
    if (!this.isCurrent(frame.attempt) || this.phase === GenerationPhase.Done) {
      return [];
    }
    this.markRunning();
    if (frame.length > this.received) {
      return [
        {
          kind: CommandKind.Attach,
          target: this.target!,
          fromIndex: this.received,
        },
      ];
    }
    if (frame.outcome === linkMessages.AttemptOutcome.Completed) {
      this.phase = GenerationPhase.Done;
      return [
        {
          kind: CommandKind.Finish,
          finishReason: frame.finishReason ?? 'stop',
          length: frame.length,
        },
      ];
    }
    const code = frame.code ?? resultCode.ResultCode.EndpointError;
    const message = frame.message ?? 'the endpoint failed';
    const workState = frame.workState ?? resultCode.WorkState.Unknown;
    return this.attemptFailed({
      code,
      message,
      workState,
      retryAfterSeconds: frame.retryAfterSeconds,
    });
  }

  /** Event: the side process refused to attach to the attempt. */
  attachRefused(attempt: string, cause: failure.Failure): Command[] {
    if (!this.isCurrent(attempt) || this.phase !== GenerationPhase.Running) {
      return [];
    }
    return this.attemptFailed(cause);
  }

  /** Event: a new link to the same incarnation is up; output resumes where it stopped. */
  linkRestored(): Command[] {
    if (this.phase !== GenerationPhase.Running) {
      return [];
    }
    return [
      {
        kind: CommandKind.Attach,
        target: this.target!,
        fromIndex: this.received,
      },
    ];
  }

  /** Event: the incarnation that runs the attempt is gone. */
  instanceLost(reason: string): Command[] {
    if (
      this.phase === GenerationPhase.Done ||
      this.phase === GenerationPhase.Placing
    ) {
      return [];
    }
    return this.handleLoss(reason);
  }

  /** Event: the caller no longer needs the output. */
  abandon(): Command[] {
    const isPastHandoff =
      this.target !== undefined && this.phase !== GenerationPhase.Placing;
    const wasDone = this.phase === GenerationPhase.Done;
    this.phase = GenerationPhase.Done;
    return isPastHandoff && !wasDone
      ? [{kind: CommandKind.Release, target: this.target!}]
      : [];
  }

  private isCurrent(attempt: string): boolean {
    return this.target?.attempt === attempt;
  }

  /** Output proves that the hand-off was accepted, even if its reply is late or lost. */
  private markRunning(): void {
    this.hasRun = true;
    this.phase = GenerationPhase.Running;
  }

  private handleLoss(reason: string): Command[] {
    const wasRunning = this.phase === GenerationPhase.Running;
    const createFailure = wasRunning ? failure.ran : failure.unknownOutcome;
    return this.attemptFailed(
      createFailure(resultCode.ResultCode.EndpointLost, reason, 1),
    );
  }

  /** Handles an attempt that was refused before it started. */
  private handleRefusal(cause: failure.Failure): Command[] {
    if (cause.code === resultCode.ResultCode.Overloaded) {
      this.overloadRefusals++;
    }
    if (this.overloadRefusals >= MAX_OVERLOAD_REFUSALS) {
      return this.fail(cause);
    }
    return this.retry(cause);
  }

  /** Handles an attempt that ended without completing. */
  private attemptFailed(cause: failure.Failure): Command[] {
    this.hasRun = this.hasRun || cause.workState === resultCode.WorkState.Ran;
    this.mayHaveRun =
      this.mayHaveRun || cause.workState === resultCode.WorkState.Unknown;
    const hasDelivered = this.isStreaming && this.received > 0;
    if (hasDelivered) {
      const message = `interrupted after ${this.received} tokens: ${cause.message}`;
      return this.fail(failure.ran(resultCode.ResultCode.Interrupted, message));
    }
    const isRepeatable =
      cause.code === resultCode.ResultCode.EndpointLost ||
      cause.code === resultCode.ResultCode.StreamExpired;
    return isRepeatable ? this.retry(cause) : this.fail(cause);
  }

  private retry(cause: failure.Failure): Command[] {
    const previous = this.target!;
    this.lastCause = cause;
    this.excluded.add(previous.instance);
    // Late output of this attempt must be dropped before the request is placed on another instance.
    this.target = undefined;
    this.received = 0;
    if (this.attempts >= MAX_ATTEMPTS) {
      return this.fail(cause);
    }
    if (!this.mayRetry(previous.instance)) {
      const message = `no retries are left after: ${cause.message}`;
      return this.fail({
        ...cause,
        code: resultCode.ResultCode.RetryBudgetSpent,
        message,
      });
    }
    this.phase = GenerationPhase.Placing;
    return [{kind: CommandKind.Place}];
  }

  private fail(cause: failure.Failure): Command[] {
    this.phase = GenerationPhase.Done;
    return [
      {
        kind: CommandKind.Fail,
        cause: {...cause, workState: this.workState(cause)},
      },
    ];
  }

  /** A failure is "not run" only if that holds for every attempt. */
  private workState(cause: failure.Failure): resultCode.WorkState {
    if (this.hasRun || cause.workState === resultCode.WorkState.Ran) {
      return resultCode.WorkState.Ran;
    }
    return this.mayHaveRun ? resultCode.WorkState.Unknown : cause.workState;
  }
}
