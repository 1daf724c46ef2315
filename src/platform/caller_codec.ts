/** Decodes the requests of callers. */
import * as http from 'node:http';
import * as instanceClient from '../gateway/common/instance_client';
import * as wireNames from './wire_names';

const {Headers} = wireNames;

function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function positiveNumber(value: string | undefined): number | undefined {
  const parsed = Number(value);
  return value !== undefined && Number.isFinite(parsed) && parsed >= 0
    ? parsed
    : undefined;
}

function bearerKey(value: string | undefined): string | undefined {
  return /^Bearer +(\S+) *$/i.exec(value ?? '')?.[1];
}

/** Names that the Connection header lists as concerning only this connection. */
function connectionNames(headers: http.IncomingHttpHeaders): Set<string> {
  const names = (headers.connection ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  return new Set(names.filter(name => name.length > 0));
}

/** Headers that may be passed on: name, value, name, value. */
export function passableHeaders(
  message: http.IncomingMessage,
  withheld: ReadonlySet<string>,
): string[] {
  const listed = connectionNames(message.headers);
  const passed: string[] = [];
  for (let index = 0; index < message.rawHeaders.length; index += 2) {
    const name = message.rawHeaders[index].toLowerCase();
    const isHeldBack =
      wireNames.CONNECTION_HEADERS.has(name) ||
      withheld.has(name) ||
      (listed.has(name) && !ALWAYS_PASSED.has(name));
    if (!isHeldBack) {
      passed.push(message.rawHeaders[index], message.rawHeaders[index + 1]);
    }
  }
  return passed;
}

/** Headers without which a request means something else; listing them as connection headers removes nothing. */
const ALWAYS_PASSED: ReadonlySet<string> = new Set([
  'host',
  Headers.attemptId,
  Headers.model,
  Headers.tokenLimits,
  Headers.promptParts,
]);

/** Whether a request has several Host headers, so that its route is ambiguous. */
export function hasAmbiguousHost(request: http.IncomingMessage): boolean {
  return (request.headersDistinct.host?.length ?? 0) !== 1;
}

/** Decodes a request without its body. */
export function decodeCallerRequest(
  request: http.IncomingMessage,
): instanceClient.CallerRequest {
  const {headers} = request;
  const target = request.url ?? '/';
  const [promptTokens, maxTokens] = (
    headerText(headers[Headers.tokenLimits]) ?? ''
  ).split(',');
  return {
    method: request.method ?? 'GET',
    target,
    path: target.split('?', 1)[0],
    host: headers.host ?? '',
    attemptId: headerText(headers[Headers.attemptId]),
    waitMilliseconds: positiveNumber(
      headerText(headers[Headers.remainingMilliseconds]),
    ),
    key: bearerKey(headers.authorization),
    promptTokens: positiveNumber(promptTokens) ?? 0,
    maxTokens: positiveNumber(maxTokens) ?? 0,
    lengthHint: positiveNumber(headerText(headers[Headers.lengthHint])),
    lastEventId: headerText(headers[Headers.lastEventId]),
    passedHeaders: passableHeaders(request, wireNames.SYSTEM_HEADERS),
  };
}
