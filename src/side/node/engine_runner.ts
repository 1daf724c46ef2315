/** Runs attempts on an engine and resumes their streams after lost or idle connections. */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as admissionSystem from '../../decision/common/admission_system';
import * as attemptTable from '../../decision/common/attempt_table';
import * as engineClient from '../../endpoint/common/engine_client';

const RESUME_DELAY_MILLISECONDS = 100;

/** Receives the output and the end of each attempt. */
export abstract class EngineRunnerListener {
  abstract onDidReceiveToken(attempt: attemptTable.Attempt, text: string): void;
  abstract onDidFinish(
    attempt: attemptTable.Attempt,
    finishReason: string,
  ): void;
  abstract onDidFail(
    attempt: attemptTable.Attempt,
    cause: failure.Failure,
  ): void;
  /** Called when a stream was lost; the engine may have failed. */
  abstract onDidLoseStream(): void;
}

/** Follows the event stream of one attempt. */
class EngineRun implements disposable.Disposable {
  private subscription: rxjs.Subscription | undefined;
  private resumeTimer: NodeJS.Timeout | undefined;
  private isDisposed = false;

  constructor(
    private readonly engine: engineClient.EngineClient,
    private readonly attempt: attemptTable.Attempt,
    private readonly listener: EngineRunnerListener,
  ) {}

  start(): void {
    const request = this.attempt.request;
    this.subscribe(
      this.engine.start({
        run: this.attempt.id,
        model: request.model,
        prompt: request.prompt,
        maxTokens: request.maxTokens,
        priority: admissionSystem.enginePriority(request.requestClass),
      }),
    );
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.resumeTimer);
    this.subscription?.unsubscribe();
  }

  private subscribe(events: rxjs.Observable<engineClient.EngineEvent>): void {
    this.subscription = events.subscribe({
      next: event => this.onEvent(event),
      error: error => this.onError(error as engineClient.EngineError),
    });
  }

  private onEvent(event: engineClient.EngineEvent): void {
    const expected = this.attempt.tokens.length;
    if (
      event.kind === engineClient.EngineEventKind.Token &&
      event.index === expected
    ) {
      return this.listener.onDidReceiveToken(this.attempt, event.text);
    }
    if (
      event.kind === engineClient.EngineEventKind.Finished &&
      event.index === expected
    ) {
      return this.listener.onDidFinish(
        this.attempt,
        event.finishReason ?? 'stop',
      );
    }
    if (event.index > expected) {
      // Tokens are missing, so the stream is reopened from the first missing one.
      this.subscription?.unsubscribe();
      this.scheduleResume();
    }
  }

  private onError(error: engineClient.EngineError): void {
    if (this.isDisposed) {
      return;
    }
    if (error.kind === engineClient.EngineErrorKind.Refused) {
      return this.listener.onDidFail(
        this.attempt,
        failure.notRun(resultCode.ResultCode.EndpointError, error.message),
      );
    }
    if (error.kind === engineClient.EngineErrorKind.RunUnknown) {
      const cause = failure.ran(
        resultCode.ResultCode.EndpointLost,
        'the engine has no record of the run',
      );
      return this.listener.onDidFail(this.attempt, cause);
    }
    this.listener.onDidLoseStream();
    this.scheduleResume();
  }

  private scheduleResume(): void {
    if (this.isDisposed) {
      return;
    }
    this.resumeTimer = setTimeout(() => {
      this.subscribe(
        this.engine.resume(this.attempt.id, this.attempt.tokens.length),
      );
    }, RESUME_DELAY_MILLISECONDS);
  }
}

/** Runs the attempts of one engine. */
export class EngineRunner implements disposable.Disposable {
  private readonly runs = new Map<string, EngineRun>();

  constructor(
    private readonly engine: engineClient.EngineClient,
    private readonly listener: EngineRunnerListener,
  ) {}

  start(attempt: attemptTable.Attempt): void {
    const run = new EngineRun(this.engine, attempt, this.listener);
    this.runs.set(attempt.id, run);
    run.start();
  }

  /** Closes the stream of an attempt that ended. */
  stopFollowing(attempt: attemptTable.Attempt): void {
    this.runs.get(attempt.id)?.dispose();
    this.runs.delete(attempt.id);
  }

  /** Cancels an attempt at the engine. A lost cancellation only wastes engine work; the caller is not affected. */
  cancel(attempt: attemptTable.Attempt): void {
    this.stopFollowing(attempt);
    this.engine.cancel(attempt.id).catch(() => undefined);
  }

  dispose(): void {
    this.runs.forEach(run => run.dispose());
    this.runs.clear();
  }
}
