/** Single requests that check whether a gateway serves. */
import * as http from 'node:http';
import * as deployment from './deployment';
import * as requestHistory from './request_history';

const TIMEOUT_MILLISECONDS = 1_000;

let probeCount = 0;

/** Sends a read to the gateway; resolves with the status, or with 0 when there is no answer. */
export function probe(
  gateway: {readonly address: string; readonly name: string},
  key: string,
  history: requestHistory.RequestHistory,
): Promise<number> {
  const attempt = `f${(++probeCount).toString(16).padStart(15, '0')}`;
  const [host, port] = gateway.address.split(':');
  const kind = requestHistory.RequestKind.Read;
  history.recordSent(attempt, kind, key, gateway.name);
  history.budget.recordRequest(
    requestHistory.serviceOf(kind),
    performance.now(),
  );
  return new Promise(resolve => {
    const request = http.get(
      {
        host,
        port: Number(port),
        path: '/read/probe',
        agent: false,
        timeout: TIMEOUT_MILLISECONDS,
        headers: {
          Host: deployment.HOST,
          Authorization: `Bearer ${key}`,
          'X-Rhubarbvane-Attempt-Id': attempt,
          'X-Rhubarbvane-Deadline-Ms': String(TIMEOUT_MILLISECONDS),
        },
      },
      response => {
        response.resume();
        response.once('close', () => resolve(response.statusCode ?? 0));
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(0));
  });
}
