/** Decides which waiting attempts are started on an engine. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as generationRequest from '../../protocol/common/generation_request';
import * as attemptTable from './attempt_table';
import * as fairShare from './fair_share';
import * as memoryForecast from './memory_forecast';
import * as prefixReferences from './prefix_references';
import * as prefixTable from './prefix_table';

/** Parameters of admission. */
export interface AdmissionPolicy {
  /** Safety margin of the memory forecast, in standard deviations. */
  readonly memoryDeviations: number;
  /** Share of the engine's memory that the forecast may fill. */
  readonly memoryShare: number;
  /** Share of the engine's memory that is reserved for quick work. */
  readonly quickReserve: number;
  /** Maximum number of attempts running on the engine. */
  readonly maxRunning: number;
  /** Waiting time after which a draft takes precedence over quick work, in milliseconds. */
  readonly draftPatienceMilliseconds: number;
  /** Expected waiting time beyond which quick work is refused, in milliseconds. */
  readonly quickWaitLimitMilliseconds: number;
  /** Expected waiting time beyond which drafts are refused, in milliseconds. */
  readonly draftWaitLimitMilliseconds: number;
  /** Whether the least served customer comes first; otherwise attempts are ordered by arrival. */
  readonly isFair: boolean;
  /** Whether quick work comes before drafts. */
  readonly isQuickFirst: boolean;
  /** Whether memory is forecast; otherwise an attempt is admitted if its prompt fits. */
  readonly usesForecast: boolean;
}

/** Defaults for a mix of short and long work. */
export const DEFAULT_ADMISSION_POLICY: AdmissionPolicy = {
  memoryDeviations: 1.5,
  memoryShare: 0.97,
  quickReserve: 0.03,
  maxRunning: 128,
  draftPatienceMilliseconds: 60_000,
  quickWaitLimitMilliseconds: 5_000,
  draftWaitLimitMilliseconds: 300_000,
  isFair: true,
  isQuickFirst: true,
  usesForecast: true,
};

/** Properties of the engine that admission considers. */
export interface EngineView {
  readonly capacityTokens: number;
  /** Recent output rate of the endpoint, in tokens per second. */
  readonly tokensPerSecond: number;
}

/** Priorities passed to engines; the highest runs first and is preempted last. */
const QUICK_PRIORITY = 2;
const DRAFT_PRIORITY = 1;

/** Returns the engine priority of a class of work. */
export function enginePriority(
  requestClass: generationRequest.RequestClass,
): number {
  return requestClass === generationRequest.RequestClass.Quick
    ? QUICK_PRIORITY
    : DRAFT_PRIORITY;
}

/** Admits attempts to one engine. */
export class AdmissionSystem {
  readonly shares = new fairShare.FairShare();
  private readonly prefixes = new prefixReferences.PrefixReferences();

  constructor(private readonly policy: AdmissionPolicy) {}

  /** Returns the waiting attempts that fit on the engine now, in the order in which to start them. Their prompt chunks count as held until `release`. */
  admit(
    table: attemptTable.AttemptTable,
    engine: EngineView,
    now: number,
  ): attemptTable.Attempt[] {
    const waiting = table.waiting();
    if (waiting.length === 0) {
      return [];
    }
    const running = table.running();
    this.shares.advance(
      [...waiting, ...running].map(attempt => attempt.request.customer),
    );
    const forecast = this.forecastOf(running);
    const admitted: attemptTable.Attempt[] = [];
    let hasSuspect = running.some(attempt => attempt.request.isSuspect);
    let candidates = waiting;
    while (candidates.length > 0) {
      if (running.length + admitted.length >= this.policy.maxRunning) {
        break;
      }
      const attempt = this.takeNext(candidates, now);
      if (attempt.request.isSuspect && hasSuspect) {
        continue;
      }
      const isEngineEmpty = running.length + admitted.length === 0;
      if (!isEngineEmpty && !this.fits(forecast, attempt, engine)) {
        if (isQuick(attempt)) {
          break;
        }
        // A draft that does not fit blocks other drafts, but not quick work, for which memory is reserved.
        candidates = candidates.filter(isQuick);
        continue;
      }
      forecast.add(this.memoryOf(attempt, 1));
      hasSuspect = hasSuspect || attempt.request.isSuspect;
      this.prefixes.acquire(attempt.chunks);
      admitted.push(attempt);
    }
    return admitted;
  }

  /** Releases the prompt chunks of an attempt that left the engine. */
  release(attempt: attemptTable.Attempt): void {
    this.prefixes.release(attempt.chunks);
  }

  /** Charges the customer of an attempt for its tokens. */
  charge(attempt: attemptTable.Attempt, tokens: number): void {
    this.shares.charge(
      attempt.request.customer,
      tokens,
      attempt.request.weight,
    );
  }

