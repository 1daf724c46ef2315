/** Copies of runs in the memory of replicas, and the transfers that make backups. */

/** Tokens of the prompt of every run. */
export const PROMPT_TOKENS = 100;
/** Time for which a copy is kept after its last part, in milliseconds; as configured. */
export const COPY_LIFETIME_MILLISECONDS = 5_000;
/** Time that a part of a backup, or a copy made on order, takes within a data centre, in milliseconds; by `KV_BYTES` and `LINK_MEGABITS` for a prompt. */
const TRANSFER_MILLISECONDS = 50;
/** Factor for transfers between data centres. */
const REMOTE_FACTOR = 2;
/** Bytes that are transferred for a token; as configured. */
export const KV_BYTES = 6_250;
/** Megabits a second of the links between replicas; as configured. */
export const LINK_MEGABITS = 100;

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

  constructor(readonly dataCentre: string) {}

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

/** Time that the memory of a run takes to the store, in milliseconds. */
export function transferTime(dataCentre: string, target: CopyStore): number {
  const factor = target.dataCentre === dataCentre ? 1 : REMOTE_FACTOR;
  return TRANSFER_MILLISECONDS * factor;
}

/** How a replica sends backups. */
export interface BackupOptions {
  /** Interval of the parts; the first one is sent after it, in milliseconds. */
  readonly intervalMilliseconds: number;
  /** Data centre of the replica that runs the request. */
  readonly dataCentre: string;
  readonly findStore: CopyStoreFinder;
}

/** Sends the memory of a run to the replica that keeps its backup. */
export class BackupTransfer {
  private readonly timer: NodeJS.Timeout;
  private hasEnded = false;
  private store: CopyStore | undefined;
  private copy: Copy | undefined;

  constructor(
    private readonly run: {
      readonly attempt: string;
      readonly sentPieces: number;
    },
    private readonly address: string,
    private readonly options: BackupOptions,
  ) {
    this.timer = setInterval(() => this.send(), options.intervalMilliseconds);
  }

  /** Ends the transfer; the backup is freed if the run ended well. */
  end(hasEndedWell: boolean): void {
    this.hasEnded = true;
    clearInterval(this.timer);
    if (hasEndedWell && this.copy !== undefined) {
      this.copy.isUsed = true;
    }
  }

  private send(): void {
    const {dataCentre, findStore} = this.options;
    const store = findStore(this.address);
    if (store === undefined) {
      return;
    }
    const {sentPieces} = this.run;
    setTimeout(
      () => {
        // It may have started again in the meantime.
        if (!this.hasEnded && findStore(this.address) === store) {
          this.arrive(store, sentPieces);
        }
      },
      transferTime(dataCentre, store),
    );
  }

  private arrive(store: CopyStore, pieces: number): void {
    if (this.copy?.isUsed) {
      return;
    }
    if (store !== this.store) {
      this.store = store;
      this.copy = undefined;
    }
    const {attempt} = this.run;
    const copy = this.copy ?? {
      attempt,
      source: this.address,
      pieces: 0,
      expiresAt: 0,
      isUsed: false,
    };
    if (store.put(attempt, copy)) {
      copy.pieces = pieces;
      copy.expiresAt = performance.now() + COPY_LIFETIME_MILLISECONDS;
      this.copy = copy;
    }
  }
}
