/** Configurations with many routes and customers, and ordinary callers while they change. */
import * as http from 'node:http';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as countingReplica from './counting_replica';
import * as testGateway from './test_gateway';

const {HOST, KEY, route} = testGateway;

const ROUTES_PER_HOST = 100;
/** Events of one stream, and the time between two of them, in milliseconds. */
const EVENTS = 20;
const EVENT_INTERVAL_MILLISECONDS = 100;
const CALL_INTERVAL_MILLISECONDS = 20;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;

/** Numbers of entries beside those that ordinary callers use. */
export interface ConfigurationSize {
  readonly routes: number;
  readonly customers: number;
}

/** A version of a large configuration in the platform's format; versions differ in one route. */
export function configurationSpec(
  version: number,
  {routes, customers}: ConfigurationSize,
): object {
  const more = Array.from({length: routes}, (_, index) =>
    platformObjects.routeSpec(
      `host-${Math.floor(index / ROUTES_PER_HOST)}.example`,
      `/more/${index}/`,
      'idempotent',
      'ledger',
      {timeoutMs: index === 0 ? 5_000 + version : 5_000},
    ),
  );
  return testGateway.configurationSpec(version, {
    routes: [
      route('/read/', 'idempotent', 'ledger', {timeoutMs: 30_000}),
      route('/file/', 'non_idempotent', 'ledger', {attempts: 1}),
      route('/flow/', 'streaming', 'writers', {
        attempts: 1,
        timeoutMs: REQUEST_TIMEOUT_MILLISECONDS,
      }),
      ...more,
    ],
    tenants: [
      {name: 'customer-one', apiKeys: [KEY]},
      ...Array.from({length: customers}, (_, index) => ({
        name: `customer-${index}`,
        apiKeys: [`key-${index}-first`, `key-${index}-second`],
        priority: 1,
      })),
    ],
  });
}

/** Answers with a stream of events in even intervals. */
export const streamSlowly: replicaStandin.ReplicaHandler = (
  request,
  response,
) => {
  response.writeHead(200, replicaStandin.answerHeaders(request));
  let count = 0;
  const timer = setInterval(() => {
    count++;
    response.write(replicaStandin.events(count, count));
    if (count === EVENTS) {
      response.end();
      clearInterval(timer);
    }
  }, EVENT_INTERVAL_MILLISECONDS);
  response.once('close', () => clearInterval(timer));
};

/** Streams that are open all the time, and calls beside them, on kept connections. */
export class OrdinaryCallers {
  sentCount = 0;
  /** What was seen in place of whole answers. */
  readonly failures: string[] = [];
  private readonly agent = new http.Agent({keepAlive: true});
  private readonly pending = new Set<Promise<void>>();
  private isOver = false;

  constructor(
    private readonly port: number,
    private readonly streams: number,
  ) {}

  /** Sends for a time, and resolves when all is answered. */
  async run(milliseconds: number): Promise<void> {
    const streams = Array.from({length: this.streams}, () => this.stream());
    const calls = setInterval(() => {
      const call = this.send('/read/a', 'received 0');
      this.pending.add(call);
      void call.then(() => this.pending.delete(call));
    }, CALL_INTERVAL_MILLISECONDS);
    await new Promise(resolve => setTimeout(resolve, milliseconds));
    clearInterval(calls);
    this.isOver = true;
    await Promise.all([...streams, ...this.pending]);
    this.agent.destroy();
  }

  private async stream(): Promise<void> {
    while (!this.isOver) {
      const failureCount = this.failures.length;
      await this.send('/flow/a', replicaStandin.events(1, EVENTS));
      if (this.failures.length > failureCount) {
        await new Promise(resolve =>
          setTimeout(resolve, EVENT_INTERVAL_MILLISECONDS),
        );
      }
    }
  }

  private send(path: string, expected: string): Promise<void> {
    this.sentCount++;
    return new Promise(resolve => {
      const fail = (cause: string) => {
        this.failures.push(`${path}: ${cause}`);
        resolve();
      };
      const request = http.get({
        host: '127.0.0.1',
        port: this.port,
        path,
        agent: this.agent,
        timeout: REQUEST_TIMEOUT_MILLISECONDS,
        headers: {
          Host: HOST,
          Authorization: `Bearer ${KEY}`,
          'X-Rhubarbvane-Attempt-Id': countingReplica.nextAttemptId(),
          'X-Rhubarbvane-Deadline-Ms': String(REQUEST_TIMEOUT_MILLISECONDS),
        },
      });
      request.once('timeout', () => request.destroy());
      request.once('error', error => fail(error.message));
      request.once('response', response => {
        void testGateway.readAnswer(response).then(({status, body}) => {
          const isRight = status === 200 && body === expected;
          return isRight ? resolve() : fail(`${status} ${body}`);
        });
      });
    });
  }
}
