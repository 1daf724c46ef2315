/** Plain data: values that JSON can hold. */

/** Whether two values hold the same data. A field that is undefined counts as absent, as it does in JSON. */
export function isEqual(left: unknown, right: unknown): boolean {
  if (Object.is(left, right)) {
    return true;
  }
  if (!isObject(left) || !isObject(right)) {
    return false;
  }
  if (Array.isArray(left) !== Array.isArray(right)) {
    return false;
  }
  // Loops over keys, as lists of them would cost more than the comparison.
  for (const key in left) {
    if (!isEqual(left[key], right[key])) {
      return false;
    }
  }
  for (const key in right) {
    if (right[key] !== undefined && !(key in left)) {
      return false;
    }
  }
  return true;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
