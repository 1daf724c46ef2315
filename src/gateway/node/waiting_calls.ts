/** Generations of callers that wait for room at an engine. */
import * as generationGate from '../common/admission/generation_gate';
import * as generationQueue from '../common/generation_queue';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';
import * as generationAdmission from './generation_admission';
import * as generationRefusals from './generation_refusals';
import * as waitingCall from './waiting_call';

/** Attempts of one step that may fail for want of room at the same engines; the entries after those come later in the order and need it as well. */
const MAX_FAILED_ATTEMPTS = 3;

/** The run of a placed generation and its instance. */
export interface PlacedRun {
  readonly instance: instanceTable.Instance;
  readonly run: runTable.Run;
}

/** Where a generation was placed, or why it was not. */
export interface PlacementResult {
  readonly placed: PlacedRun | undefined;
  /** Monotonic milliseconds from which instances may take the generation; undefined unless all of them take no more requests now. */
  readonly retryAt?: number;
  /** Set if the gateway decided by its forecast when the caller may return. */
  readonly refusal?: generationRefusals.Refusal;
}

const NOT_PLACED: PlacementResult = {placed: undefined};

interface QueuedCall extends waitingCall.WaitingCall {
  readonly resolve: (result: PlacementResult) => void;
}

/** Starts and refuses waiting generations. */
export class WaitingCalls {
  private readonly queue = new generationQueue.GenerationQueue<QueuedCall>();

  constructor(
    private readonly admission: generationAdmission.GenerationAdmission,
    private readonly loads: () => runTable.GatewayLoadView,
    private readonly tryPlace: (
      waiting: waitingCall.WaitingCall,
    ) => PlacementResult | undefined,
  ) {}

  get length(): number {
    return this.queue.length;
  }

  /** Resolves when the generation is placed or refused. */
  place(
    context: callContext.CallContext,
    urgency: number,
    expectedTokens: number,
  ): Promise<PlacementResult> {
    return new Promise(resolve => {
      const waiting: QueuedCall = {
        ...this.admission.describe(context, urgency, expectedTokens),
        resolve,
      };
      if (!this.queue.add(waiting)) {
        const {QueueFull} = generationRefusals.RefusalReason;
        return this.refuse(waiting, QueueFull);
      }
      this.process();
      this.refuseByForecast(waiting);
    });
  }

  /** Starts the generations for which there is room, and refuses those that can no longer start in time. */
  process(): void {
    if (this.queue.length === 0) {
      return;
    }
    const results = new Map<QueuedCall, PlacementResult>();
    const failures = new Map<string, number>();
    // Urgency from which a customer's generations leave room for more urgent ones; the others of a step have no more room than the first.
    const reserved = new Map<string, number>();
    const {Reserve} = generationGate.HoldReason;
    const {started, refused} = this.queue.step(performance.now(), waiting => {
      if (waiting.context.isOver || waiting.context.endIfTooLate()) {
        return true;
      }
      const {call, softwareVersion = ''} = waiting.context;
      const key = `${call.endpointName}\n${softwareVersion}`;
      const failed = failures.get(key) ?? 0;
      if (failed >= MAX_FAILED_ATTEMPTS) {
        return false;
      }
      const customerKey = `${key}\n${waiting.competitor?.customer ?? ''}`;
      if (waiting.urgency >= (reserved.get(customerKey) ?? Infinity)) {
        waiting.heldBy = Reserve;
        return false;
      }
      const result = this.tryPlace(waiting);
      if (result !== undefined) {
        results.set(waiting, result);
      } else if (waiting.competitor?.lacksRoom === true) {
        failures.set(key, failed + 1);
      } else if (waiting.heldBy === Reserve) {
        reserved.set(customerKey, waiting.urgency);
      }
      return result !== undefined;
    });
    this.admission.recordWaiting(this.queue);
    started.forEach(waiting =>
      waiting.resolve(results.get(waiting) ?? NOT_PLACED),
    );
    const {Displaced, TooLate} = generationRefusals.RefusalReason;
    const now = performance.now();
    refused.forEach(waiting => {
      const isLate = now > generationQueue.latestStart(waiting);
      this.refuse(waiting, isLate ? TooLate : Displaced);
    });
  }

  private refuse(
    waiting: QueuedCall,
    reason: generationRefusals.RefusalReason,
  ): void {
    const refusal = this.admission.refusals.refuse(
      waiting,
      reason,
      this.queue,
      this.loads(),
      performance.now(),
    );
    waiting.resolve({placed: undefined, refusal});
  }

  /** Refuses a generation that has just been queued if it is not expected to start in time. */
  private refuseByForecast(waiting: QueuedCall): void {
    if (!this.queue.entries().includes(waiting)) {
      return;
    }
    const refusal = this.admission.refusals.findForecast(
      waiting,
      this.queue,
      this.loads(),
      performance.now(),
    );
    if (refusal !== undefined) {
      this.queue.remove(waiting);
      this.admission.recordWaiting(this.queue);
      waiting.resolve({placed: undefined, refusal});
    }
  }
}
