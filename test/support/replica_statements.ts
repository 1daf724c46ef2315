/** Replicas that say something of themselves in their answers, and the requests that they get. */
import * as http from 'node:http';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from './test_gateway';

/** Requests that are sent to see that an instance gets none. */
export const SAMPLES = 12;

export const succeed = replicaStandin.succeed('record');

/** Answers like the other replica, with more headers. */
export function saying(
  headers: http.OutgoingHttpHeaders,
  handler: replicaStandin.ReplicaHandler = succeed,
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    for (const [name, value] of Object.entries(headers)) {
      response.setHeader(name, value!);
    }
    handler(request, response);
  };
}

/** Rejects each request with the `Retry-After` header. */
export function rejecting(
  retryAfter: string,
  headers: http.OutgoingHttpHeaders = {},
): replicaStandin.ReplicaHandler {
  return saying({'Retry-After': retryAfter, ...headers}, replicaStandin.shed);
}

/** Requests that the instance has got. */
export function countAt(gateway: testGateway.TestGateway, id: string): number {
  return gateway.replicas.get(id)!.requests.length;
}

/** Calls the gateway until the instance has got a request. */
export async function callUntilAt(
  gateway: testGateway.TestGateway,
  id: string,
  path = '/read/a',
): Promise<void> {
  const before = countAt(gateway, id);
  while (countAt(gateway, id) === before) {
    await gateway.call(path);
  }
}

/** Requests that the instance gets of some more. */
export async function sampleAt(
  gateway: testGateway.TestGateway,
  id: string,
): Promise<number> {
  const before = countAt(gateway, id);
  for (let count = 0; count < SAMPLES; count++) {
    await gateway.call('/read/a');
  }
  return countAt(gateway, id) - before;
}
