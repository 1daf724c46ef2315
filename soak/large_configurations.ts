/** Configurations that grow by thousands of routes, and change in quick succession. */
import * as timers from 'node:timers/promises';
import * as platformObjects from '../standins/platform_objects';
import * as random from './random';

const MIN_ROUTES = 1_400;
const MAX_ROUTES = 3_000;
/** Shortest time for which versions follow each other, in milliseconds. */
const MIN_MILLISECONDS = 2_000;
const MIN_INTERVAL_MILLISECONDS = 100;
const MAX_INTERVAL_MILLISECONDS = 300;
/** Share of the times at whose end the routes are taken away again. */
const REMOVAL_SHARE = 0.4;
/** Share of the requests on such routes that use those of an earlier version. */
const OUTDATED_SHARE = 0.1;

/** Routes that one version adds. */
export class RouteBatch {
  private readonly routes: object[];

  constructor(
    readonly name: string,
    private readonly hostname: string,
    count: number,
  ) {
    this.routes = Array.from({length: count}, (_, index) =>
      this.route(index, 0),
    );
  }

  get specs(): readonly object[] {
    return this.routes;
  }

  /** Path of a request on one of the routes. */
  pathOf(index: number): string {
    return `${this.prefixOf(index % this.routes.length)}x`;
  }

  /** Changes one route without an effect on callers. */
  change(version: number): void {
    const index = version % this.routes.length;
    this.routes[index] = this.route(index, version % 100);
  }

  private prefixOf(index: number): string {
    return `/routes/with/a/prefix/of/common/length/of/${this.name}/${index}/`;
  }

  private route(index: number, extraMilliseconds: number): object {
    const prefix = this.prefixOf(index);
    return platformObjects.routeSpec(
      this.hostname,
      prefix,
      'idempotent',
      'ledger',
      {timeoutMs: 2_000, sloMs: 150 + extraMilliseconds},
    );
  }
}

/** Where the configuration is written. */
export interface ConfigurationWriter {
  /** Adds so many routes in one version, in place of those added before. */
  addRoutes(count: number): void;
  removeRoutes(): void;
  /** Writes the next version, which differs a little. */
  configure(): void;
}

/** Writes a large configuration and then many versions of it. */
export async function writeLargeConfigurations(
  writer: ConfigurationWriter,
  numbers: random.Random,
  milliseconds: number,
): Promise<void> {
  const endsAt = performance.now() + MIN_MILLISECONDS + milliseconds;
  writer.addRoutes(numbers.integer(MIN_ROUTES, MAX_ROUTES));
  while (performance.now() < endsAt) {
    await timers.setTimeout(
      numbers.integer(MIN_INTERVAL_MILLISECONDS, MAX_INTERVAL_MILLISECONDS),
    );
    writer.configure();
  }
  if (numbers.chance(REMOVAL_SHARE)) {
    writer.removeRoutes();
  }
}

/** The batch whose routes a request uses; undefined if there are none. */
export function pickBatch(
  batches: readonly RouteBatch[],
  numbers: random.Random,
): RouteBatch | undefined {
  return numbers.chance(OUTDATED_SHARE) ? batches.at(-2) : batches.at(-1);
}
