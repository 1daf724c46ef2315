/** Reference counts of prompt chunks, which running generations may share. */

/** Reference counts of the prompt chunks at one engine. */
export class PrefixReferences {
  private readonly counts = new Map<string, number>();
  private shared = 0;

  /** Number of chunks that two or more generations hold. */
  get sharedCount(): number {
    return this.shared;
  }

  acquire(chunks: readonly string[]): void {
    for (const chunk of chunks) {
      const count = (this.counts.get(chunk) ?? 0) + 1;
      this.counts.set(chunk, count);
      this.shared += count === 2 ? 1 : 0;
    }
  }

  release(chunks: readonly string[]): void {
    for (const chunk of chunks) {
      const count = (this.counts.get(chunk) ?? 1) - 1;
      this.shared -= count === 1 ? 1 : 0;
      if (count === 0) {
        this.counts.delete(chunk);
      } else {
        this.counts.set(chunk, count);
      }
    }
  }

  /** Number of leading chunks that are held by at least `minimumHolders` generations each. */
  countHeldChunks(chunks: readonly string[], minimumHolders: number): number {
    const index = chunks.findIndex(
      chunk => (this.counts.get(chunk) ?? 0) < minimumHolders,
    );
    return index < 0 ? chunks.length : index;
  }
}
