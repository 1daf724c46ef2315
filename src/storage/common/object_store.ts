/** Interface to the platform's object API. */
import * as neverthrow from 'neverthrow';

/** Why a call to the object API failed, or why its outcome is unknown. */
export enum StoreError {
  /** The object has another version; nothing was written. */
  VersionMismatch = 'version-mismatch',
  /** The object does not exist. */
  NotFound = 'not-found',
  /** The store definitely did not process the call. */
  Unreachable = 'unreachable',
  /** The reply was lost; a write may have taken effect. */
  Unknown = 'unknown',
}

/** Value and version of an object. */
export interface VersionedValue {
  readonly value: string;
  /** Increases with each write of the object. */
  readonly version: number;
}

/** Result of a read by a caller that already has some version. */
export interface ConditionalRead {
  /** Undefined when the caller's version is still current. */
  readonly changed?: VersionedValue;
}

/** Store of versioned objects with conditional writes. */
export abstract class ObjectStore {
  /** Reads an object. Errors: NotFound, Unreachable, Unknown. */
  abstract read(
    key: string,
  ): Promise<neverthrow.Result<VersionedValue, StoreError>>;
  /** Reads an object unless its version is still the given one. Errors: NotFound, Unreachable, Unknown. */
  abstract readIfChanged(
    key: string,
    version: number,
  ): Promise<neverthrow.Result<ConditionalRead, StoreError>>;
  /**
   * Writes the object if it has the expected version, where 0 means that it
   * must not exist. Resolves to the new version. Errors: all except NotFound.
   */
  abstract write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<neverthrow.Result<number, StoreError>>;
  /** Deletes an object regardless of its version. Errors: Unreachable, Unknown. */
  abstract remove(key: string): Promise<neverthrow.Result<void, StoreError>>;
  /** Lists keys under a prefix. Errors: Unreachable, Unknown. */
  abstract list(
    prefix: string,
  ): Promise<neverthrow.Result<readonly string[], StoreError>>;
}
