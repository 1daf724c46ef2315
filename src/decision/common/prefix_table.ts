/** Hints on which instances hold which prompt prefixes. Hints expire, since engines drop prefixes silently. */

/** Prompt tokens in one hashed chunk. */
export const CHUNK_TOKENS = 64;
const CHUNK_CHARACTERS = CHUNK_TOKENS * 4;
/** Longest prefix that is compared, in chunks. */
const MAX_CHUNKS = 64;
const HINT_LIFETIME_MILLISECONDS = 120_000;
const MAX_HINTS = 65_536;

/** Hashes of the whole chunks of a prompt, each covering all text before it. */
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

/** Remembers when an instance last had a prefix. */
export class PrefixTable {
  private readonly seenAt = new Map<string, number>();

  get size(): number {
    return this.seenAt.size;
  }

  /** Notes that the instance holds the chunks from now on. */
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

  /** Number of leading chunks that the instance probably holds. */
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
