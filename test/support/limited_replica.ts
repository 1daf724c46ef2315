/** A replica that names a limit, and the requests that it gets. */
import * as replicaStandin from '../../standins/replica_standin';

/** Length of the window in which requests are counted, in milliseconds. */
const WINDOW_MILLISECONDS = 4_000;
/** Time after which gateways have to know the limit, in milliseconds. */
const SETTLING_MILLISECONDS = 500;

/** Requests that a replica may get in a window, by the users' rule. */
export function allowed(requestsPerSecond: number): number {
  const seconds = WINDOW_MILLISECONDS / 1000;
  return 1.5 * requestsPerSecond * seconds + 5;
}

/** Answers every request with success and its limit. */
export class LimitedReplica extends replicaStandin.ReplicaStandin {
  /** Value of the header; undefined to name none. */
  limit: string | undefined;
  /** Monotonic milliseconds of each request. */
  readonly arrivals: number[] = [];

  constructor(id: string) {
    super(id, (request, response) => {
      this.arrivals.push(performance.now());
      const headers = replicaStandin.answerHeaders(request);
      if (this.limit !== undefined) {
        headers['Server-Limit'] = this.limit;
      }
      response.writeHead(200, headers).end('record');
    });
  }

  /** Most requests in any window, without those before gateways have to know the limit. */
  mostArrivals(): number {
    const settled = this.arrivals[0] + SETTLING_MILLISECONDS;
    const counted = this.arrivals.filter(at => at >= settled);
    return Math.max(
      0,
      ...counted.map(
        from =>
          counted.filter(at => at >= from && at < from + WINDOW_MILLISECONDS)
            .length,
      ),
    );
  }
}
