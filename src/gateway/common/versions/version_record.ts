/**
 * The software versions of one endpoint as kept in the store. Gateways that
 * start after all of them ended know from it whether a stream that is resumed
 * may have begun at a version that is no longer registered. Written when the
 * set of versions changes, which is rare, by the few gateways that watch the
 * store.
 */
import * as zod from 'zod';
import * as streamVersions from './stream_versions';

/** Maximum number of versions in a record; beyond it the record stays as it is, and counts as mixed. */
const MAX_VERSIONS = 32;

/** Versions of one endpoint. Times are Unix milliseconds. */
export interface VersionRecord {
  /** Time since which no version is missing; 0 if none ever was. */
  readonly completeSince: number;
  /** Time at which each version was last registered; null while it is. */
  readonly versions: Readonly<Record<string, number | null>>;
}

const schema = zod.z.object({
  completeSince: zod.z.number().min(0),
  versions: zod.z.record(
    zod.z.string().max(streamVersions.MAX_ID_LENGTH),
    zod.z.number().nullable(),
  ),
});

/** Returns the record in the content of an object; undefined if it holds none. */
export function parseRecord(content: unknown): VersionRecord | undefined {
  const parsed = schema.safeParse(content);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Returns the record that follows from the versions that a gateway knows; undefined
 * if it need not change. Without a record, versions from before it are unknown
 * unless the system starts for the first time.
 *
 * @param knownVersions Unix milliseconds at which each was last registered; null while it is.
 */
export function nextRecord(
  record: VersionRecord | undefined,
  knownVersions: ReadonlyMap<string, number | null>,
  isFirstStart: boolean,
  unixNow: number,
): VersionRecord | undefined {
  const entries = [...knownVersions].filter(
    ([version]) => version.length <= streamVersions.MAX_ID_LENGTH,
  );
  const known = entries.flatMap(([version, at]) =>
    at === null ? [version] : [],
  );
  const versions: Record<string, number | null> = {};
  // Streams of versions that left before the record was written may still be resumed.
  entries
    .filter(([version]) => record?.versions[version] === undefined)
    .forEach(([version, at]) => (versions[version] = at));
  for (const [version, at] of Object.entries(record?.versions ?? {})) {
    const lastRegistered = at ?? unixNow;
    const isOver =
      unixNow - lastRegistered > streamVersions.STREAM_LIFETIME_MILLISECONDS;
    if (!isOver && !known.includes(version)) {
      versions[version] = lastRegistered;
    }
  }
  known.forEach(version => (versions[version] = null));
  if (Object.keys(versions).length > MAX_VERSIONS) {
    return undefined;
  }
  const isCurrent =
    record !== undefined &&
    known.every(version => record.versions[version] === null) &&
    entries.every(([version]) => record.versions[version] !== undefined) &&
    Object.entries(record.versions).every(
      ([version, at]) => at !== null || known.includes(version),
    );
  return isCurrent
    ? undefined
    : {
        completeSince: record?.completeSince ?? (isFirstStart ? 0 : unixNow),
        versions,
      };
}
