/** A text generation for a caller, and the sink of its output. */
import * as failure from '../../base/common/failure';
import * as tracing from '../../base/node/tracing';
import * as generationMachine from '../../decision/common/generation_machine';
import * as generationRequest from '../../protocol/common/generation_request';

/** Receives the output of one generation. */
export abstract class GenerationSink {
  abstract deliver(
    target: generationMachine.AttemptTarget,
    index: number,
    texts: readonly string[],
  ): void;
  abstract finish(
    target: generationMachine.AttemptTarget,
    finishReason: string,
    length: number,
  ): void;
  abstract fail(cause: failure.Failure): void;
  /** Whether the output should be paused because the caller reads too slowly. */
  abstract get isSlow(): boolean;
}

/** A text generation for a caller, across all its attempts. */
export class Generation {
  isPaused = false;
  /** When placement first found no usable instance, in monotonic milliseconds; 0 if it never did. */
  pendingSince = 0;

  constructor(
    readonly request: generationRequest.GenerationRequest,
    readonly endpoints: readonly string[],
    readonly sink: GenerationSink,
    readonly machine: generationMachine.GenerationMachine,
    readonly trace: tracing.TraceContext,
    readonly expectedTokens: number,
  ) {}
}
