/** Measures what users see: stall time, preemptions and tail latency between tokens. */
import * as generationRequest from '../../src/protocol/common/generation_request';

/** Gap between tokens above which the excess counts as stall time, in milliseconds. */
const STALL_MILLISECONDS = 100;
/** Wait for the first token above which a request counts as starved, in milliseconds. */
const STARVED_MILLISECONDS = 600_000;
const BUCKET_MILLISECONDS = 0.25;
const BUCKET_COUNT = 4_000;

/** Histogram of durations; the last bucket holds all longer ones. */
class DurationHistogram {
  private readonly counts = new Float64Array(BUCKET_COUNT + 1);
  private readonly overflow: number[] = [];
  private total = 0;

  add(milliseconds: number): void {
    const index = Math.min(
      BUCKET_COUNT,
      Math.floor(milliseconds / BUCKET_MILLISECONDS),
    );
    this.counts[index]++;
    this.total++;
    if (index === BUCKET_COUNT) {
      this.overflow.push(milliseconds);
    }
  }

  percentile(share: number): number {
    const rank = Math.ceil(share * this.total);
    let cumulative = 0;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      cumulative += this.counts[index];
      if (cumulative >= rank) {
        return (index + 0.5) * BUCKET_MILLISECONDS;
      }
    }
    this.overflow.sort((left, right) => left - right);
    return (
      this.overflow[
        Math.min(this.overflow.length - 1, rank - cumulative - 1)
      ] ?? 0
    );
  }
}

/** Result of a run as it is printed. */
export interface PolicyResult {
  readonly preemptions: number;
  readonly stall_seconds: number;
  readonly inter_token_p99_ms: number;
  readonly quick_inter_token_p99_ms: number;
  readonly first_token_p95_ms: number;
  readonly quick_first_token_p95_ms: number;
  readonly tokens_per_second: number;
  readonly refused: number;
  readonly lost: number;
  readonly starved: number;
  readonly completed: number;
  readonly last_completion_second: number;
  /** Smallest ratio of received to requested tokens of any customer, divided by the largest. */
  readonly fairness: number;
}

/** Measurements of one request. */
export class RequestMeter {
  firstAt = -1;
  lastAt = -1;

  constructor(
    readonly customer: string,
    readonly requestClass: generationRequest.RequestClass,
    readonly arrivedAt: number,
    readonly outputTokens: number,
  ) {}
}

/** Collects the measurements of a run. */
export class PolicyMeter {
  refused = 0;
  lost = 0;
  completed = 0;
  private tokens = 0;
  private stallMilliseconds = 0;
  private starved = 0;
  private lastCompletion = 0;
  private readonly tokenGaps = new DurationHistogram();
  private readonly quickTokenGaps = new DurationHistogram();
  private readonly firstTokenWaits = new DurationHistogram();
  private readonly quickFirstTokenWaits = new DurationHistogram();
  private readonly requestedTokens = new Map<string, number>();
  private readonly receivedTokens = new Map<string, number>();

  /** Only tokens inside the window count towards the rate; times in milliseconds. */
  constructor(
    private readonly windowStart: number,
    private readonly windowEnd: number,
  ) {}

  recordRequest(request: RequestMeter): void {
    add(this.requestedTokens, request.customer, request.outputTokens);
  }

  recordToken(request: RequestMeter, at: number): void {
    if (at >= this.windowStart && at < this.windowEnd) {
      this.tokens++;
    }
    const isQuick =
      request.requestClass === generationRequest.RequestClass.Quick;
    if (request.lastAt < 0) {
      this.recordFirstToken(request, at, isQuick);
    } else {
      const gap = at - request.lastAt;
      this.tokenGaps.add(gap);
      this.stallMilliseconds += Math.max(0, gap - STALL_MILLISECONDS);
      if (isQuick) {
        this.quickTokenGaps.add(gap);
      }
    }
    request.lastAt = at;
  }

  recordCompletion(request: RequestMeter, at: number): void {
    this.completed++;
    this.lastCompletion = Math.max(this.lastCompletion, at);
    add(this.receivedTokens, request.customer, request.outputTokens);
  }

  result(preemptions: number, openAtEnd: number): PolicyResult {
    const shares = [...this.requestedTokens].map(
      ([customer, asked]) => (this.receivedTokens.get(customer) ?? 0) / asked,
    );
    return {
      preemptions,
      stall_seconds: this.stallMilliseconds / 1000,
      inter_token_p99_ms: this.tokenGaps.percentile(0.99),
      quick_inter_token_p99_ms: this.quickTokenGaps.percentile(0.99),
      first_token_p95_ms: this.firstTokenWaits.percentile(0.95),
      quick_first_token_p95_ms: this.quickFirstTokenWaits.percentile(0.95),
      tokens_per_second: Math.round(
        (this.tokens * 1000) / (this.windowEnd - this.windowStart),
      ),
      refused: this.refused,
      lost: this.lost,
      starved: this.starved + openAtEnd,
      completed: this.completed,
      last_completion_second: Math.round(this.lastCompletion / 1000),
      fairness: Math.min(...shares) / Math.max(...shares),
    };
  }

  private recordFirstToken(
    request: RequestMeter,
    at: number,
    isQuick: boolean,
  ): void {
    const wait = at - request.arrivedAt;
    this.firstTokenWaits.add(wait);
    if (isQuick) {
      this.quickFirstTokenWaits.add(wait);
    }
    this.starved += wait > STARVED_MILLISECONDS ? 1 : 0;
  }
}

function add(counts: Map<string, number>, key: string, value: number): void {
  counts.set(key, (counts.get(key) ?? 0) + value);
}
