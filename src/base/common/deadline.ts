/** Time limits and delays for promises. */

/** Error of an operation that did not finish within its time limit. */
export class DeadlineError extends Error {
  constructor(readonly milliseconds: number) {
    super(`timed out after ${milliseconds} ms`);
  }
}

/** Settles like the promise, or rejects with DeadlineError when the time limit passes first. */
export async function withDeadline<T>(
  promise: Promise<T>,
  milliseconds: number,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const expiry = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new DeadlineError(milliseconds)),
      milliseconds,
    );
  });
  try {
    return await Promise.race([promise, expiry]);
  } finally {
    clearTimeout(timer);
  }
}

/** Resolves after the given time. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

/** Returns a random value between 0.5 and 1.5 times the argument. */
export function jittered(milliseconds: number): number {
  return milliseconds * (0.5 + Math.random());
}
