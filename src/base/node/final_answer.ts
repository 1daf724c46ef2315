/** Tells answers in HTTP/1 from what servers in trouble send. */
import * as http from 'node:http';

const HTTP_MAJOR_VERSION = 1;
/** Statuses of final answers (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Whether the message is a final answer in HTTP/1, with headers that may be written again as they are. */
export function isFinalAnswer(response: http.IncomingMessage): boolean {
  const status = response.statusCode ?? 0;
  return (
    response.httpVersionMajor === HTTP_MAJOR_VERSION &&
    status >= MIN_FINAL_STATUS &&
    status <= MAX_FINAL_STATUS &&
    hasWritableHeaders(response)
  );
}

function hasWritableHeaders({rawHeaders}: http.IncomingMessage): boolean {
  try {
    for (let index = 0; index < rawHeaders.length; index += 2) {
      http.validateHeaderName(rawHeaders[index]);
      http.validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
    }
    return true;
  } catch {
    return false;
  }
}
