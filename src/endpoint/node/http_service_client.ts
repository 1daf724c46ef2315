/** HTTP client of a plain service. */
import * as neverthrow from 'neverthrow';
import * as httpClient from '../../base/node/http_client';
import * as sideCalls from '../../protocol/common/side_calls';
import * as serviceClient from '../common/service_client';

const HEALTH_TIMEOUT_MILLISECONDS = 1_000;

/** Sends calls to a plain service over HTTP. */
export class HttpServiceClient extends serviceClient.ServiceClient {
  constructor(private readonly url: string) {
    super();
  }

  async call(call: sideCalls.ServiceCall) {
    const body = Buffer.from(call.bodyBase64, 'base64');
    const headers: Record<string, string | number> = {
      'content-type': call.contentType,
      'content-length': body.length,
      traceparent: call.traceparent,
    };
    if (call.idempotencyKey !== '') {
      headers['idempotency-key'] = call.idempotencyKey;
    }
    try {
      const response = await httpClient.callHttp({
        method: call.method,
        url: this.url + call.path,
        headers,
        body,
        timeoutMilliseconds: call.timeoutMilliseconds,
      });
      return neverthrow.ok({
        status: response.status,
        contentType:
          response.headers['content-type'] ?? 'application/octet-stream',
        bodyBase64: response.body.toString('base64'),
      });
    } catch (error) {
      const kind = httpClient.neverSent(error)
        ? serviceClient.ServiceError.NotSent
        : serviceClient.ServiceError.Unknown;
      return neverthrow.err(kind);
    }
  }

  async isAlive(): Promise<boolean> {
    const response = await httpClient.callHttp({
      method: 'GET',
      url: `${this.url}/healthz`,
      timeoutMilliseconds: HEALTH_TIMEOUT_MILLISECONDS,
    });
    return response.status < 500;
  }
}
