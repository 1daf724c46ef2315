/** Decodes the requests of callers. */
import * as crypto from 'node:crypto';
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

/** Length of a key of a part, in characters. */
const MAX_PART_KEY_LENGTH = 32;
const SHORT_PART_ID = /^[0-9a-f]{1,32}$/;
/** Precedes the hash of any other id; not a hexadecimal digit. */
const HASHED_PREFIX = 'x';

/** Keys of a list of ID:TOKENS entries without the last, which belongs to the request or its session. The limit of all headers bounds their number. */
function sharedParts(value: string | undefined): readonly string[] {
  const entries = (value ?? '').split(',').slice(0, -1);
  return [...new Set(entries.map(partKey))];
}

/** The id of an entry, or a hash of an id that is long or not hexadecimal, so that each part is told from the others. */
function partKey(entry: string): string {
  const id = entry.split(':', 1)[0].trim().toLowerCase();
  if (SHORT_PART_ID.test(id)) {
    return id;
  }
  const digest = crypto.createHash('sha256').update(id).digest('hex');
  return (HASHED_PREFIX + digest).slice(0, MAX_PART_KEY_LENGTH);
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