  /** Returns a failure if the request would wait too long; undefined otherwise. */
  refuse(
    request: generationRequest.GenerationRequest,
    table: attemptTable.AttemptTable,
    engine: EngineView,
  ): failure.Failure | undefined {
    const waitMilliseconds = this.expectedWait(request, table, engine);
    const isQuick =
      request.requestClass === generationRequest.RequestClass.Quick;
    const limit = isQuick
      ? this.policy.quickWaitLimitMilliseconds
      : this.policy.draftWaitLimitMilliseconds;
    if (waitMilliseconds <= limit) {
      return undefined;
    }
    const message = `about ${Math.round(waitMilliseconds / 1000)} s of ${request.requestClass} work is queued here`;
    const retryAfterSeconds = Math.ceil((waitMilliseconds - limit) / 1000) + 1;
    return failure.notRun(
      resultCode.ResultCode.Overloaded,
      message,
      retryAfterSeconds,
    );
  }

  /** Forecast peak memory of the running attempts as a share of the engine's capacity. */
  pressure(table: attemptTable.AttemptTable, engine: EngineView): number {
    return (
      this.forecastOf(table.running()).peak(this.policy.memoryDeviations) /
      Math.max(1, engine.capacityTokens)
    );
  }

  private fits(
    forecast: memoryForecast.MemoryForecast,
    attempt: attemptTable.Attempt,
    engine: EngineView,
  ): boolean {
    const reserve = isQuick(attempt) ? 0 : this.policy.quickReserve;
    const availableTokens =
      engine.capacityTokens * (this.policy.memoryShare - reserve);
    const memory = this.memoryOf(attempt, 1);
    return (
      forecast.peakWith(memory, this.policy.memoryDeviations) <= availableTokens
    );
  }

  /** Removes and returns the attempt to start first. */
  private takeNext(
    waiting: attemptTable.Attempt[],
    now: number,
  ): attemptTable.Attempt {
    let best = 0;
    for (let index = 1; index < waiting.length; index++) {
      if (this.compare(waiting[index], waiting[best], now) < 0) {
        best = index;
      }
    }
    return waiting.splice(best, 1)[0];
  }

  private compare(
    left: attemptTable.Attempt,
    right: attemptTable.Attempt,
    now: number,
  ): number {
    return (
      this.classRank(left, now) - this.classRank(right, now) ||
      this.compareWithinClass(left, right)
    );
  }

  private classRank(attempt: attemptTable.Attempt, now: number): number {
    if (!this.policy.isQuickFirst) {
      return 0;
    }
    if (
      !isQuick(attempt) &&
      now - attempt.arrivedAt > this.policy.draftPatienceMilliseconds
    ) {
      return 0;
    }
    return isQuick(attempt) ? 1 : 2;
  }

  private compareWithinClass(
    left: attemptTable.Attempt,
    right: attemptTable.Attempt,
  ): number {
    if (!this.policy.isFair) {
      return left.arrivedAt - right.arrivedAt;
    }
    const leftTime = this.shares.virtualTime(left.request.customer);
    const rightTime = this.shares.virtualTime(right.request.customer);
    return leftTime - rightTime || left.arrivedAt - right.arrivedAt;
  }

  private expectedWait(
    request: generationRequest.GenerationRequest,
    table: attemptTable.AttemptTable,
    engine: EngineView,
  ): number {
    const isQuick =
      request.requestClass === generationRequest.RequestClass.Quick;
    let tokensAhead = 0;
    for (const attempt of table.waiting()) {
      const isAhead =
        !isQuick ||
        attempt.request.requestClass === generationRequest.RequestClass.Quick;
      if (isAhead) {
        tokensAhead += attempt.distribution.expectedRemaining(
          0,
          attempt.request.maxTokens,
        );
      }
    }
    return (tokensAhead * 1000) / Math.max(1, engine.tokensPerSecond);
  }

  /** Forecasts the memory of running attempts; chunks shared by several attempts are counted once, as constant memory. */
  private forecastOf(
    running: readonly attemptTable.Attempt[],
  ): memoryForecast.MemoryForecast {
    const forecast = new memoryForecast.MemoryForecast(
      this.prefixes.sharedCount * prefixTable.CHUNK_TOKENS,
    );
    running.forEach(attempt => forecast.add(this.memoryOf(attempt, 2)));
    return forecast;
  }

  /** Returns the memory of an attempt without the leading prompt chunks held by at least `minimumHolders` running attempts. */
  private memoryOf(
    attempt: attemptTable.Attempt,
    minimumHolders: number,
  ): memoryForecast.GenerationMemory {
    const generated = attempt.tokens.length;
    const shared = this.prefixes.countHeldChunks(
      attempt.chunks,
      minimumHolders,
    );
    const {promptTokens, maxTokens} = attempt.request;
    return {
      promptTokens: promptTokens - shared * prefixTable.CHUNK_TOKENS,
      generated,
      maxTokens: this.policy.usesForecast ? maxTokens : generated,
      distribution: attempt.distribution,
    };
  }
}

function isQuick(attempt: attemptTable.Attempt): boolean {
  return attempt.request.requestClass === generationRequest.RequestClass.Quick;
}
