/** Looks up the route, endpoint and customer of a request in one version of the configuration. */
import * as configuration from './configuration';

/** A route that no request reaches, since another route gets all requests with its host and path. */
export interface HiddenRoute {
  readonly route: configuration.Route;
  readonly hidingRoute: configuration.Route;
}

/** Lookup tables of a configuration. */
export class RouteIndex {
  private readonly routesByHost = new Map<string, configuration.Route[]>();
  private readonly endpoints = new Map<string, configuration.Endpoint>();
  private readonly mostUrgent = new Map<string, number>();
  private readonly customersByKey = new Map<string, configuration.Customer>();

  constructor(readonly configuration: configuration.Configuration) {
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
      this.addGenerationPriority(route);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort(
        (left, right) => right.pathPrefix.length - left.pathPrefix.length,
      );
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
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Returns the routes that `findRoute` never returns. */
  hiddenRoutes(): HiddenRoute[] {
    const hidden: HiddenRoute[] = [];
    for (const routes of this.routesByHost.values()) {
      // A route's own prefix is a path of the route, which a longer prefix does not match. So only an equal prefix hides it.
      const firstByPrefix = new Map<string, configuration.Route>();
      for (const route of routes) {
        const hidingRoute = firstByPrefix.get(route.pathPrefix);
        if (hidingRoute === undefined) {
          firstByPrefix.set(route.pathPrefix, route);
        } else {
          hidden.push({route, hidingRoute});
        }
      }
    }
    return hidden;
  }

  findCustomer(key: string): configuration.Customer | undefined {
    return this.customersByKey.get(key);
  }

  /** Priority of the most urgent generations that the endpoint may get; Infinity if it gets none. */
  mostUrgentGeneration(endpoint: string): number {
    return this.mostUrgent.get(endpoint) ?? Infinity;
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
