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
}

/** Returns the later configuration with the objects of the earlier one for all entries that are equal. */
export function shareUnchanged(
  earlier: configuration.Configuration,
  later: configuration.Configuration,
): configuration.Configuration {
  const keyOf = (route: configuration.Route) =>
    `${route.host} ${route.pathPrefix}`;
  const nameOf = (entry: {readonly name: string}) => entry.name;
  const customers =
    later.customers &&
    shareEntries(earlier.customers ?? [], later.customers, nameOf);
  return {
    ...later,
    routes: shareEntries(earlier.routes, later.routes, keyOf),
    endpoints: shareEntries(earlier.endpoints, later.endpoints, nameOf),
    customers,
  };
}

function shareEntries<T>(
  earlier: readonly T[],
  later: readonly T[],
  keyOf: (entry: T) => string,
): readonly T[] {
  const known = new Map(earlier.map(entry => [keyOf(entry), entry]));
  return later.map(entry => {
    const same = known.get(keyOf(entry));
    return same !== undefined && plainData.isEqual(same, entry) ? same : entry;
  });
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
  const positions = new Map(earlier.map((entry, index) => [entry, index]));
  const parts: Array<{from: number; count: number} | {entries: T[]}> = [];
  for (const entry of later) {
    const position = positions.get(entry);
    const last = parts.at(-1);
    if (position === undefined) {
      if (last !== undefined && 'entries' in last) {
        last.entries.push(entry);
      } else {
        parts.push({entries: [entry]});
      }
    } else if (
      last !== undefined &&
      'count' in last &&
      last.from + last.count === position
    ) {
      last.count++;
    } else {
      parts.push({from: position, count: 1});
    }
  }
  return parts;
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
