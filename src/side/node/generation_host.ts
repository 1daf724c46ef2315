/** Lifecycle of generation attempts at one engine: admission, start, streaming, reattachment and end. */
import * as crypto from 'node:crypto';
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as tickLoop from '../../base/node/tick_loop';
import * as tracing from '../../base/node/tracing';
import * as admissionSystem from '../../decision/common/admission_system';
import * as attemptTable from '../../decision/common/attempt_table';
import * as detachmentSystem from '../../decision/common/detachment_system';
import * as lengthPredictor from '../../decision/common/length_predictor';
import * as throughputMeter from '../../decision/common/throughput_meter';
import * as engineClient from '../../endpoint/common/engine_client';
import * as linkMessages from '../../protocol/common/link_messages';
import * as sideCalls from '../../protocol/common/side_calls';
import * as engineMonitor from './engine_monitor';
import * as engineRunner from './engine_runner';
import * as linkHub from './link_hub';
import * as sideMetrics from './side_metrics';

const TICK_MILLISECONDS = 100;

/** Settings of a generation host. */
export interface GenerationHostOptions {
  readonly admission: admissionSystem.AdmissionPolicy;
  readonly detachment: detachmentSystem.DetachmentPolicy;
  /** Memory capacity assumed until the engine reports its own, in tokens. */
  readonly capacityTokens: number;
}

interface AttemptSpans {
  readonly admission: tracing.ActiveSpan;
  call: tracing.ActiveSpan | undefined;
}

