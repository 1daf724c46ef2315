/**
 * Steps one generation of a caller through placement, hand-off, delivery,
 * retries and its end. It does no I/O: events go in, commands come out.
 */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as linkMessages from '../../protocol/common/link_messages';
import * as sideCalls from '../../protocol/common/side_calls';

/** Where a generation stands. */
export enum GenerationPhase {
  Placing = 'placing',
  HandingOff = 'handing-off',
  /** The hand-off's reply was lost, and the attempt is being withdrawn. */
  Withdrawing = 'withdrawing',
  Running = 'running',
  Done = 'done',
}

/** What the owner of a generation must do next. */
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

/** A step for the owner of a generation. */
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

/** Decides whether a further attempt may be made. */
export type RetryPermission = (instance: string) => boolean;

/** Endpoint instances that one generation may try. */
const MAX_ATTEMPTS = 4;
/** Endpoints that may refuse for overload before the caller is refused. */
const MAX_OVERLOAD_REFUSALS = 2;

/** State of one generation. */
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

  /** With isDeliveredAtOnce each token goes out as it comes, and then no second run is allowed. */
  constructor(
    private readonly isStreaming: boolean,
    private readonly mayRetry: RetryPermission,
  ) {}

  /** Number of tokens accepted from the current attempt. */
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

  /** An endpoint instance was chosen. */
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

  /** No endpoint instance takes the work. */
  placementFailed(cause: failure.Failure): Command[] {
    if (this.phase !== GenerationPhase.Placing) {
      return [];
    }
    return this.fail(this.lastCause ?? cause);
  }

  /** The request must not be placed again, whatever happened before. */
  refuse(cause: failure.Failure): Command[] {
    if (this.phase !== GenerationPhase.Placing) {
      return [];
    }
    return this.fail(cause);
  }

  /** The side process answered the hand-off. */
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

  /** The hand-off failed on the way. */
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

  /** The side process told what became of the withdrawn attempt. */
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

  /** Tokens arrived. Those known already and those of other attempts are dropped. */
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

  /** The attempt ended. */
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

  /** The side process refused to go on with an attempt that was attached to. */
  attachRefused(attempt: string, cause: failure.Failure): Command[] {
    if (!this.isCurrent(attempt) || this.phase !== GenerationPhase.Running) {
      return [];
    }
    return this.attemptFailed(cause);
  }

  /** A new link to the same incarnation is up; output goes on where it stopped. */
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

  /** The incarnation that the attempt was given to is gone. */
  instanceLost(reason: string): Command[] {
    if (
      this.phase === GenerationPhase.Done ||
      this.phase === GenerationPhase.Placing
    ) {
      return [];
    }
    return this.handleLoss(reason);
  }

  /** The caller needs nothing more. */
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

  /** Output proves that the hand-off was accepted, even when its reply is late or lost. */
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

  /** An attempt was refused before it started. */
  private handleRefusal(cause: failure.Failure): Command[] {
    if (cause.code === resultCode.ResultCode.Overloaded) {
      this.overloadRefusals++;
    }
    if (this.overloadRefusals >= MAX_OVERLOAD_REFUSALS) {
      return this.fail(cause);
    }
    return this.retry(cause);
  }

  /** An attempt ended without completing. */
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
    // The request may only be given to another instance once nothing of this attempt can still arrive.
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

  /** A refusal is "not run" only if that holds for every attempt made. */
  private workState(cause: failure.Failure): resultCode.WorkState {
    if (this.hasRun || cause.workState === resultCode.WorkState.Ran) {
      return resultCode.WorkState.Ran;
    }
    return this.mayHaveRun ? resultCode.WorkState.Unknown : cause.workState;
  }
}
