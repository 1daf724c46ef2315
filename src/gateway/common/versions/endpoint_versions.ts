/** Tells which software versions of an endpoint may have begun a stream that is resumed now. */
import * as rxjs from 'rxjs';
import * as instanceTable from '../instance_table';
import * as streamVersions from './stream_versions';
import * as versionRecord from './version_record';

/** Time of versions of which instances are registered now. */
const REGISTERED = Infinity;

/** Versions by endpoint, with those whose instances have left lately. */
export class EndpointVersions {
  /** Fires with the endpoint when it gets a second version. */
  readonly onDidMix = new rxjs.Subject<string>();
  /** Monotonic milliseconds at which each version was last registered, by endpoint. */
  private readonly registeredAt = new Map<string, Map<string, number>>();
  /** Monotonic milliseconds of the first update; before it this gateway saw no versions. */
  private firstUpdateAt = Infinity;
  /** Monotonic milliseconds since which the versions of an endpoint are complete, as far as a stored record says so. */
  private readonly completeSince = new Map<string, number>();

  /** Records the registered instances; to be called with each change of them. */
  update(instances: Iterable<instanceTable.Instance>, now: number): void {
    this.firstUpdateAt = Math.min(this.firstUpdateAt, now);
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

  /** Whether `isMixed` holds for any endpoint. */
  isAnyMixed(now: number): boolean {
    return [...this.registeredAt.keys()].some(each => this.isMixed(each, now));
  }

  /** Versions that may have begun a stream of the endpoint, with the Unix milliseconds at which each was last registered; null while it is. */
  known(
    endpoint: string,
    unixNow: number,
    now: number,
  ): Map<string, number | null> {
    return new Map(
      [...(this.registeredAt.get(endpoint) ?? [])]
        .filter(([, at]) => !isOver(at, now))
        .map(([version, at]) => [
          version,
          at === REGISTERED ? null : unixNow - (now - at),
        ]),
    );
  }

  /** Whether no version that may have begun a stream is unknown. */
  isComplete(endpoint: string, now: number): boolean {
    const since = Math.min(
      this.firstUpdateAt,
      this.completeSince.get(endpoint) ?? Infinity,
    );
    return isOver(since, now);
  }

  /** Adds the versions of a stored record, of which those that are not registered have left by now. */
  adopt(
    endpoint: string,
    record: versionRecord.VersionRecord,
    unixNow: number,
    now: number,
  ): void {
    const wasMixed = this.isMixed(endpoint, now);
    const versions = this.registeredAt.get(endpoint) ?? new Map();
    this.registeredAt.set(endpoint, versions);
    for (const [version, at] of Object.entries(record.versions)) {
      const leftAt = now - Math.max(0, unixNow - (at ?? unixNow));
      versions.set(version, Math.max(versions.get(version) ?? leftAt, leftAt));
    }
    // Clock skew between gateways is a few seconds at most, short compared with the time for which versions are kept.
    this.completeSince.set(
      endpoint,
      record.completeSince === 0
        ? -Infinity
        : now - (unixNow - record.completeSince),
    );
    if (!wasMixed && this.isMixed(endpoint, now)) {
      this.onDidMix.next(endpoint);
    }
  }

  /** The only version that may have begun a stream; undefined if there are several, none, or unknown ones. */
  soleVersion(endpoint: string, now: number): string | undefined {
    const possible = this.possibleVersions(endpoint, now);
    return possible.length === 1 && this.isComplete(endpoint, now)
      ? possible[0]
      : undefined;
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
