/**
 * Checks of a configuration before it is sent to gateways: entries that no request reaches, and limits that contradict
 * each other. Not part of serving. The time grows with the number of entries, so that a configuration of 100,000 routes is
 * checked within seconds.
 */
import * as configuration from '../configuration';
import * as routeIndex from '../route_index';
import * as quotedText from '../../../base/common/quoted_text';
import * as findings from './findings';

/** A configuration with the lookups by which gateways match requests. */
export class CheckedConfiguration {
  readonly index: routeIndex.RouteIndex;
  readonly routePlaces: findings.Places;
  readonly endpointPlaces: findings.Places;
  readonly customerPlaces: findings.Places;

  constructor(readonly configuration: configuration.Configuration) {
    this.index = new routeIndex.RouteIndex(configuration);
    this.routePlaces = new findings.Places('route', configuration.routes);
    this.endpointPlaces = new findings.Places(
      'service',
      configuration.endpoints,
    );
    this.customerPlaces = new findings.Places('customer', this.customers);
  }

  get customers(): readonly configuration.Customer[] {
    return this.configuration.customers ?? [];
  }
}

/** One kind of finding. */
export abstract class ConfigurationCheck {
  abstract check(
    subject: CheckedConfiguration,
    found: findings.FindingList,
  ): void;
}

/**
 * Targets of requests up to the query, which gateways match with routes: a path, an absolute URI or an asterisk. The HTTP
 * parser refuses characters other than printable ASCII.
 */
const REQUEST_PATH = /^(\/|\*|https?:\/\/)[!->@-~]*$/i;

/** Routes that no request reaches, or whose requests reach no service. */
export class RouteCheck extends ConfigurationCheck {
  check(subject: CheckedConfiguration, found: findings.FindingList): void {
    const {index, routePlaces} = subject;
    for (const {route, hidingRoute} of index.hiddenRoutes()) {
      found.addWarning(
        routePlaces.of(route),
        `can never match: ${routePlaces.of(hidingRoute)} has the same host and path`,
      );
    }
    for (const route of subject.configuration.routes) {
      if (!REQUEST_PATH.test(route.pathPrefix)) {
        found.addWarning(
          routePlaces.of(route),
          `can never match: no path of a request begins with ${quotedText.quote(route.pathPrefix)}`,
        );
      }
      this.checkEndpoints(route, subject, found);
    }
  }

  private checkEndpoints(
    route: configuration.Route,
    {index, routePlaces}: CheckedConfiguration,
    found: findings.FindingList,
  ): void {
    if (route.endpoints.length === 0) {
      found.addError(routePlaces.of(route), 'names no service');
      return;
    }
    const names = new Set(route.endpoints.map(each => each.endpoint));
    for (const name of names) {
      if (index.findEndpoint(name) === undefined) {
        found.addError(
          routePlaces.of(route),
          `service ${quotedText.quote(name)} does not exist`,
        );
      }
    }
    if (!routeIndex.canDrawEndpoint(route)) {
      found.addWarning(
        routePlaces.of(route),
        'can never reach a service: the weights of its split select none',
      );
    }
  }
}

/** Services that are replaced by a later one of the same name. */
export class EndpointNameCheck extends ConfigurationCheck {
  check(subject: CheckedConfiguration, found: findings.FindingList): void {
    const {index, endpointPlaces} = subject;
    for (const endpoint of subject.configuration.endpoints) {
      const used = index.findEndpoint(endpoint.name)!;
      if (used !== endpoint) {
        found.addWarning(
          endpointPlaces.of(endpoint),
          `can never be used: ${endpointPlaces.of(used)} replaces it`,
        );
      }
    }
  }
}

/** Customers whose keys are also those of another customer, or who have no key. */
export class CustomerKeyCheck extends ConfigurationCheck {
  check(subject: CheckedConfiguration, found: findings.FindingList): void {
    const {index, customerPlaces} = subject;
    for (const customer of subject.customers) {
      if (customer.keys.length === 0) {
        found.addWarning(
          customerPlaces.of(customer),
          'can never match: it has no keys',
        );
      }
      const sharedKeys = new Map<configuration.Customer, number>();
      for (const key of new Set(customer.keys)) {
        const holder = index.findCustomer(key)!;
        if (holder !== customer) {
          sharedKeys.set(holder, (sharedKeys.get(holder) ?? 0) + 1);
        }
      }
      for (const [holder, count] of sharedKeys) {
        found.addError(
          customerPlaces.of(customer),
          `${customerPlaces.of(holder)} holds ${count} of its keys too and gets their requests`,
        );
      }
    }
  }
}

