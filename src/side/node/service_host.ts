/** Calls to one plain service. Each attempt runs at most once, and its response is retained. */
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as tracing from '../../base/node/tracing';
import * as serviceClient from '../../endpoint/common/service_client';
import * as linkMessages from '../../protocol/common/link_messages';
import * as sideCalls from '../../protocol/common/side_calls';

const HEALTH_POLL_MILLISECONDS = 1_000;

interface CallRecord {
  readonly reply: Promise<sideCalls.ServiceReply>;
  /** Monotonic milliseconds; Infinity while the call runs. */
  endedAt: number;
}

/** Forwards calls to a plain service and retains their responses. */
export class ServiceHost implements disposable.Disposable {
  private readonly calls = new Map<string, CallRecord>();
  /** Monotonic time in milliseconds at which each tombstone was added, by attempt. */
  private readonly tombstones = new Map<string, number>();
  private readonly poll: disposable.Disposable;
  private running = 0;
  private isAlive = false;

  constructor(
    private readonly service: serviceClient.ServiceClient,
    private readonly retentionMilliseconds: number,
    private readonly tracer: tracing.Tracer,
  ) {
    this.poll = disposable.every(
      HEALTH_POLL_MILLISECONDS,
      () => void this.check(),
    );
    void this.check();
  }

  get runningCount(): number {
    return this.running;
  }

  /** Whether the attempt was started here. */
  hasAttempt(attempt: string): boolean {
    return this.calls.has(attempt);
  }

  /** Forwards a call; a repeat of the same attempt gets the response of the first one. */
  call(input: sideCalls.ServiceCall): Promise<sideCalls.ServiceReply> {
    const existing = this.calls.get(input.attempt);
    if (existing !== undefined) {
      return existing.reply;
    }
    if (this.tombstones.has(input.attempt)) {
      const cause = failure.notRun(
        resultCode.ResultCode.AttemptTombstoned,
        'the attempt was withdrawn',
      );
      return Promise.resolve({failure: cause});
    }
    const record: CallRecord = {reply: this.run(input), endedAt: Infinity};
    this.calls.set(input.attempt, record);
    void record.reply.then(() => (record.endedAt = performance.now()));
    return record.reply;
  }

  /** Withdraws a call so that it cannot start any more; reports whether it had started before. */
  tombstone(id: string): sideCalls.TombstoneReply {
    if (this.calls.has(id)) {
      return {state: sideCalls.TombstoneState.Started};
    }
    this.tombstones.set(id, performance.now());
    return {state: sideCalls.TombstoneState.NeverStarted};
  }

  load(isLeaving: boolean, revision: number): linkMessages.LoadReport {
    return {
      running: this.running,
      waiting: 0,
      memoryPressure: 0,
      outstandingTokens: 0,
      isLeaving,
      isEndpointAlive: this.isAlive,
      revision,
    };
  }

  dispose(): void {
    this.poll.dispose();
  }

  private async run(
    input: sideCalls.ServiceCall,
  ): Promise<sideCalls.ServiceReply> {
    const span = this.tracer.start(
      'side.endpoint_call',
      tracing.traceFromHeader(input.traceparent),
    );
    this.running++;
    try {
      const result = await this.service.call(input);
      return result.match<sideCalls.ServiceReply>(
        answer => ({answer}),
        error => ({failure: failureOf(error)}),
      );
    } finally {
      this.running--;
      span.end();
    }
  }

  private async check(): Promise<void> {
    this.evictExpired();
    this.isAlive = await this.service.isAlive().catch(() => false);
  }

  private evictExpired(): void {
    const retentionCutoff = performance.now() - this.retentionMilliseconds;
    for (const [id, record] of this.calls) {
      if (record.endedAt < retentionCutoff) {
        this.calls.delete(id);
        this.tombstones.set(id, performance.now());
      }
    }
    const tombstoneCutoff = retentionCutoff - this.retentionMilliseconds * 10;
    for (const [id, addedAt] of this.tombstones) {
      if (addedAt >= tombstoneCutoff) {
        break;
      }
      this.tombstones.delete(id);
    }
  }
}

function failureOf(error: serviceClient.ServiceError): failure.Failure {
  if (error === serviceClient.ServiceError.NotSent) {
    return failure.notRun(
      resultCode.ResultCode.EndpointLost,
      'the service does not accept connections',
      1,
    );
  }
  return failure.unknownOutcome(
    resultCode.ResultCode.OutcomeUnknown,
    'the service did not respond',
  );
}
