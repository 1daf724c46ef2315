/** A caller's generation while it waits for admission. */
import * as generationGate from '../common/admission/generation_gate';
import * as generationQueue from '../common/generation_queue';
import * as callContext from './call_context';

/** A generation that waits for admission. */
export interface WaitingCall extends generationQueue.WaitingGeneration {
  readonly context: callContext.CallContext;
  readonly expectedTokens: number;
  /** Why it was held back at its last attempt to start. */
  heldBy: generationGate.HoldReason | undefined;
  /** Whether it counts as held back in the metrics. */
  wasHeld: boolean;
}

/** Memory that the generation is expected to need at its end, in tokens. */
export function sizeOf({context, expectedTokens}: WaitingCall): number {
  return context.call.caller.promptTokens + expectedTokens;
}
