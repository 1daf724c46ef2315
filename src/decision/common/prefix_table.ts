/** Hints about which instances have which prompt prefixes cached. Hints expire, since engines evict prefixes silently. */

/** Number of prompt tokens in one hashed chunk. */
export const CHUNK_TOKENS = 64;
const CHUNK_CHARACTERS = CHUNK_TOKENS * 4;
/** Maximum length of a compared prefix, in chunks. */
const MAX_CHUNKS = 64;
const HINT_LIFETIME_MILLISECONDS = 120_000;
const MAX_HINTS = 65_536;

/** Returns the hashes of the complete chunks of a prompt; each also covers all text before its chunk. */
export function chunkHashes(prompt: string): string[] {
  const hashes: string[] = [];
  let hash = 0x811c9dc5;
  let secondHash = 0x9e3779b9;
  const end = Math.min(
    prompt.length - (prompt.length % CHUNK_CHARACTERS),
    MAX_CHUNKS * CHUNK_CHARACTERS,
  );
  for (let index = 0; index < end; index++) {
    const code = prompt.charCodeAt(index);
    hash = Math.imul(hash ^ code, 0x01000193);
    secondHash = Math.imul(secondHash + code, 0x85ebca6b) ^ (secondHash >>> 13);
    if ((index + 1) % CHUNK_CHARACTERS === 0) {
      hashes.push((hash >>> 0).toString(36) + (secondHash >>> 0).toString(36));
    }
  }
  return hashes;
}

/** Tracks when each instance last had each prefix cached. */
export class PrefixTable {
  private readonly seenAt = new Map<string, number>();

  get size(): number {
    return this.seenAt.size;
  }

  /** Records that the instance has the chunks cached from now on. */
  add(instance: string, hashes: readonly string[], now: number): void {
    for (const hash of hashes) {
      const key = `${instance}/${hash}`;
      this.seenAt.delete(key);
      this.seenAt.set(key, now);
    }
    for (const key of this.seenAt.keys()) {
      if (this.seenAt.size <= MAX_HINTS) {
        return;
      }
      this.seenAt.delete(key);
    }
  }

  /** Number of leading chunks that the instance probably has cached. */
  countSharedChunks(
    instance: string,
    hashes: readonly string[],
    now: number,
  ): number {
    let shared = 0;
    for (const hash of hashes) {
      const at = this.seenAt.get(`${instance}/${hash}`);
      if (at === undefined || now - at > HINT_LIFETIME_MILLISECONDS) {
        return shared;
      }
      shared++;
    }
    return shared;
  }
}
