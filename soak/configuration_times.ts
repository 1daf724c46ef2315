/** When keys and routes were in the configuration. */
import * as faultTimes from './fault_times';

/** Routes and keys of all versions, all times in monotonic milliseconds. */
export class ConfigurationTimes {
  private readonly ranges = new Map<string, faultTimes.TimeRange>();

  /** Records that the store has accepted a version with the key, or with the batch of routes. */
  recordAdded(name: string, at: number): void {
    this.ranges.set(name, {from: at, to: Infinity});
  }

  recordRemoved(name: string, at: number): void {
    this.ranges.set(name, {from: this.rangeOf(name).from, to: at});
  }

  /** The time of the name; all times for names that all versions had so far. */
  rangeOf(name: string): faultTimes.TimeRange {
    return this.ranges.get(name) ?? {from: -Infinity, to: Infinity};
  }
}
