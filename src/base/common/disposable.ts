/** Explicit release of resources. */

/** Holds a resource until disposed. Disposing twice has no effect. */
export interface Disposable {
  dispose(): void;
}

/** Creates a disposable from a release function. */
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

/** Disposes its members in reverse order of registration. */
export class DisposableStore implements Disposable {
  private readonly members: Disposable[] = [];
  private isDisposed = false;

  /** Registers a member; if the store is already disposed, disposes the member immediately. */
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

/** Starts a repeating timer that does not keep the process alive. */
export function every(
  intervalMilliseconds: number,
  action: () => void,
): Disposable {
  const timer = setInterval(action, intervalMilliseconds);
  timer.unref?.();
  return toDisposable(() => clearInterval(timer));
}
