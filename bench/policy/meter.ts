/** What the users measure: stall time, preemptions and tail latency between tokens. */
import * as generationRequest from '../../src/protocol/common/generation_request';

/** A gap between tokens counts as a stall beyond this, in milliseconds. */
const STALL_MILLISECONDS = 100;
/** A request that waits longer for its first token is starved, in milliseconds. */
const STARVED_MILLISECONDS = 600_000;
const BUCKET_MILLISECONDS = 0.25;
const BUCKETS = 4_000;

/** Counts durations and gives percentiles; the last bucket holds all longer ones. */
class DurationCounts {
  private readonly counts = new Float64Array(BUCKETS + 1);
  private readonly long: number[] = [];
  private total = 0;

  add(milliseconds: number): void {
    const index = Math.min(
      BUCKETS,
      Math.floor(milliseconds / BUCKET_MILLISECONDS),
    );
    this.counts[index]++;
    this.total++;
    if (index === BUCKETS) {
      this.long.push(milliseconds);
    }
  }

  percentile(share: number): number {
    const rank = Math.ceil(share * this.total);
    let seen = 0;
    for (let index = 0; index < BUCKETS; index++) {
      seen += this.counts[index];
      if (seen >= rank) {
        return (index + 0.5) * BUCKET_MILLISECONDS;
      }
    }
    this.long.sort((left, right) => left - right);
    return this.long[Math.min(this.long.length - 1, rank - seen - 1)] ?? 0;
  }
}

/** Result of a run, in the form in which it is printed. */
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
  /** Smallest over customers of tokens received over tokens asked for, against the largest. */
  readonly fairness: number;
}

/** One request as measured. */
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

/** Collects measures of a whole run. */
export class PolicyMeter {
  refused = 0;
  lost = 0;
  completed = 0;
  private tokens = 0;
  private stall = 0;
  private starved = 0;
  private lastCompletion = 0;
  private readonly gaps = new DurationCounts();
  private readonly quickGaps = new DurationCounts();
  private readonly firsts = new DurationCounts();
  private readonly quickFirsts = new DurationCounts();
  private readonly asked = new Map<string, number>();
  private readonly served = new Map<string, number>();

  /** Tokens count towards the rate inside the window, in milliseconds. */
  constructor(
    private readonly windowStart: number,
    private readonly windowEnd: number,
  ) {}

  ask(request: RequestMeter): void {
    add(this.asked, request.customer, request.outputTokens);
  }

  token(request: RequestMeter, at: number): void {
    if (at >= this.windowStart && at < this.windowEnd) {
      this.tokens++;
    }
    const isQuick =
      request.requestClass === generationRequest.RequestClass.Quick;
    if (request.lastAt < 0) {
      this.first(request, at, isQuick);
    } else {
      const gap = at - request.lastAt;
      this.gaps.add(gap);
      this.stall += Math.max(0, gap - STALL_MILLISECONDS);
      if (isQuick) {
        this.quickGaps.add(gap);
      }
    }
    request.lastAt = at;
  }

  complete(request: RequestMeter, at: number): void {
    this.completed++;
    this.lastCompletion = Math.max(this.lastCompletion, at);
    add(this.served, request.customer, request.outputTokens);
  }

  result(preemptions: number, openAtEnd: number): PolicyResult {
    const shares = [...this.asked].map(
      ([customer, asked]) => (this.served.get(customer) ?? 0) / asked,
    );
    return {
      preemptions,
      stall_seconds: this.stall / 1000,
      inter_token_p99_ms: this.gaps.percentile(0.99),
      quick_inter_token_p99_ms: this.quickGaps.percentile(0.99),
      first_token_p95_ms: this.firsts.percentile(0.95),
      quick_first_token_p95_ms: this.quickFirsts.percentile(0.95),
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

  private first(request: RequestMeter, at: number, isQuick: boolean): void {
    const wait = at - request.arrivedAt;
    this.firsts.add(wait);
    if (isQuick) {
      this.quickFirsts.add(wait);
    }
    this.starved += wait > STARVED_MILLISECONDS ? 1 : 0;
  }
}

function add(counts: Map<string, number>, key: string, value: number): void {
  counts.set(key, (counts.get(key) ?? 0) + value);
}
