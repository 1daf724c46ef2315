/** Decodes the requests of callers. */
import * as http from 'node:http';
import * as instanceClient from '../gateway/common/instance_client';
import * as wireNames from './wire_names';

const {Headers} = wireNames;

function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function nonNegativeNumber(value: string | undefined): number | undefined {
  const parsed = Number(value);
  return value !== undefined && Number.isFinite(parsed) && parsed >= 0
    ? parsed
    : undefined;
}

/** Number of parts of a prompt that are decoded; the first ones are shared by the most requests. */
const MAX_SHARED_PARTS = 16;
const PART_ID = /^[0-9a-f]{1,32}$/;

/** Ids from a list of ID:TOKENS entries without the last, which belongs to the request or its session. Entries without a valid id are left out. */
function sharedParts(value: string | undefined): readonly string[] {
  return (value ?? '')
    .split(',')
    .slice(0, -1)
    .map(entry => entry.split(':', 1)[0].trim().toLowerCase())
    .filter(id => PART_ID.test(id))
    .slice(0, MAX_SHARED_PARTS);
}

function bearerKey(value: string | undefined): string | undefined {
  return /^Bearer +(\S+) *$/i.exec(value ?? '')?.[1];
}

/** Header names that the Connection header lists as applying to this connection only. */
function connectionOptions(headers: http.IncomingHttpHeaders): Set<string> {
  const names = (headers.connection ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  return new Set(names.filter(name => name.length > 0));
}

/** Headers that may be forwarded: name, value, name, value. */
export function forwardableHeaders(
  message: http.IncomingMessage,
  excluded: ReadonlySet<string>,
): string[] {
  const listed = connectionOptions(message.headers);
  const forwarded: string[] = [];
  for (let index = 0; index < message.rawHeaders.length; index += 2) {
    const name = message.rawHeaders[index].toLowerCase();
    const isExcluded =
      wireNames.CONNECTION_HEADERS.has(name) ||
      excluded.has(name) ||
      (listed.has(name) && !ALWAYS_FORWARDED.has(name));
    if (!isExcluded) {
      forwarded.push(message.rawHeaders[index], message.rawHeaders[index + 1]);
    }
  }
  return forwarded;
}

/** Headers without which a request would mean something else; forwarded even if the Connection header lists them. */
const ALWAYS_FORWARDED: ReadonlySet<string> = new Set([
  'host',
  Headers.attemptId,
  Headers.model,
  Headers.tokenLimits,
  Headers.promptParts,
]);

/** Whether a request has no Host header or several, so that its route is ambiguous. */
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
    waitMilliseconds: nonNegativeNumber(
      headerText(headers[Headers.remainingMilliseconds]),
    ),
    key: bearerKey(headers.authorization),
    promptTokens: nonNegativeNumber(promptTokens) ?? 0,
    maxTokens: nonNegativeNumber(maxTokens) ?? 0,
    sharedParts: sharedParts(headerText(headers[Headers.promptParts])),
    lengthHint: nonNegativeNumber(headerText(headers[Headers.lengthHint])),
    lastEventId: headerText(headers[Headers.lastEventId]),
    resumedAttemptId: headerText(headers[Headers.resumes]),
    passedHeaders: forwardableHeaders(request, wireNames.SYSTEM_HEADERS),
  };
}
