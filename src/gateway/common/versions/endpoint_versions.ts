/** Tells which software versions of an endpoint may have begun a stream that is resumed now. */
import * as rxjs from 'rxjs';
import * as instanceTable from '../instance_table';
import * as streamVersions from './stream_versions';

/** Time of versions of which instances are registered now. */
const REGISTERED = Infinity;

/** Versions by endpoint, with those whose instances have left lately. */
export class EndpointVersions {
  /** Fires with the endpoint when it gets a second version. */
  readonly onDidMix = new rxjs.Subject<string>();
  /** Monotonic milliseconds at which each version was last registered, by endpoint. */
  private readonly registeredAt = new Map<string, Map<string, number>>();

  /** Records the registered instances; to be called with each change of them. */
  update(instances: Iterable<instanceTable.Instance>, now: number): void {
    const mixedBefore = new Set(
      [...this.registeredAt.keys()].filter(each => this.isMixed(each, now)),
    );
    this.markLeft(now);
    for (const {record} of instances) {
      const versions = this.registeredAt.get(record.endpoint) ?? new Map();
      this.registeredAt.set(record.endpoint, versions);
      versions.set(instanceTable.versionOf(record), REGISTERED);
    }
    for (const endpoint of this.registeredAt.keys()) {
      if (!mixedBefore.has(endpoint) && this.isMixed(endpoint, now)) {
        this.onDidMix.next(endpoint);
      }
    }
  }

  /** Whether streams of several versions may be resumed. */
  isMixed(endpoint: string, now: number): boolean {
    return this.possibleVersions(endpoint, now).length > 1;
  }

  /** The only version that may have begun a stream; undefined if there are several, or none. */
  soleVersion(endpoint: string, now: number): string | undefined {
    const possible = this.possibleVersions(endpoint, now);
    return possible.length === 1 ? possible[0] : undefined;
  }

  private possibleVersions(endpoint: string, now: number): string[] {
    return [...(this.registeredAt.get(endpoint) ?? [])]
      .filter(([, at]) => !isOver(at, now))
      .map(([version]) => version);
  }

  /** Regards all versions as gone since now, and forgets those that are gone for long. */
  private markLeft(now: number): void {
    for (const [endpoint, versions] of this.registeredAt) {
      for (const [version, at] of versions) {
        if (at === REGISTERED) {
          versions.set(version, now);
        } else if (isOver(at, now)) {
          versions.delete(version);
        }
      }
      if (versions.size === 0) {
        this.registeredAt.delete(endpoint);
      }
    }
  }
}

function isOver(at: number, now: number): boolean {
  return now - at > streamVersions.STREAM_LIFETIME_MILLISECONDS;
}
