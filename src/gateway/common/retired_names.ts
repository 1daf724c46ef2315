/**
 * Keeps the API keys and routes that later versions of the configuration
 * removed. Callers that still use a revoked key or a removed route are rejected
 * without asking the source each time whether a newer version allows them,
 * which only makes sense for names never seen before.
 */
import * as configuration from './configuration';
import * as configurationChange from './configuration_change';

/** Maximum number of names of each kind; the oldest are removed first. */
const MAX_NAMES = 10_000;

/** Keys and routes that were active in an earlier version and are no longer. */
export class RetiredNames {
  private readonly keys = new Set<string>();
  private readonly routes = new Set<string>();

  /** Updates the names for the change from one version to the next. */
  update(
    before: configuration.Configuration,
    after: configuration.Configuration,
  ): void {
    retire(this.keys, before.customers ?? [], after.customers ?? [], keysOf);
    retire(this.routes, before.routes, after.routes, namesOf);
  }

  hasKey(key: string | undefined): boolean {
    return key !== undefined && this.keys.has(key);
  }

  /** Whether a removed route served the path. */
  hasRoute(host: string, path: string): boolean {
    for (
      let end = path.lastIndexOf('/');
      end >= 0;
      end = end > 0 ? path.lastIndexOf('/', end - 1) : -1
    ) {
      if (this.routes.has(routeName(host, path.slice(0, end + 1)))) {
        return true;
      }
    }
    return false;
  }
}

function retire<T>(
  retired: Set<string>,
  before: readonly T[],
  after: readonly T[],
  namesOfEntry: (entry: T) => readonly string[],
): void {
  const difference = configurationChange.differenceOf(before, after);
  const kept = new Set(difference.later);
  const gone = difference.earlier
    .filter(entry => !kept.has(entry))
    .flatMap(namesOfEntry);
  if (gone.length > 0) {
    const active = new Set(after.flatMap(namesOfEntry));
    gone.filter(name => !active.has(name)).forEach(name => retired.add(name));
  }
  difference.later.flatMap(namesOfEntry).forEach(name => retired.delete(name));
  for (const oldest of retired) {
    if (retired.size <= MAX_NAMES) {
      break;
    }
    retired.delete(oldest);
  }
}

function keysOf(customer: configuration.Customer): readonly string[] {
  return customer.keys;
}

function namesOf({host, pathPrefix}: configuration.Route): string[] {
  return [routeName(host, pathPrefix)];
}

function routeName(host: string, pathPrefix: string): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}
