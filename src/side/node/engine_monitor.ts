/** Monitors the published load and the liveness of an engine. */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as httpClient from '../../base/node/http_client';
import * as log from '../../base/node/log';
import * as engineClient from '../../endpoint/common/engine_client';

const POLL_MILLISECONDS = 1_000;
/** Time without a response after which an engine is considered failed, in milliseconds. */
const FAILURE_TIMEOUT_MILLISECONDS = 5_000;

/** Polls the load of an engine and detects its failure or replacement. */
export class EngineMonitor implements disposable.Disposable {
  private readonly failureEvents = new rxjs.Subject<string>();
  private readonly startEvents = new rxjs.Subject<void>();
  private readonly poll: disposable.Disposable;
  private readonly logger = new log.Logger('engine');
  private lastResponseAt = performance.now();
  private isPolling = false;
  private isDisposed = false;
  private incarnation = '';
  /** Last published load; undefined before the first response. */
  load: engineClient.EngineLoad | undefined;
  isAlive = false;

  constructor(private readonly engine: engineClient.EngineClient) {
    this.poll = disposable.every(POLL_MILLISECONDS, () => void this.check());
    void this.check();
  }

  /** Fires with the reason when a live engine fails or is replaced. */
  get onDidFail(): rxjs.Observable<string> {
    return this.failureEvents;
  }

  /** Fires on the first response of an engine after a start or a failure. */
  get onDidStart(): rxjs.Observable<void> {
    return this.startEvents;
  }

  /** Polls the engine now, unless a poll is already in progress. */
  async check(): Promise<void> {
    if (this.isPolling || this.isDisposed) {
      return;
    }
    this.isPolling = true;
    try {
      this.onPollResponse(await this.engine.load());
    } catch (error) {
      this.onPollError(error);
    } finally {
      this.isPolling = false;
    }
  }

  dispose(): void {
    this.isDisposed = true;
    this.poll.dispose();
  }

  private onPollResponse(load: engineClient.EngineLoad): void {
    if (this.isDisposed) {
      return;
    }
    if (this.isAlive && load.engineIncarnation !== this.incarnation) {
      this.markFailed('the engine was replaced');
    }
    this.lastResponseAt = performance.now();
    this.incarnation = load.engineIncarnation;
    this.load = load;
    if (!this.isAlive) {
      this.isAlive = true;
      this.logger.info('engine answers', {
        incarnation: load.engineIncarnation,
      });
      this.startEvents.next();
    }
  }

  private onPollError(error: unknown): void {
    const isRefused = httpClient.neverSent(error);
    const isOverdue =
      performance.now() - this.lastResponseAt > FAILURE_TIMEOUT_MILLISECONDS;
    if (this.isAlive && (isRefused || isOverdue)) {
      this.markFailed(String(error));
    }
  }

  private markFailed(reason: string): void {
    this.isAlive = false;
    this.logger.info('engine died', {reason});
    this.failureEvents.next(reason);
  }
}
