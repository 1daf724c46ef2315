/** A replica that names a limit, and the requests that it gets. */
import * as replicaStandin from '../../standins/replica_standin';
import * as requestLimit from '../../standins/request_limit';

/** Time after which gateways have to know the limit, in milliseconds. */
const SETTLING_MILLISECONDS = 500;

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
    return requestLimit.mostInWindow(this.arrivals.filter(at => at >= settled));
  }
}
