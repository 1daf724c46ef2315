/** Configuration snapshots in the object API, split into chunks below its value size limit. */
import * as zod from 'zod';
import * as objectStore from '../../storage/common/object_store';
import * as configurationMessages from '../../protocol/common/configuration_messages';

const CHUNK_BYTES = 512 * 1024;

function chunkKey(revision: number, index: number): string {
  return `configuration/snapshot/${revision}/${index}`;
}

/** Writes and reads snapshots. All snapshots of one revision are identical. */
export class SnapshotStore {
  constructor(private readonly store: objectStore.ObjectStore) {}

  /** Returns the number of chunks, or undefined if the store does not confirm all of them. */
  async write(
    revision: number,
    objects: readonly configurationMessages.StoredObject[],
  ): Promise<number | undefined> {
    const chunks = splitIntoChunks(objects);
    for (const [index, chunk] of chunks.entries()) {
      const written = await this.store.write(
        chunkKey(revision, index),
        JSON.stringify(chunk),
        0,
      );
      // Another entry may have written the same snapshot.
      if (
        written.isErr() &&
        written.error !== objectStore.StoreError.VersionMismatch
      ) {
        return undefined;
      }
    }
    return chunks.length;
  }

  /** Returns the objects, or undefined if a chunk is missing or the store does not answer. */
  async read(
    revision: number,
    chunks: number,
  ): Promise<configurationMessages.StoredObject[] | undefined> {
    const objects: configurationMessages.StoredObject[] = [];
    for (let index = 0; index < chunks; index++) {
      const read = await this.store.read(chunkKey(revision, index));
      if (read.isErr()) {
        return undefined;
      }
      objects.push(
        ...zod.z
          .array(configurationMessages.storedObjectSchema)
          .parse(JSON.parse(read.value.value)),
      );
    }
    return objects;
  }

  /** Removes a snapshot that the head no longer references. */
  async remove(revision: number, chunks: number): Promise<void> {
    for (let index = 0; index < chunks; index++) {
      await this.store.remove(chunkKey(revision, index));
    }
  }
}

function splitIntoChunks(
  objects: readonly configurationMessages.StoredObject[],
): configurationMessages.StoredObject[][] {
  const chunks: configurationMessages.StoredObject[][] = [[]];
  let bytes = 0;
  for (const object of objects) {
    const size = object.json.length + object.name.length + 100;
    if (bytes + size > CHUNK_BYTES) {
      chunks.push([]);
      bytes = 0;
    }
    chunks[chunks.length - 1].push(object);
    bytes += size;
  }
  return chunks;
}
