/** How large a configuration is, and how much memory it takes while it is in force. */
import * as configuration from './configuration';

/** Memory of the objects of one entry and of its places in the lookup tables, in bytes. */
const ROUTE_BYTES = 300;
const CUSTOMER_BYTES = 150;
/** Memory of one text beside its characters, with its place in a table, in bytes. */
const TEXT_OVERHEAD_BYTES = 24;

/**
 * Share of the heap's limit that one version may take while it is in force.
 * During a change there are two, beside the text of the new one.
 */
const MAX_HEAP_SHARE = 0.2;

/** Most memory that one version may take, in bytes. */
export function maxBytes(heapLimitBytes: number): number {
  return heapLimitBytes * MAX_HEAP_SHARE;
}

/** Most entries of one list in that memory. */
export function maxEntries(maxMemoryBytes: number): number {
  return Math.floor(
    maxMemoryBytes /
      (Math.min(ROUTE_BYTES, CUSTOMER_BYTES) + TEXT_OVERHEAD_BYTES),
  );
}

/** Size of one version. */
export interface ConfigurationSize {
  readonly routes: number;
  readonly customers: number;
  /** Characters of all names, paths and keys. */
  readonly textLength: number;
  /** Estimated memory while it is in force, in bytes. */
  readonly memoryBytes: number;
}

export const NO_CONFIGURATION: ConfigurationSize = {
  routes: 0,
  customers: 0,
  textLength: 0,
  memoryBytes: 0,
};

/** Measures a configuration. */
export function measure(value: configuration.Configuration): ConfigurationSize {
  const {routes, customers = []} = value;
  let textCount = 0;
  let textLength = 0;
  const add = (text: string) => {
    textCount++;
    textLength += text.length;
  };
  for (const route of routes) {
    [route.name, route.host, route.pathPrefix].forEach(add);
    route.endpoints.forEach(each => add(each.endpoint));
    route.allowedRegions?.forEach(add);
  }
  for (const customer of customers) {
    add(customer.name);
    customer.keys.forEach(add);
    customer.allowedRegions?.forEach(add);
  }
  const memoryBytes =
    routes.length * ROUTE_BYTES +
    customers.length * CUSTOMER_BYTES +
    textCount * TEXT_OVERHEAD_BYTES +
    textLength;
  return {
    routes: routes.length,
    customers: customers.length,
    textLength,
    memoryBytes,
  };
}
