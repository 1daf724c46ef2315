/**
 * Answers one question for everyone who places requests, copies or backups: may
 * this request go to that instance, and if not, why and until when. Instances
 * whose rate is limited stay available; the rate is kept by permits.
 */
import * as instanceTable from '../instance_table';

/** Why an instance takes no request. */
export enum UnavailableReason {
  /** The instance is about to stop, or has stopped. */
  Draining = 'draining',
  /** An operator evacuates its data centre. */
  Evacuated = 'evacuated',
  /** The instance has asked this gateway to send no requests for some time. */
  BackOff = 'back-off',
  /** The route or the customer does not allow the region of the instance. */
  ForeignRegion = 'foreign-region',
}

/** A statement that an instance takes no request. */
export interface Unavailability {
  readonly reason: UnavailableReason;
  /** Monotonic milliseconds since which this is known. */
  readonly since: number;
  /** Monotonic milliseconds at which this ends; undefined if unknown. */
  readonly until: number | undefined;
}

/** What an instance has to satisfy for one request. */
export interface AvailabilityRequest {
  /** Lists of allowed regions, all of which apply; empty if every region is allowed. */
  readonly allowedRegions: readonly (readonly string[])[];
}

/** A request, or a copy of a run, that may go to any region. */
export const ANY_REGION: AvailabilityRequest = {allowedRegions: []};

/** One reason for which instances may be unavailable. */
export abstract class AvailabilityRule {
  /** Returns why the instance takes no request; undefined if this rule does not object. */
  abstract check(
    instance: instanceTable.Instance,
    request: AvailabilityRequest,
    now: number,
  ): Unavailability | undefined;
}

/** Excludes instances that are about to stop. */
export class DrainingRule extends AvailabilityRule {
  check({drainingAt}: instanceTable.Instance): Unavailability | undefined {
    return drainingAt === undefined
      ? undefined
      : {
          reason: UnavailableReason.Draining,
          since: drainingAt,
          until: undefined,
        };
  }
}

/** Applies all rules to instances. */
export class InstanceAvailability {
  constructor(private readonly rules: readonly AvailabilityRule[]) {}

  /** Returns why the instance takes no request, by the first rule that objects; undefined if it may be used. */
  find(
    instance: instanceTable.Instance,
    request: AvailabilityRequest,
    now: number,
  ): Unavailability | undefined {
    for (const rule of this.rules) {
      const unavailability = rule.check(instance, request, now);
      if (unavailability !== undefined) {
        return unavailability;
      }
    }
    return undefined;
  }

  isAvailable(
    instance: instanceTable.Instance,
    request: AvailabilityRequest,
    now: number,
  ): boolean {
    return this.find(instance, request, now) === undefined;
  }

  /** Monotonic milliseconds from which the first of the instances that are in back-off may take the request; undefined if none is. */
  backOffEnd(
    instances: readonly instanceTable.Instance[],
    request: AvailabilityRequest,
    now: number,
  ): number | undefined {
    let first: number | undefined;
    for (const instance of instances) {
      const unavailability = this.find(instance, request, now);
      if (unavailability?.reason === UnavailableReason.BackOff) {
        first = Math.min(first ?? Infinity, unavailability.until ?? Infinity);
      }
    }
    return first;
  }
}
