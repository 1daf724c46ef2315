/** Describes in words how one configuration differs from another. Keys of customers are counted and never shown. */
import * as configuration from '../configuration';
import * as quotedText from '../../../base/common/quoted_text';
import * as findings from './findings';

/** One difference. */
export interface Difference {
  /** Kind and name of the entry, such as `route "drafts"`. */
  readonly place: string;
  /** What differs, such as `timeout changed from 500 ms to 900 ms`. */
  readonly message: string;
}

/** Maximum number of characters of a value that is shown. */
const MAX_SHOWN_CHARACTERS = 400;

/** Returns how a value that is given in words, not shortened, differs; undefined if it does not. */
export function describeChange(
  label: string,
  before: string,
  after: string,
): string | undefined {
  if (before === after) {
    return undefined;
  }
  return Math.max(before.length, after.length) > MAX_SHOWN_CHARACTERS
    ? `${label} changed, too long to show`
    : `${label} changed from ${before} to ${after}`;
}

/** A property of an entry that may differ. */
abstract class Property<T> {
  /** Returns the difference in words; undefined if there is none. */
  abstract compare(before: T, after: T): string | undefined;
}

/** A property that is shown with its values. */
class ShownProperty<T> extends Property<T> {
  constructor(
    private readonly label: string,
    private readonly describe: (entry: T) => string,
  ) {
    super();
  }

  compare(before: T, after: T): string | undefined {
    return describeChange(
      this.label,
      this.describe(before),
      this.describe(after),
    );
  }
}

/** Keys of a customer, which are counted. */
class KeyProperty extends Property<configuration.Customer> {
  compare(
    before: configuration.Customer,
    after: configuration.Customer,
  ): string | undefined {
    const added = countMissing(after.keys, before.keys);
    const removed = countMissing(before.keys, after.keys);
    return added + removed === 0
      ? undefined
      : `keys changed: ${added} added, ${removed} removed`;
  }
}

/** Number of the keys that the other list lacks. */
function countMissing(
  keys: readonly string[],
  others: readonly string[],
): number {
  const known = new Set(others);
  return [...new Set(keys)].filter(key => !known.has(key)).length;
}

function milliseconds(value: number): string {
  return `${value} ms`;
}

function yesOrNo(value: boolean): string {
  return value ? 'yes' : 'no';
}

function regions(values: readonly string[] | undefined): string {
  if (values === undefined) {
    return 'all';
  }
  return values.length === 0
    ? 'none'
    : [...new Set(values)].sort().map(quotedText.quoteWhole).join(', ');
}

function shares(endpoints: readonly configuration.WeightedEndpoint[]): string {
  return endpoints.length === 0
    ? 'none'
    : endpoints
        .map(
          each =>
            `${quotedText.quoteWhole(each.endpoint)} weight ${each.weight}`,
        )
        .sort()
        .join(', ');
}

/** The value of an engine's property; a plain service has none. */
function ofEngine<V>(
  describe: (engine: configuration.EngineProfile) => V,
): (endpoint: configuration.Endpoint) => string {
  return ({engine}) => (engine === undefined ? 'none' : `${describe(engine)}`);
}

const ROUTE_PROPERTIES: readonly Property<configuration.Route>[] = [
  new ShownProperty('host', route => quotedText.quoteWhole(route.host)),
  new ShownProperty('path', route => quotedText.quoteWhole(route.pathPrefix)),
  new ShownProperty('kind', route => route.kind),
  new ShownProperty('timeout', route =>
    milliseconds(route.timeoutMilliseconds),
  ),
  new ShownProperty('objective', route =>
    milliseconds(route.objectiveMilliseconds),
  ),
  new ShownProperty('longest pause', route =>
    route.maxPauseMilliseconds === 0
      ? 'none'
      : milliseconds(route.maxPauseMilliseconds),
  ),
  new ShownProperty('urgency', route => `${route.priority}`),
  new ShownProperty('services', route => shares(route.endpoints)),
  new ShownProperty('attempts', route => `${route.attempts}`),
  new ShownProperty('public', route => yesOrNo(route.isPublic)),
  new ShownProperty('generation', route => yesOrNo(route.isGeneration)),
  new ShownProperty('resumable', route => yesOrNo(route.isResumable)),
  new ShownProperty('allowed regions', route => regions(route.allowedRegions)),
];

