/** Copies of runs in the memory of replicas, and the transfers that make backups. */

/** Tokens of the prompt of every run. */
export const PROMPT_TOKENS = 100;
/** Time for which a copy is kept after its last part, in milliseconds; as configured. */
export const COPY_LIFETIME_MILLISECONDS = 5_000;
/** Interval at which a backup gets what its run has added, in milliseconds. */
const PART_INTERVAL_MILLISECONDS = 100;

/** Memory of a run at a replica that does not run it. */
export interface Copy {
  readonly attempt: string;
  /** Address by which `Kv-From` names it. */
  readonly source: string;
  /** Number of pieces up to which the run is copied. */
  pieces: number;
  /** Monotonic milliseconds. */
  expiresAt: number;
  /** A copy can be used once, also if two replicas hold it. */
  isUsed: boolean;
}

/** Copies that one replica holds from its start until it ends or crashes. */
export class CopyStore {
  private readonly copies = new Map<string, Copy>();
  /** Whether runs occupy all memory, so that no copy may be added or grow. */
  isFull = false;

  get count(): number {
    return this.live().length;
  }

  /** Tokens that all copies occupy. */
  get tokens(): number {
    return this.live().reduce(
      (sum, copy) => sum + PROMPT_TOKENS + copy.pieces,
      0,
    );
  }

  /** Adds a copy or replaces it by its next state; returns whether there was room. */
  put(handle: string, copy: Copy): boolean {
    if (this.isFull) {
      return false;
    }
    this.copies.set(handle, copy);
    return true;
  }

  /** Uses the copy that the value of `Kv-From` names; undefined if there is none. */
  take(name: string): Copy | undefined {
    const [source, handle] = name.split('/');
    const copy = this.copies.get(handle);
    const isUsable =
      copy !== undefined &&
      this.live().includes(copy) &&
      copy.source === source;
    if (!isUsable) {
      return undefined;
    }
    copy.isUsed = true;
    return copy;
  }

  /** Frees a copy; at the source of a copy, at both ends. */
  free(handle: string): void {
    const copy = this.copies.get(handle);
    if (copy !== undefined) {
      copy.isUsed = true;
      this.copies.delete(handle);
    }
  }

  private live(): Copy[] {
    const now = performance.now();
    return [...this.copies.values()].filter(
      copy => !copy.isUsed && copy.expiresAt > now,
    );
  }
}

/** Finds the memory of the replica at an address; undefined if the replica is not reached. */
export type CopyStoreFinder = (address: string) => CopyStore | undefined;

/** Sends the memory of a run to the replica that keeps its backup. */
export class BackupTransfer {
  private readonly timer: NodeJS.Timeout;
  private store: CopyStore | undefined;
  private copy: Copy | undefined;
  private startedAt = performance.now();

  constructor(
    private readonly run: {
      readonly attempt: string;
      readonly sentPieces: number;
    },
    private readonly address: string,
    /** Time that the first part takes, in milliseconds. */
    private readonly transferMilliseconds: number,
    private readonly findStore: CopyStoreFinder,
  ) {
    this.timer = setInterval(() => this.send(), PART_INTERVAL_MILLISECONDS);
  }

  /** Ends the transfer; the backup is freed if the run ended well. */
  end(hasEndedWell: boolean): void {
    clearInterval(this.timer);
    if (hasEndedWell && this.copy !== undefined) {
      this.copy.isUsed = true;
    }
  }

  private send(): void {
    if (this.copy?.isUsed) {
      return;
    }
    const store = this.findStore(this.address);
    const now = performance.now();
    if (store !== this.store) {
      // The replica at the address has started again, or was not reached.
      this.store = store;
      this.copy = undefined;
      this.startedAt = now;
    }
    const isTransferring = now - this.startedAt < this.transferMilliseconds;
    if (store === undefined || isTransferring) {
      return;
    }
    const {attempt, sentPieces} = this.run;
    const copy = this.copy ?? {
      attempt,
      source: this.address,
      pieces: 0,
      expiresAt: 0,
      isUsed: false,
    };
    if (store.put(attempt, copy)) {
      copy.pieces = sentPieces;
      copy.expiresAt = now + COPY_LIFETIME_MILLISECONDS;
      this.copy = copy;
    }
  }
}
