/** Reads metrics of processes. */
import * as httpClient from '../src/base/node/http_client';

const TIMEOUT_MILLISECONDS = 5_000;

/** Sum of a metric over all label sets that contain the text. */
export async function readMetric(
  url: string,
  name: string,
  labels = '',
): Promise<number> {
  const answer = await httpClient.callHttp({
    method: 'GET',
    url: `${url}/metrics`,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  let sum = 0;
  for (const line of answer.body.toString('utf8').split('\n')) {
    const matchesName =
      line.startsWith(`${name}{`) || line.startsWith(`${name} `);
    if (matchesName && line.includes(labels)) {
      sum += Number(line.slice(line.lastIndexOf(' ') + 1));
    }
  }
  return sum;
}

/** CPU time that the process has used, in seconds. */
export function readProcessorSeconds(url: string): Promise<number> {
  return readMetric(url, 'process_cpu_seconds_total');
}
