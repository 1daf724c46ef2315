/** Decodes what replicas say of themselves in the headers of their answers. */
import * as http from 'node:http';
import * as instanceClient from '../gateway/common/instance_client';
import * as limitCodec from './limit_codec';
import * as wireNames from './wire_names';

const {Headers} = wireNames;

const DECIMAL_NUMBER = /^(?:\d+\.?\d*|\.\d+)$/;
/** Longest time that counts; longer ones are shortened to it. */
const MAX_MILLISECONDS = 3_600_000;
/** Characters of an unreadable value that are kept for the log. */
const MAX_TEXT_LENGTH = 40;
const LEAVING = '1';

type HeaderValue = string | string[] | undefined;

/** Decodes the statements of a replica in its answer. */
export function decodeStatements(
  headers: http.IncomingHttpHeaders,
): instanceClient.InstanceStatements {
  const leaving = headers[Headers.leaving];
  return {
    limit: limitCodec.decodeLimit(headers[Headers.requestLimit]),
    warmUp: decodeTime(headers[Headers.warmUp], 1),
    retryAfter: decodeTime(headers[Headers.retryAfter], 1_000),
    leaving:
      leaving === undefined
        ? undefined
        : {isLeaving: trimmed(leaving) === LEAVING, text: shortened(leaving)},
  };
}

/** Decodes a time in the unit; undefined if the answer has none. */
function decodeTime(
  value: HeaderValue,
  unitMilliseconds: number,
): instanceClient.AnswerTime | undefined {
  if (value === undefined) {
    return undefined;
  }
  const text = trimmed(value);
  const number = DECIMAL_NUMBER.test(text) ? Number(text) : NaN;
  const milliseconds = Number.isFinite(number)
    ? Math.min(MAX_MILLISECONDS, number * unitMilliseconds)
    : undefined;
  return {milliseconds, text: shortened(value)};
}

function trimmed(value: string | string[]): string {
  return String(value).trim();
}

function shortened(value: string | string[]): string {
  return trimmed(value).slice(0, MAX_TEXT_LENGTH);
}
