/** Remembers which software version began a stream, for callers that resume it. */

/** Time for which a stream is remembered after it began or was last resumed, in milliseconds; longer than any stream lasts. */
export const STREAM_LIFETIME_MILLISECONDS = 120_000;
/** Streams remembered; those heard of the longest ago are forgotten first. */
const MAX_STREAMS = 16_384;
/** Longest id of an attempt and longest version that are remembered, in characters. */
export const MAX_ID_LENGTH = 64;

interface BegunStream {
  readonly softwareVersion: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  /** Whether other gateways remember the stream as well. */
  readonly isShared: boolean;
}

/** Versions by the id of the attempt that brought the first event. */
export class StreamVersions {
  /** The stream heard of the longest ago comes first. */
  private readonly streams = new Map<string, BegunStream>();

  get size(): number {
    return this.streams.size;
  }

  /** Records the version that began a stream; later ones change nothing. `isShared` if other gateways remember it as well. */
  record(
    attemptId: string,
    softwareVersion: string,
    now: number,
    isShared = true,
  ): void {
    const isTooLong =
      attemptId.length > MAX_ID_LENGTH ||
      softwareVersion.length > MAX_ID_LENGTH;
    if (attemptId === '' || isTooLong || this.find(attemptId, now)) {
      return;
    }
    this.streams.set(attemptId, {softwareVersion, at: now, isShared});
    this.forget(now);
  }

  /** Returns the version that began the stream; undefined if it is not known. */
  find(attemptId: string, now: number): string | undefined {
    const stream = this.streams.get(attemptId);
    if (
      stream === undefined ||
      now - stream.at > STREAM_LIFETIME_MILLISECONDS
    ) {
      return undefined;
    }
    this.streams.delete(attemptId);
    this.streams.set(attemptId, {...stream, at: now});
    return stream.softwareVersion;
  }

  /** Returns the latest streams that only this gateway remembers, at most `count`, which count as shared from now on. */
  share(count: number): (readonly [string, string])[] {
    const unshared = [...this.streams]
      .filter(([, {isShared}]) => !isShared)
      .slice(-count);
    for (const [attemptId, stream] of unshared) {
      this.streams.set(attemptId, {...stream, isShared: true});
    }
    return unshared.map(([id, {softwareVersion}]) => [id, softwareVersion]);
  }

  private forget(now: number): void {
    for (const [attemptId, {at}] of this.streams) {
      const isOld = now - at > STREAM_LIFETIME_MILLISECONDS;
      if (!isOld && this.streams.size <= MAX_STREAMS) {
        return;
      }
      this.streams.delete(attemptId);
    }
  }
}
