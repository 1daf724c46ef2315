/** Interface of the store in which knowledge about software versions outlives the gateways. The platform counts every call. */
import * as neverthrow from 'neverthrow';
import * as stateSource from '../state_source';

/** An object of the store. */
export interface StoredVersions {
  readonly name: string;
  readonly revision: number;
  /** Content as another gateway, or another build, wrote it. */
  readonly content: unknown;
}

/** Reason for which a write had no effect, or may have had none. */
export enum VersionWriteError {
  /** The object has another revision, or exists already. */
  Conflict = 'conflict',
  /** No usable response; the write may have taken effect. */
  Failed = 'failed',
}

/** Reads and writes small objects by name. */
export abstract class VersionStore {
  /** Reads one object; undefined if there is none. */
  abstract read(
    name: string,
  ): Promise<
    neverthrow.Result<StoredVersions | undefined, stateSource.SourceError>
  >;
  /** Lists all objects. */
  abstract list(): Promise<
    neverthrow.Result<StoredVersions[], stateSource.SourceError>
  >;
  /** Replaces the object of the given revision, or creates it if the revision is undefined. Returns the new revision. */
  abstract write(
    name: string,
    content: unknown,
    revision: number | undefined,
  ): Promise<neverthrow.Result<number, VersionWriteError>>;
  /** Removes an object of the given revision; a failure leaves it for a later attempt. */
  abstract remove(name: string, revision: number): Promise<void>;
}
