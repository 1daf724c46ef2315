/**
 * Decides whether and when a second request is sent for a call that is not
 * answered yet. Meant for short idempotent calls to services with spare
 * capacity, some of whose instances are slow or hang. Stepped by the caller's
 * clock.
 */
import * as configuration from '../configuration';
import * as instanceTable from '../instance_table';
import * as slidingCounts from '../sliding_counts';
import * as answerTimes from './answer_times';
import * as openAverage from './open_average';

/** Minimum delay before a hedge, as a share of the route's objective: a call that is answered by then is in time anyway. */
const MIN_DELAY_OBJECTIVE_SHARE = 0.2;
/** Window of the limit by requests, in milliseconds. Long enough for a gateway with one request a second to send some hedges. */
const SHARE_WINDOW_MILLISECONDS = 60_000;
/** Share of the slots of an endpoint with open requests above which no hedge is sent. */
const MAX_OPEN_SHARE = 0.75;

/** Endpoint to which a hedge would be sent. */
export interface HedgeTarget {
  readonly endpoint: string;
  /** Slots of all instances that may get requests. */
  readonly slots: number;
  /** Number of gateways that use the endpoint. */
  readonly gateways: number;
}

/** Hedges of one gateway. */
export class HedgePolicy {
  private readonly times = new answerTimes.RouteAnswerTimes();
  private readonly open = new openAverage.OpenAverage();
  private readonly counts = new slidingCounts.SlidingCounts(
    SHARE_WINDOW_MILLISECONDS,
  );

  private isStopped = false;

  /** @param maxShare Maximum number of hedges per request. */
  constructor(private readonly maxShare: number) {}

  /** Allows no more hedges. */
  stop(): void {
    this.isStopped = true;
  }

  /** Counts a call that may be hedged. */
  recordRequest(now: number): void {
    this.counts.addRequest(now);
  }

  /** Records how long the first instance of a call took to answer, or, if the hedge was answered first, for how long it had not. */
  recordAnswer(route: string, milliseconds: number, now: number): void {
    this.times.add(route, milliseconds, now);
  }

  /** Records that a request to the endpoint was sent (1) or has ended (-1), hedged or not. */
  recordOpen(endpoint: string, difference: 1 | -1, now: number): void {
    this.open.change(endpoint, difference, now);
  }

  /** Time from the first send to the hedge, in milliseconds; undefined if there is none. */
  delayFor(route: configuration.Route, now: number): number | undefined {
    if (!isHedgeable(route)) {
      return undefined;
    }
    const quantile = this.times.quantile(route.name, now);
    const shortest = route.objectiveMilliseconds * MIN_DELAY_OBJECTIVE_SHARE;
    return quantile === undefined ? undefined : Math.max(quantile, shortest);
  }

  /** Whether the endpoint has room for hedges, and the limit by requests leaves one. */
  mayHedge(target: HedgeTarget, now: number): boolean {
    const {endpoint, gateways, slots} = target;
    const open = this.open.estimate(endpoint, gateways, now);
    const {requests, extraSends} = this.counts.totals(now);
    return (
      !this.isStopped &&
      open <= slots * MAX_OPEN_SHARE &&
      extraSends + 1 <= requests * this.maxShare
    );
  }

  /** Counts a hedge that is sent. */
  recordHedge(now: number): void {
    this.counts.addExtraSend(now);
  }
}

/** Whether calls of the route may run twice. */
export function isHedgeable(route: configuration.Route): boolean {
  return (
    route.kind === configuration.RequestKind.Idempotent && route.attempts >= 2
  );
}

/** Whether the instance is likely to answer a hedge fast: it is warm and its last request did not fail. */
export function isHedgeTarget(
  instance: instanceTable.Instance,
  now: number,
): boolean {
  const {record, firstSeenAt} = instance;
  const isCold = now < firstSeenAt + record.warmUpMilliseconds;
  return !isCold && !instanceTable.isSuspect(instance);
}
