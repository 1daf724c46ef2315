/** Combines the limits that instances name with the ramps of cold instances. */
import * as rxjs from 'rxjs';
import * as instanceLimits from './instance_limits';
import * as limitPolicy from './limit_policy';
import * as warmUps from './warm_ups';

/** What a gateway tells the coordinator of a cold instance: its ramp in requests per second, and when it is warm. */
export type RampUpdate = readonly [number, ...warmUps.WarmUpUpdate];

/** An update about the limit that is too old to end any. Older builds require a limit in each request. */
const NO_LIMIT: instanceLimits.LimitUpdate = [null, 1e21];

/** Rates of requests that instances take from all gateways together. */
export class InstanceRates {
  /** Fires with an incarnation whose rate has changed. */
  readonly onDidChange: rxjs.Observable<string>;

  constructor(
    readonly limits: instanceLimits.InstanceLimits,
    readonly cold: warmUps.WarmUps = new warmUps.WarmUps(),
    /** Ramp of the endpoint of the incarnation, in requests per second; 0 for none, undefined if the instance is unknown. */
    private readonly rampOf: (life: string) => number | undefined = () => 0,
  ) {
    this.onDidChange = rxjs.merge(
      limits.onDidChange.pipe(rxjs.map(({life}) => life)),
      this.cold.onDidChange.pipe(rxjs.map(({life}) => life)),
    );
  }

  /** What the instance takes; undefined if its rate is not limited. */
  allowanceOf(life: string, now: number): limitPolicy.Allowance | undefined {
    return this.combine(life, this.rampOf(life), now);
  }

  /** The same for the coordinator, which may not have read the registration that a peer has. */
  allowanceFor(
    life: string,
    peerRamp: number | undefined,
    now: number,
  ): limitPolicy.Allowance | undefined {
    return this.combine(life, this.rampOf(life) ?? peerRamp, now);
  }

  /** Update about the limit for a request to a coordinator. */
  limitUpdateFor(life: string, now: number): instanceLimits.LimitUpdate {
    return this.limits.updateFor(life, now) ?? NO_LIMIT;
  }

  /** Update about the ramp for a request to a coordinator; undefined if the instance is not cold. */
  rampUpdateFor(life: string, now: number): RampUpdate | undefined {
    const ramp = this.allowanceOf(life, now)?.ramp;
    return ramp === undefined
      ? undefined
      : [ramp, ...this.cold.updateFor(life, now)!];
  }

  private combine(
    life: string,
    rampPerSecond: number | undefined,
    now: number,
  ): limitPolicy.Allowance | undefined {
    const limit = this.limits.get(life);
    const isRamped =
      rampPerSecond !== undefined &&
      rampPerSecond > 0 &&
      this.cold.isCold(life, now);
    const ramp = isRamped ? rampPerSecond : undefined;
    return limit === undefined && ramp === undefined
      ? undefined
      : {limit, ramp};
  }
}
