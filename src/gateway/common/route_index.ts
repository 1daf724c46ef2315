/** Looks up the route, endpoint and customer of a request in one version of the configuration. */
import * as configuration from './configuration';

/** A route that no request reaches, since another route gets all requests with its host and path. */
export interface HiddenRoute {
  readonly route: configuration.Route;
  readonly hidingRoute: configuration.Route;
}

/** Routes of one host. */
class HostRoutes {
  /** Each route by its prefix; of several with one prefix the first. */
  readonly byPrefix = new Map<string, configuration.Route>();
  /** Prefixes that do not end with a slash, so that they may end anywhere in a path. */
  private readonly irregularPrefixes: string[] = [];

  /** Adds a route; returns the earlier route with its prefix, which gets all of its requests. */
  add(route: configuration.Route): configuration.Route | undefined {
    const {pathPrefix} = route;
    const earlier = this.byPrefix.get(pathPrefix);
    if (earlier !== undefined) {
      return earlier;
    }
    this.byPrefix.set(pathPrefix, route);
    if (!pathPrefix.endsWith('/')) {
      this.irregularPrefixes.push(pathPrefix);
    }
    return undefined;
  }

  /** Returns the route with the longest prefix of the path. */
  find(path: string): configuration.Route | undefined {
    const prefix = this.irregularPrefixes
      .filter(each => path.startsWith(each))
      .reduce(
        (longest, each) => (each.length > longest.length ? each : longest),
        this.longestRegularPrefix(path),
      );
    return this.byPrefix.get(prefix);
  }

  private longestRegularPrefix(path: string): string {
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const prefix = path.slice(0, end + 1);
      if (this.byPrefix.has(prefix)) {
        return prefix;
      }
      // With a negative position, lastIndexOf would find a slash at the start again.
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return '';
  }
}

/** Lookup tables of a configuration. */
export class RouteIndex {
  private readonly hosts = new Map<string, HostRoutes>();
  private readonly hidden: HiddenRoute[] = [];
  private readonly endpoints = new Map<string, configuration.Endpoint>();
  private readonly mostUrgent = new Map<string, number>();
  private readonly customersByKey = new Map<string, configuration.Customer>();

  constructor(readonly configuration: configuration.Configuration) {
    for (const route of configuration.routes) {
      this.addRoute(route);
      this.addGenerationPriority(route);
    }
    for (const endpoint of configuration.endpoints) {
      this.endpoints.set(endpoint.name, endpoint);
    }
    for (const customer of configuration.customers ?? []) {
      customer.keys.forEach(key => this.customersByKey.set(key, customer));
    }
  }

  /** Whether the other configuration adds nothing: an older version, or the same one without more of its content. */
  isAsNewAs(other: configuration.Configuration): boolean {
    const {version, hasAllowedRegions} = this.configuration;
    const isMoreComplete =
      hasAllowedRegions !== true && other.hasAllowedRegions === true;
    return (
      other.version < version || (other.version === version && !isMoreComplete)
    );
  }

  /** Whether requests on non-public routes need an API key. */
  get needsKeys(): boolean {
    return this.configuration.customers !== undefined;
  }

  /** Returns the route of the host with the longest prefix that matches the path. */
  findRoute(host: string, path: string): configuration.Route | undefined {
    return this.hosts.get(host.toLowerCase())?.find(path);
  }

  /** Returns the routes that `findRoute` never returns. */
  hiddenRoutes(): readonly HiddenRoute[] {
    return this.hidden;
  }

  findCustomer(key: string): configuration.Customer | undefined {
    return this.customersByKey.get(key);
  }

  /** Priority of the most urgent generations that the endpoint may get; Infinity if it gets none. */
  mostUrgentGeneration(endpoint: string): number {
    return this.mostUrgent.get(endpoint) ?? Infinity;
  }

  private addRoute(route: configuration.Route): void {
    const routes = this.hosts.get(route.host) ?? new HostRoutes();
    this.hosts.set(route.host, routes);
    // A route's own prefix is a path of the route, which a longer prefix does not match. So only an equal prefix hides it.
    const hidingRoute = routes.add(route);
    if (hidingRoute !== undefined) {
      this.hidden.push({route, hidingRoute});
    }
  }

  private addGenerationPriority(route: configuration.Route): void {
    if (!route.isGeneration) {
      return;
    }
    for (const {endpoint} of route.endpoints) {
      const known = this.mostUrgentGeneration(endpoint);
      this.mostUrgent.set(endpoint, Math.min(known, route.priority));
    }
  }

  findEndpoint(name: string): configuration.Endpoint | undefined {
    return this.endpoints.get(name);
  }
}

/** Largest number below 1. */
const LARGEST_DRAW = 1 - Number.EPSILON / 2;

/** Whether any draw returns an endpoint of the route. Not even all negative weights exclude one: their total is negative too. */
export function canDrawEndpoint(route: configuration.Route): boolean {
  // The part of the total that is drawn grows or falls evenly with the draw, so one of both ends returns an endpoint if any draw does.
  return [0, LARGEST_DRAW].some(
    draw => drawEndpoint(route, draw) !== undefined,
  );
}

/** Returns an endpoint of a route in proportion to its weight; `draw` is a random number between 0 and 1. Undefined when no weight is positive. */
export function drawEndpoint(
  route: configuration.Route,
  draw: number,
): string | undefined {
  const total = route.endpoints.reduce((sum, each) => sum + each.weight, 0);
  let left = draw * total;
  for (const each of route.endpoints) {
    left -= each.weight;
    if (left < 0) {
      return each.endpoint;
    }
  }
  return undefined;
}
