/** Release of resources by their owners. */

/** Owns a resource until disposed. Disposing twice has no effect. */
export interface Disposable {
  dispose(): void;
}

/** Makes a disposable from a release function. */
export function toDisposable(release: () => void): Disposable {
  let isDisposed = false;
  return {
    dispose() {
      if (isDisposed) {
        return;
      }
      isDisposed = true;
      release();
    },
  };
}

/** Releases its members in the reverse order of their registration. */
export class DisposableStore implements Disposable {
  private readonly members: Disposable[] = [];
  private isDisposed = false;

  /** Registers a member; a store already disposed releases it at once. */
  add<T extends Disposable>(member: T): T {
    if (this.isDisposed) {
      member.dispose();
      return member;
    }
    this.members.push(member);
    return member;
  }

  dispose(): void {
    this.isDisposed = true;
    while (this.members.length > 0) {
      this.members.pop()!.dispose();
    }
  }
}

/** Makes a repeating timer; it does not keep the process alive. */
export function every(
  intervalMilliseconds: number,
  action: () => void,
): Disposable {
  const timer = setInterval(action, intervalMilliseconds);
  timer.unref?.();
  return toDisposable(() => clearInterval(timer));
}
