/** Decodes the limits that replicas name in their answers. */
import * as instanceLimits from '../gateway/common/limits/instance_limits';

const DECIMAL_NUMBER = /^(?:\d+\.?\d*|\.\d+)$/;
/** Characters of an unreadable limit that are kept for the log. */
const MAX_TEXT_LENGTH = 40;

/** Decodes the value of the header; undefined if the answer has none. */
export function decodeLimit(
  value: string | string[] | undefined,
): instanceLimits.AnswerLimit | undefined {
  if (value === undefined) {
    return undefined;
  }
  const text = String(value).trim();
  const rate = DECIMAL_NUMBER.test(text) ? Number(text) : NaN;
  return {
    requestsPerSecond: Number.isFinite(rate) ? rate : undefined,
    text: text.slice(0, MAX_TEXT_LENGTH),
  };
}
