/** Encodes the headers of requests to replicas. */
import * as instanceClient from '../gateway/common/instance_client';
import * as wireNames from './wire_names';

const {Headers} = wireNames;

/** Headers of a request to an instance: name, value, name, value. */
export function encodeHeaders(
  instanceId: string,
  request: instanceClient.InstanceRequest,
): string[] {
  const {caller} = request;
  const headers: string[] = [];
  for (let index = 0; index < caller.passedHeaders.length; index += 2) {
    const name = caller.passedHeaders[index];
    const isReplaced =
      request.lastEventId !== undefined &&
      name.toLowerCase() === Headers.lastEventId;
    if (!isReplaced) {
      headers.push(name, caller.passedHeaders[index + 1]);
    }
  }
  const add = (name: string, value: string | number | undefined) => {
    if (value !== undefined) {
      headers.push(name, String(value));
    }
  };
  add(Headers.remainingMilliseconds, Math.floor(request.remainingMilliseconds));
  add(Headers.expectedInstance, instanceId);
  add(Headers.customer, request.customer);
  add(Headers.urgency, request.urgency);
  add(Headers.lastEventId, request.lastEventId);
  add(Headers.backup, request.backupAddress);
  const {continuation} = request;
  add(
    Headers.continueFrom,
    continuation && `${continuation.sourceAddress}/${continuation.handle}`,
  );
  const bodyBytes = request.body.reduce((sum, chunk) => sum + chunk.length, 0);
  const hasBody = bodyBytes > 0;
  const isBodyless = caller.method === 'GET' || caller.method === 'HEAD';
  if (hasBody || !isBodyless) {
    add('content-length', bodyBytes);
  }
  return headers;
}
