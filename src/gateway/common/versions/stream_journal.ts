/**
 * Resumable streams of this gateway that have begun and were not delivered to
 * their end, with the versions that began them, for gateways that start after
 * all of them ended. Short streams end before they are written, so that the
 * calls to the store depend on long streams alone. Meant for releases, while an
 * endpoint has several versions.
 */
import * as zod from 'zod';
import * as streamVersions from './stream_versions';

/** Age from which a stream is written, in milliseconds; those that end earlier need no call to the store. */
const MIN_AGE_MILLISECONDS = 500;
/** Maximum number of streams; the oldest are dropped first, and cannot be resumed after all gateways ended. */
export const MAX_STREAMS = 1_024;

/** A stream as stored: attempt id, version, begin in Unix milliseconds. */
export type StoredStream = readonly [string, string, number];

const schema = zod.z.object({
  streams: zod.z.array(
    zod.z.tuple([
      zod.z.string().max(streamVersions.MAX_ID_LENGTH),
      zod.z.string().max(streamVersions.MAX_ID_LENGTH),
      zod.z.number(),
    ]),
  ),
});

/** Returns the streams in the content of an object that may still be resumed; none if it cannot be read. */
export function parseStreams(
  content: unknown,
  unixNow: number,
): readonly StoredStream[] {
  const parsed = schema.safeParse(content);
  return parsed.success
    ? parsed.data.streams.filter(([, , beganAt]) => isCurrent(beganAt, unixNow))
    : [];
}

/** Streams by attempt id, the oldest first. */
export class StreamJournal {
  private readonly streams = new Map<
    string,
    {readonly version: string; readonly beganAt: number}
  >();
  /** Ids of the streams in the stored object. */
  private stored: ReadonlySet<string> = new Set();

  /** Records the first event of a stream. */
  add(attemptId: string, version: string, unixNow: number): void {
    if (
      attemptId === '' ||
      attemptId.length > streamVersions.MAX_ID_LENGTH ||
      version.length > streamVersions.MAX_ID_LENGTH ||
      this.streams.has(attemptId)
    ) {
      return;
    }
    this.streams.set(attemptId, {version, beganAt: unixNow});
    if (this.streams.size > MAX_STREAMS) {
      this.streams.delete(this.streams.keys().next().value!);
    }
  }

  /** Records that a stream was delivered to its end. */
  complete(attemptId: string): void {
    this.streams.delete(attemptId);
  }

  /** Adds the streams that an earlier process of this gateway stored. */
  restore(streams: readonly StoredStream[]): void {
    const own = [...this.streams];
    this.streams.clear();
    streams.forEach(([id, version, beganAt]) =>
      this.streams.set(id, {version, beganAt}),
    );
    own.forEach(([id, stream]) => this.streams.set(id, stream));
    this.stored = new Set(streams.map(([id]) => id));
  }

  /** Returns the streams to be stored; undefined while none has to be added to those that are. */
  pending(unixNow: number): readonly StoredStream[] | undefined {
    for (const [id, {beganAt}] of this.streams) {
      if (!isCurrent(beganAt, unixNow)) {
        this.streams.delete(id);
      }
    }
    const due = [...this.streams].filter(
      ([, {beganAt}]) => unixNow - beganAt >= MIN_AGE_MILLISECONDS,
    );
    return due.some(([id]) => !this.stored.has(id))
      ? due.map(([id, {version, beganAt}]) => [id, version, beganAt])
      : undefined;
  }

  /** Forgets which streams are stored, since the store was restored from a copy and may have lost them. */
  enterEra(): void {
    this.stored = new Set();
  }

  /** Records that the streams are stored. */
  markStored(streams: readonly StoredStream[]): void {
    this.stored = new Set(streams.map(([id]) => id));
  }
}

function isCurrent(beganAt: number, unixNow: number): boolean {
  return (
    Math.abs(unixNow - beganAt) <= streamVersions.STREAM_LIFETIME_MILLISECONDS
  );
}
