/** Bounds on waiting for promises. */

/** Raised when a promise does not settle in time. */
export class DeadlineError extends Error {
  constructor(readonly milliseconds: number) {
    super(`no answer within ${milliseconds} ms`);
  }
}

/** Settles as the promise does, or rejects with DeadlineError. */
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

/** Returns a value between 0.5 and 1.5 times the argument. */
export function jittered(milliseconds: number): number {
  return milliseconds * (0.5 + Math.random());
}
