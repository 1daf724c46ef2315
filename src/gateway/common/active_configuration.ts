/** The configuration in force, what it replaced, and whether peers have a later one. */
import * as configuration from './configuration';
import * as configurationChange from './configuration_change';
import * as retiredNames from './retired_names';
import * as routeIndex from './route_index';

/** Number of versions from which peers are brought up to date by changes; those with earlier ones get the whole configuration. */
const MAX_VERSIONS = 16;
/** Time for which a version that a peer has is expected to arrive, in milliseconds. */
const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 5_000;

/** Versions share the objects of entries that did not change. */
export class ActiveConfiguration {
  readonly retired = new retiredNames.RetiredNames();
  private index: routeIndex.RouteIndex | undefined;
  /** Versions of the current era of the source by their number, the one in force last. */
  private readonly versions = new Map<number, configuration.Configuration>();
  private announcedVersion = 0;
  private announcedAt = -Infinity;

  /** Undefined before the first configuration. */
  get routes(): routeIndex.RouteIndex | undefined {
    return this.index;
  }

  /** 0 before the first configuration. */
  get version(): number {
    return this.index?.configuration.version ?? 0;
  }

  /** Version to which peers may send a change; undefined if the whole configuration is needed. */
  get changeableVersion(): number | undefined {
    const isKept = this.versions.has(this.version);
    const isComplete = this.index?.configuration.hasAllowedRegions === true;
    return isKept && isComplete ? this.version : undefined;
  }

  /**
   * Puts a configuration into force, with the objects of the one before for what
   * is equal; false if it adds nothing to the one that is.
   *
   * @param isOfEra Whether it is of the current era; changes do not apply to others.
   */
  activate(value: configuration.Configuration, isOfEra = true): boolean {
    const previous = this.index?.configuration;
    if (this.index?.isAsNewAs(value) === true) {
      return false;
    }
    const shared =
      previous === undefined
        ? value
        : configurationChange.shareUnchanged(previous, value);
    this.index = new routeIndex.RouteIndex(shared);
    if (previous !== undefined) {
      this.retired.update(previous, shared);
    }
    if (isOfEra) {
      this.keep(shared);
    }
    return true;
  }

  /** Returns what a peer needs that has the given version; undefined if it has none to which changes apply. */
  updateFor(
    peerVersion: number | undefined,
  ): configurationChange.ConfigurationUpdate {
    const current = this.index?.configuration;
    const earlier = this.versions.get(peerVersion ?? 0);
    if (current === undefined || earlier === undefined) {
      const isKept = this.versions.has(this.version);
      return isKept || current === undefined
        ? {configuration: current}
        : {configuration: current, isOfEarlierEra: true};
    }
    return earlier === current
      ? {}
      : {configurationChange: configurationChange.describe(earlier, current)};
  }

  /** Returns the configuration to which an update leads; undefined if there is none, or if the version that it changes is not known any more. */
  resolve(
    update: configurationChange.ConfigurationUpdate,
  ): configuration.Configuration | undefined {
    const change = update.configurationChange;
    if (change === undefined) {
      return update.configuration;
    }
    const earlier = this.versions.get(change.fromVersion);
    return earlier && configurationChange.apply(earlier, change);
  }

  /** Forgets the versions to which changes apply and those of peers: others of another era may have the same numbers. */
  enterEra(): void {
    this.versions.clear();
    this.announcedVersion = 0;
    this.announcedAt = -Infinity;
  }

  /** Records the version that a peer has; `now` is in monotonic milliseconds. */
  recordAnnouncement(version: number, now: number): void {
    if (version > this.version && version >= this.announcedVersion) {
      this.announcedVersion = version;
      this.announcedAt = now;
    }
  }

  /** Whether a peer has a later version, which may allow what the one in force does not. */
  isOvertaken(now: number): boolean {
    return (
      this.announcedVersion > this.version &&
      now - this.announcedAt <= ANNOUNCEMENT_LIFETIME_MILLISECONDS
    );
  }

  private keep(value: configuration.Configuration): void {
    this.versions.delete(value.version);
    this.versions.set(value.version, value);
    for (const oldest of this.versions.keys()) {
      if (this.versions.size <= MAX_VERSIONS) {
        break;
      }
      this.versions.delete(oldest);
    }
  }
}