/** Owns the attempt table of one engine. */
export class GenerationHost
  extends engineRunner.EngineRunnerListener
  implements disposable.Disposable
{
  readonly table = new attemptTable.AttemptTable();
  readonly monitor: engineMonitor.EngineMonitor;
  private readonly predictor = new lengthPredictor.LengthPredictor();
  private readonly admission: admissionSystem.AdmissionSystem;
  private readonly detachment: detachmentSystem.DetachmentSystem;
  private readonly throughput = new throughputMeter.ThroughputMeter();
  private readonly runner: engineRunner.EngineRunner;
  private readonly loop: tickLoop.TickLoop;
  /** Whether attempts were waiting at the end of the last tick. */
  private hadWaitingAttempts = false;
  private readonly spans = new Map<string, AttemptSpans>();

  constructor(
    engine: engineClient.EngineClient,
    private readonly options: GenerationHostOptions,
    private readonly links: () => linkHub.LinkHub,
    private readonly metrics: sideMetrics.SideMetrics,
    private readonly tracer: tracing.Tracer,
  ) {
    super();
    this.admission = new admissionSystem.AdmissionSystem(options.admission);
    this.detachment = new detachmentSystem.DetachmentSystem(options.detachment);
    this.monitor = new engineMonitor.EngineMonitor(engine);
    this.runner = new engineRunner.EngineRunner(engine, this);
    this.loop = new tickLoop.TickLoop(TICK_MILLISECONDS, () => this.tick());
    this.monitor.onDidFail.subscribe(reason => this.onDidEngineFail(reason));
    this.monitor.onDidStart.subscribe(() => this.loop.request());
  }

  /** Number of attempts that run or whose output may still be requested. */
  get unfinishedCount(): number {
    return this.table.size;
  }

  /** Accepts an attempt, or refuses it with a failure whose work state is NotRun. */
  start(input: sideCalls.StartAttempt): sideCalls.CallReply {
    if (this.table.get(input.attempt) !== undefined) {
      return {isAccepted: true};
    }
    const cause = this.refusal(input);
    if (cause !== undefined) {
      this.metrics.refusals.inc({code: String(cause.code)});
      return {isAccepted: false, failure: cause};
    }
    const request = input.request;
    const distribution = this.predictor.distribution(
      request.customer,
      request.route,
    );
    const now = performance.now();
    this.table.add(input.attempt, request, distribution, input.link, now);
    const parent = tracing.traceFromHeader(input.traceparent);
    this.spans.set(input.attempt, {
      admission: this.tracer.start('side.admission', parent),
      call: undefined,
    });
    this.metrics.attempts.inc();
    this.loop.request();
    return {isAccepted: true};
  }

  /** Withdraws an attempt so that it cannot start any more; reports whether it had started before. */
  tombstone(id: string): sideCalls.TombstoneReply {
    const attempt = this.table.get(id);
    const now = performance.now();
    if (attempt === undefined) {
      return tombstoneReply(this.table.addTombstone(id, now).neverStarted);
    }
    if (attempt.state === attemptTable.AttemptState.Waiting) {
      this.drop(attempt);
    }
    return tombstoneReply(attempt.startedAt === 0);
  }

  /** Sends the output of an attempt to a link, starting at an index. */
  attach(input: sideCalls.Attach): sideCalls.CallReply {
    const attempt = this.table.get(input.attempt);
    if (attempt === undefined || attempt.request.customer !== input.customer) {
      const message = 'the generation is no longer held here';
      return {
        isAccepted: false,
        failure: failure.ran(resultCode.ResultCode.StreamExpired, message),
      };
    }
    attempt.link = input.link;
    attempt.isPaused = false;
    attempt.isDelivered = false;
    attempt.nextToSend = Math.min(input.fromIndex, attempt.tokens.length);
    this.links().markPending(attempt);
    this.loop.request();
    return {isAccepted: true};
  }

  detach(input: sideCalls.Detach): void {
    const attempt = this.table.get(input.attempt);
    if (attempt === undefined) {
      return;
    }
    if (input.isPause) {
      attempt.isPaused = true;
      return;
    }
    attempt.isDelivered = input.isDelivered === true;
    this.markDetached(attempt);
  }

  /** Cancels an attempt if it is open and discards its output. */
  release(id: string): void {
    const attempt = this.table.get(id);
    if (attempt === undefined) {
      this.table.addTombstone(id, performance.now());
      return;
    }
    this.drop(attempt);
  }

  /** Marks every attempt on the link as detached. */
  onDidLoseLink(link: string): void {
    for (const attempt of this.table.all()) {
      if (attempt.link === link) {
        this.markDetached(attempt);
      }
    }
  }

  /** Returns the current load report. */
  load(isLeaving: boolean, revision: number): linkMessages.LoadReport {
    const waiting = this.table.waiting();
    const running = this.table.running();
    let outstandingTokens = 0;
    for (const attempt of [...waiting, ...running]) {
      outstandingTokens += attempt.distribution.expectedRemaining(
        attempt.tokens.length,
        attempt.request.maxTokens,
      );
    }
    return {
      running: running.length,
      waiting: waiting.length,
      memoryPressure: roundPressure(
        this.admission.pressure(this.table, this.engineView()),
      ),
      outstandingTokens: Math.round(outstandingTokens),
      isLeaving,
      isEndpointAlive: this.monitor.isAlive,
      revision,
    };
  }

  onDidReceiveToken(attempt: attemptTable.Attempt, text: string): void {
    attempt.tokens.push(text);
    this.updateLengthPrediction(attempt);
    this.throughput.add(1, performance.now(), this.hadWaitingAttempts);
    this.metrics.tokens.inc();
    this.admission.charge(attempt, 1);
    this.links().markPending(attempt);
    this.loop.request();
  }

  onDidFinish(attempt: attemptTable.Attempt, finishReason: string): void {
    attempt.finishReason = finishReason;
    const {customer, route} = attempt.request;
    this.predictor.finish(customer, route, attempt.tokens.length);
    this.end(attempt, attemptTable.AttemptState.Completed);
  }

  onDidFail(attempt: attemptTable.Attempt, cause: failure.Failure): void {
    attempt.failure = cause;
    this.end(attempt, attemptTable.AttemptState.Failed);
  }

  onDidLoseStream(): void {
    void this.monitor.check();
  }

  dispose(): void {
    this.loop.dispose();
    this.monitor.dispose();
    this.runner.dispose();
  }

  private refusal(input: sideCalls.StartAttempt): failure.Failure | undefined {
    if (this.table.hasTombstone(input.attempt)) {
      return failure.notRun(
        resultCode.ResultCode.AttemptTombstoned,
        'the attempt was withdrawn',
      );
    }
    if (!this.monitor.isAlive) {
      return failure.notRun(
        resultCode.ResultCode.EndpointLost,
        'the engine does not respond',
        1,
      );
    }
    return this.admission.refuse(input.request, this.table, this.engineView());
  }

  private tick(): void {
    const now = performance.now();
    if (this.monitor.isAlive) {
      this.startAdmitted(now);
    }
    for (const attempt of this.detachment.findExpired(this.table, now)) {
      this.drop(attempt);
    }
    this.links().flush();
    const waiting = this.table.waiting().length;
    this.hadWaitingAttempts = waiting > 0;
    this.metrics.waiting.set(waiting);
    this.metrics.running.set(this.table.running().length);
  }

  private startAdmitted(now: number): void {
    for (const attempt of this.admission.admit(
      this.table,
      this.engineView(),
      now,
    )) {
      attempt.state = attemptTable.AttemptState.Running;
      attempt.startedAt = now;
      this.metrics.waitSeconds.observe((now - attempt.arrivedAt) / 1000);
      const spans = this.spans.get(attempt.id);
      if (spans !== undefined) {
        spans.admission.end();
        spans.call = this.tracer.start(
          'side.endpoint_call',
          spans.admission.context,
        );
      }
      this.runner.start(attempt);
    }
  }

  private engineView(): admissionSystem.EngineView {
    return {
      capacityTokens:
        this.monitor.load?.capacityTokens ?? this.options.capacityTokens,
      tokensPerSecond: this.throughput.capacityPerSecond,
    };
  }

  private onDidEngineFail(reason: string): void {
    const running = this.table.running();
    this.links().queueCrash({
      death: crypto.randomUUID(),
      fingerprints: [
        ...new Set(running.map(attempt => attempt.request.fingerprint)),
      ],
    });
    for (const attempt of running) {
      this.onDidFail(
        attempt,
        failure.ran(resultCode.ResultCode.EndpointLost, reason),
      );
    }
    for (const attempt of this.table.waiting()) {
      this.onDidFail(
        attempt,
        failure.notRun(resultCode.ResultCode.EndpointLost, reason, 1),
      );
    }
    this.links().sendHeartbeats();
  }

  private end(
    attempt: attemptTable.Attempt,
    state:
      attemptTable.AttemptState.Completed | attemptTable.AttemptState.Failed,
  ): void {
    this.releaseAdmission(attempt);
    this.runner.stopFollowing(attempt);
    this.table.end(attempt, state, performance.now());
    this.endSpans(attempt);
    this.links().markPending(attempt);
    this.loop.request();
  }

  private updateLengthPrediction(attempt: attemptTable.Attempt): void {
    const {customer, route} = attempt.request;
    const length = attempt.tokens.length;
    this.predictor.advance(customer, route, length - 1, length);
  }

  private releaseAdmission(attempt: attemptTable.Attempt): void {
    if (attempt.state === attemptTable.AttemptState.Running) {
      this.admission.release(attempt);
    }
  }

  private endSpans(attempt: attemptTable.Attempt): void {
    const spans = this.spans.get(attempt.id);
    spans?.admission.end();
    spans?.call?.end({
      tokens: String(attempt.tokens.length),
      state: attempt.state,
    });
    this.spans.delete(attempt.id);
  }

  private markDetached(attempt: attemptTable.Attempt): void {
    attempt.link = '';
    attempt.isPaused = false;
    attempt.detachedAt = performance.now();
  }

  private drop(attempt: attemptTable.Attempt): void {
    if (attempt.state === attemptTable.AttemptState.Running) {
      this.releaseAdmission(attempt);
      this.runner.cancel(attempt);
      this.metrics.cancellations.inc();
    }
    this.endSpans(attempt);
    this.table.remove(attempt, performance.now());
    this.loop.request();
  }
}

function tombstoneReply(neverStarted: boolean): sideCalls.TombstoneReply {
  return {
    state: neverStarted
      ? sideCalls.TombstoneState.NeverStarted
      : sideCalls.TombstoneState.Started,
  };
}

/** Rounds to three digits: enough for placement, and keeps load reports short. */
function roundPressure(pressure: number): number {
  return Math.round(pressure * 1000) / 1000;
}
