/**
 * What differs between two versions of the configuration. Gateways bring each
 * other up to date by it, so that the cost of a version grows with what it
 * changes and not with the number of routes.
 */
import * as plainData from '../../base/common/plain_data';
import * as configuration from './configuration';

/** Entries that stand next to each other in the earlier version as well. */
export interface KeptEntries {
  /** Index of the first one in the earlier version. */
  readonly from: number;
  readonly count: number;
}

/** Entries that the earlier version does not have. */
export interface AddedEntries<T> {
  readonly entries: readonly T[];
}

/** A list, in its order, made of entries of an earlier one and of others. */
export type ListChange<T> = ReadonlyArray<KeptEntries | AddedEntries<T>>;

/** Leads from one version of the configuration to a later one. */
export interface ConfigurationChange {
  /** Version to which the change applies. */
  readonly fromVersion: number;
  readonly version: number;
  readonly routes: ListChange<configuration.Route>;
  readonly endpoints: ListChange<configuration.Endpoint>;
  /** Absent when requests need no keys. */
  readonly customers?: ListChange<configuration.Customer>;
  readonly limits: configuration.RequestLimits;
  readonly hasAllowedRegions?: boolean;
}

/** What brings a peer up to date: the whole configuration, or a change to the version that it has; neither if it has the latest. */
export interface ConfigurationUpdate {
  readonly configuration?: configuration.Configuration;
  readonly configurationChange?: ConfigurationChange;
  /** Set if the whole configuration is none of the sender's current era; not set by older builds. */
  readonly isOfEarlierEra?: boolean;
}

/** Returns the later configuration with the objects of the earlier one for all entries that are equal. */
export function shareUnchanged(
  earlier: configuration.Configuration,
  later: configuration.Configuration,
): configuration.Configuration {
  const customers =
    later.customers &&
    shareEntries(earlier.customers ?? [], later.customers, nameOf);
  return {
    ...later,
    routes: shareEntries(earlier.routes, later.routes, prefixOf),
    endpoints: shareEntries(earlier.endpoints, later.endpoints, nameOf),
    customers,
  };
}

function prefixOf({host, pathPrefix}: configuration.Route): string {
  return `${host} ${pathPrefix}`;
}

function nameOf({name}: {readonly name: string}): string {
  return name;
}

function shareEntries<T>(
  earlier: readonly T[],
  later: readonly T[],
  keyOf: (entry: T) => string,
): readonly T[] {
  // Most entries follow the one before them in both versions.
  let next = 0;
  let positions: Map<string, number> | undefined;
  return later.map(entry => {
    if (plainData.isEqual(earlier[next], entry)) {
      return earlier[next++];
    }
    positions ??= new Map(earlier.map((each, index) => [keyOf(each), index]));
    const position = positions.get(keyOf(entry));
    if (position === undefined) {
      return entry;
    }
    next = position + 1;
    const known = earlier[position];
    return plainData.isEqual(known, entry) ? known : entry;
  });
}

/** Entries of two lists between those that both begin and end with. */
export interface ListDifference<T> {
  /** Number of entries with which both lists begin. */
  readonly start: number;
  readonly earlier: readonly T[];
  readonly later: readonly T[];
}

/** Leaves out what two lists, which share the objects of equal entries, begin and end with. */
export function differenceOf<T>(
  earlier: readonly T[],
  later: readonly T[],
): ListDifference<T> {
  const shorter = Math.min(earlier.length, later.length);
  let start = 0;
  while (start < shorter && earlier[start] === later[start]) {
    start++;
  }
  let end = 0;
  while (
    end < shorter - start &&
    earlier[earlier.length - 1 - end] === later[later.length - 1 - end]
  ) {
    end++;
  }
  return {
    start,
    earlier: earlier.slice(start, earlier.length - end),
    later: later.slice(start, later.length - end),
  };
}

/** Describes the change between two versions that share the objects of their equal entries. */
export function describe(
  earlier: configuration.Configuration,
  later: configuration.Configuration,
): ConfigurationChange {
  return {
    fromVersion: earlier.version,
    version: later.version,
    routes: describeList(earlier.routes, later.routes),
    endpoints: describeList(earlier.endpoints, later.endpoints),
    customers:
      later.customers && describeList(earlier.customers ?? [], later.customers),
    limits: later.limits,
    hasAllowedRegions: later.hasAllowedRegions,
  };
}

function describeList<T>(
  earlier: readonly T[],
  later: readonly T[],
): ListChange<T> {
  const difference = differenceOf(earlier, later);
  const {start} = difference;
  const end = start + difference.earlier.length;
  const positions = new Map(
    difference.earlier.map((entry, index) => [entry, start + index]),
  );
  const parts = new ChangeParts<T>();
  parts.keep(0, start);
  for (const entry of difference.later) {
    const position = positions.get(entry);
    if (position === undefined) {
      parts.add(entry);
    } else {
      parts.keep(position, 1);
    }
  }
  parts.keep(end, earlier.length - end);
  return parts.list;
}

/** Parts of a list, of which those that belong together are joined. */
class ChangeParts<T> {
  readonly list: Array<{from: number; count: number} | {entries: T[]}> = [];

  add(entry: T): void {
    const last = this.list.at(-1);
    if (last !== undefined && 'entries' in last) {
      last.entries.push(entry);
      return;
    }
    this.list.push({entries: [entry]});
  }

  keep(from: number, count: number): void {
    const last = this.list.at(-1);
    if (last !== undefined && 'count' in last) {
      if (last.from + last.count === from) {
        last.count += count;
        return;
      }
    }
    if (count > 0) {
      this.list.push({from, count});
    }
  }
}

/** Applies a change; undefined if it does not fit the earlier version. */
export function apply(
  earlier: configuration.Configuration,
  change: ConfigurationChange,
): configuration.Configuration | undefined {
  if (earlier.version !== change.fromVersion) {
    return undefined;
  }
  const routes = applyToList(earlier.routes, change.routes);
  const endpoints = applyToList(earlier.endpoints, change.endpoints);
  const customers =
    change.customers && applyToList(earlier.customers ?? [], change.customers);
  const isMissing = change.customers !== undefined && customers === undefined;
  if (routes === undefined || endpoints === undefined || isMissing) {
    return undefined;
  }
  const {version, limits, hasAllowedRegions} = change;
  return {version, routes, endpoints, customers, limits, hasAllowedRegions};
}

function applyToList<T>(
  earlier: readonly T[],
  change: ListChange<T>,
): T[] | undefined {
  const list: T[] = [];
  for (const part of change) {
    if ('entries' in part) {
      part.entries.forEach(entry => list.push(entry));
      continue;
    }
    const {from, count} = part;
    const isInside = from >= 0 && count >= 0 && from + count <= earlier.length;
    if (!isInside) {
      return undefined;
    }
    for (let index = from; index < from + count; index++) {
      list.push(earlier[index]);
    }
  }
  return list;
}