const ENDPOINT_PROPERTIES: readonly Property<configuration.Endpoint>[] = [
  new ShownProperty('health path', endpoint =>
    quotedText.quoteWhole(endpoint.healthPath),
  ),
  new ShownProperty('connections', endpoint => `${endpoint.maxConnections}`),
  new ShownProperty(
    'ramp',
    ({rampRequestsPerSecond = 0}) => `${rampRequestsPerSecond} requests/s`,
  ),
  new ShownProperty('warm-up', ({warmUpMilliseconds = 0}) =>
    milliseconds(warmUpMilliseconds),
  ),
  new ShownProperty(
    'engine memory',
    ofEngine(engine => `${engine.memoryTokens} tokens`),
  ),
  new ShownProperty(
    'moves of runs',
    ofEngine(engine => yesOrNo(engine.canMoveRuns)),
  ),
  new ShownProperty(
    'backups of runs',
    ofEngine(engine => yesOrNo(engine.canBackUpRuns)),
  ),
  new ShownProperty(
    'tokens in an event',
    ofEngine(engine => engine.tokensPerEvent),
  ),
];

const CUSTOMER_PROPERTIES: readonly Property<configuration.Customer>[] = [
  new KeyProperty(),
  new ShownProperty('urgency', customer => `${customer.priority ?? 'none'}`),
  new ShownProperty('allowed regions', customer =>
    regions(customer.allowedRegions),
  ),
];

const LIMIT_PROPERTIES: readonly Property<configuration.RequestLimits>[] = [
  new ShownProperty(
    'bound for headers',
    limits => `${limits.maxHeaderBytes} bytes`,
  ),
  new ShownProperty(
    'bound for bodies',
    limits => `${limits.maxBodyBytes} bytes`,
  ),
  new ShownProperty('timeout of headers', limits =>
    milliseconds(limits.headerTimeoutMilliseconds),
  ),
  new ShownProperty('idle timeout', limits =>
    milliseconds(limits.idleTimeoutMilliseconds),
  ),
];

const GENERAL_PROPERTIES: readonly Property<configuration.Configuration>[] = [
  new ShownProperty('version', value => `${value.version}`),
  new ShownProperty('keys required', value =>
    yesOrNo(value.customers !== undefined),
  ),
];

/** Adds the differences from the first configuration to the second one. */
export function compareConfigurations(
  before: configuration.Configuration,
  after: configuration.Configuration,
  differences: findings.BoundedList<Difference>,
): void {
  const comparison = new Comparison(differences);
  comparison.compare(() => 'configuration', GENERAL_PROPERTIES, before, after);
  comparison.compare(
    () => 'limits',
    LIMIT_PROPERTIES,
    before.limits,
    after.limits,
  );
  comparison.compareAll('route', ROUTE_PROPERTIES, before.routes, after.routes);
  comparison.compareAll(
    'service',
    ENDPOINT_PROPERTIES,
    before.endpoints,
    after.endpoints,
  );
  comparison.compareAll(
    'customer',
    CUSTOMER_PROPERTIES,
    before.customers ?? [],
    after.customers ?? [],
  );
}

/** Compares entries and collects their differences. */
class Comparison {
  constructor(private readonly differences: findings.BoundedList<Difference>) {}

  compare<T>(
    placeOf: () => string,
    properties: readonly Property<T>[],
    before: T,
    after: T,
  ): void {
    for (const property of properties) {
      const message = property.compare(before, after);
      if (message !== undefined) {
        this.differences.add({place: placeOf(), message});
      }
    }
  }

  compareAll<T extends {readonly name: string}>(
    kind: string,
    properties: readonly Property<T>[],
    olds: readonly T[],
    currents: readonly T[],
  ): void {
    const oldPlaces = new findings.Places(kind, olds);
    const places = new findings.Places(kind, currents);
    const {pairs, removed} = pairByName(olds, currents);
    removed.forEach(old =>
      this.differences.add({place: oldPlaces.of(old), message: 'removed'}),
    );
    for (const {old, current} of pairs) {
      if (old === undefined) {
        this.differences.add({place: places.of(current), message: 'added'});
      } else {
        this.compare(() => places.of(current), properties, old, current);
      }
    }
  }
}

interface Pair<T> {
  /** Undefined if the entry is new. */
  readonly old: T | undefined;
  readonly current: T;
}

/** Pairs entries of the same name, in their order if a name occurs more than once. */
function pairByName<T extends {readonly name: string}>(
  olds: readonly T[],
  currents: readonly T[],
): {readonly pairs: Pair<T>[]; readonly removed: T[]} {
  const oldsByName = new Map<string, T[]>();
  for (const old of olds) {
    const sameName = oldsByName.get(old.name);
    if (sameName === undefined) {
      oldsByName.set(old.name, [old]);
    } else {
      sameName.push(old);
    }
  }
  const counts = new Map<string, number>();
  const pairs = currents.map(current => {
    const count = counts.get(current.name) ?? 0;
    counts.set(current.name, count + 1);
    return {old: oldsByName.get(current.name)?.[count], current};
  });
  const removed = [...oldsByName].flatMap(([name, sameName]) =>
    sameName.slice(counts.get(name) ?? 0),
  );
  return {pairs, removed};
}