/** Allowed regions that every other list of the same request excludes. */
export class RegionCheck extends ConfigurationCheck {
  check(subject: CheckedConfiguration, found: findings.FindingList): void {
    // Requests on public routes have no customer.
    const routes = subject.configuration.routes.filter(each => !each.isPublic);
    const customers = subject.customers.filter(each => each.keys.length > 0);
    const ofCustomers = regionsOfAll(customers);
    const ofRoutes = regionsOfAll(routes);
    for (const route of routes) {
      for (const region of missingRegions(route, ofCustomers)) {
        found.addWarning(
          subject.routePlaces.of(route),
          `allowed region ${quotedText.quote(region)} can never be used: no customer allows it`,
        );
      }
    }
    for (const customer of customers) {
      for (const region of missingRegions(customer, ofRoutes)) {
        found.addWarning(
          subject.customerPlaces.of(customer),
          `allowed region ${quotedText.quote(region)} can never be used: no route that needs a key allows it`,
        );
      }
    }
  }
}

interface RegionRestricted {
  readonly allowedRegions?: readonly string[];
}

/** Regions that any of the entries allows; undefined if they allow all, or if there are no entries. */
function regionsOfAll(
  entries: readonly RegionRestricted[],
): ReadonlySet<string> | undefined {
  const regions = new Set<string>();
  for (const {allowedRegions} of entries) {
    if (allowedRegions === undefined) {
      return undefined;
    }
    allowedRegions.forEach(region => regions.add(region));
  }
  return entries.length === 0 ? undefined : regions;
}

function missingRegions(
  entry: RegionRestricted,
  allowed: ReadonlySet<string> | undefined,
): string[] {
  return allowed === undefined
    ? []
    : [...new Set(entry.allowedRegions)].filter(each => !allowed.has(each));
}

/** Limits that contradict each other, or that refuse every request. */
export class LimitCheck extends ConfigurationCheck {
  check(subject: CheckedConfiguration, found: findings.FindingList): void {
    const {routes, endpoints, limits} = subject.configuration;
    if (limits.maxHeaderBytes <= 0) {
      found.addError(
        'limits',
        `a bound of ${limits.maxHeaderBytes} bytes for headers refuses every request`,
      );
    }
    if (limits.maxBodyBytes <= 0) {
      found.addError(
        'limits',
        `a bound of ${limits.maxBodyBytes} bytes for bodies refuses every request with a body`,
      );
    }
    routes.forEach(route => this.checkRoute(route, subject.routePlaces, found));
    for (const endpoint of endpoints) {
      const {warmUpMilliseconds = 0, rampRequestsPerSecond = 0} = endpoint;
      if (warmUpMilliseconds > 0 && rampRequestsPerSecond === 0) {
        found.addWarning(
          subject.endpointPlaces.of(endpoint),
          `a warm-up of ${warmUpMilliseconds} ms with a ramp of 0 limits no cold instance`,
        );
      }
    }
  }

  private checkRoute(
    route: configuration.Route,
    places: findings.Places,
    found: findings.FindingList,
  ): void {
    const {timeoutMilliseconds, objectiveMilliseconds, attempts} = route;
    if (timeoutMilliseconds <= 0) {
      found.addError(
        places.of(route),
        `a timeout of ${timeoutMilliseconds} ms fails every request`,
      );
    }
    if (objectiveMilliseconds > timeoutMilliseconds) {
      found.addWarning(
        places.of(route),
        `the objective of ${objectiveMilliseconds} ms is beyond the timeout of ${timeoutMilliseconds} ms`,
      );
    }
    if (attempts > 1 && !configuration.isRetryable(route)) {
      found.addWarning(
        places.of(route),
        `of ${attempts} attempts only one is used: the route is neither idempotent nor resumable`,
      );
    }
  }
}

const CHECKS: readonly ConfigurationCheck[] = [
  new RouteCheck(),
  new EndpointNameCheck(),
  new CustomerKeyCheck(),
  new RegionCheck(),
  new LimitCheck(),
];

/** Adds all findings of the configuration. */
export function checkConfiguration(
  value: configuration.Configuration,
  found: findings.FindingList,
): void {
  const subject = new CheckedConfiguration(value);
  CHECKS.forEach(each => each.check(subject, found));
}

/** Adds a finding if gateways with the version in force would not take the other one. */
export function checkVersion(
  value: configuration.Configuration,
  inForce: configuration.Configuration,
  found: findings.FindingList,
): void {
  if (new routeIndex.RouteIndex(inForce).isAsNewAs(value)) {
    found.addWarning(
      'configuration',
      `gateways do not take version ${value.version}: it is not above version ${inForce.version}, which is in force`,
    );
  }
}
