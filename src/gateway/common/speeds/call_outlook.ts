/**
 * Which instances of a plain service answer quickly, and when a slow one is
 * tried again. Meant for services with a few instances, some of which are
 * several times slower than the others for a while.
 */
import * as instanceTable from '../instance_table';
import * as instanceSpeeds from './instance_speeds';

/**
 * Ratio of answer times up to which instances count as equally quick. Smaller
 * differences come from chance, and would make all gateways choose the same
 * instance.
 */
const EQUAL_RATIO = 1.5;
/** Calls of this gateway for one that is sent to a slow instance, to notice when it has recovered. */
const CALLS_PER_TRIAL = 20;
/** Instances whose last trial is remembered; the deployments have a few. */
const MAX_TRIED = 256;

/** Trials of the slow instances of one endpoint. */
export class SlowInstanceTrials {
  /** Calls since the last trial; undefined before the first call. */
  private callCount: number | undefined;
  /** Number of trials so far at the last one of each instance. */
  private readonly triedAt = new Map<string, number>();
  private trialCount = 0;
  /** Id of an instance that has just answered more quickly than before. */
  private followedUp: string | undefined;

  /** Lets the next call confirm that the instance has recovered. */
  followUp(instanceId: string): void {
    this.followedUp = instanceId;
  }

  /** Counts one call; returns the slow instance that gets it as a trial, if any. */
  take(
    slow: readonly instanceTable.Instance[],
    draw: () => number,
  ): instanceTable.Instance | undefined {
    // Gateways learn of slow instances at the same time; their trials are spread.
    this.callCount ??= Math.floor(draw() * CALLS_PER_TRIAL);
    this.callCount++;
    const followed = slow.find(({record}) => record.id === this.followedUp);
    this.followedUp = undefined;
    if (followed !== undefined) {
      return followed;
    }
    if (slow.length === 0 || this.callCount < CALLS_PER_TRIAL) {
      return undefined;
    }
    this.callCount = 0;
    const lastTrial = ({record}: instanceTable.Instance) =>
      this.triedAt.get(record.id) ?? -1;
    const stalest = slow.reduce((left, right) =>
      lastTrial(right) < lastTrial(left) ? right : left,
    );
    if (this.triedAt.size >= MAX_TRIED) {
      this.triedAt.clear();
    }
    this.triedAt.set(stalest.record.id, this.trialCount++);
    return stalest;
  }
}

/** What is expected of the instances of a service for one call. */
export class CallOutlook {
  private readonly fastest: number;

  constructor(
    private readonly summary: instanceSpeeds.SpeedSummary,
    private readonly trials: SlowInstanceTrials,
  ) {
    this.fastest = Math.max(...summary.speeds.values());
  }

  /** Expected answer time without other requests, as a multiple of that of the quickest instances; 1 if it is not known. */
  timeOf({record}: instanceTable.Instance): number {
    const speed = this.summary.speeds.get(record.id) ?? this.fastest;
    return Math.max(1, this.fastest / speed / EQUAL_RATIO);
  }

  /** Returns a slow instance that is to be tried with this call, if it is time. */
  takeTrial(
    candidates: readonly instanceTable.Instance[],
    draw: () => number,
  ): instanceTable.Instance | undefined {
    const slow = candidates.filter(instance => this.timeOf(instance) > 1);
    return slow.length < candidates.length
      ? this.trials.take(slow, draw)
      : undefined;
  }
}
