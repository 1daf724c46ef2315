/** The platform's object API as rhubarbvane uses it. */
import * as neverthrow from 'neverthrow';

/** Why a call on the object API did not give a definite success. */
export enum StoreError {
  /** The object has another version; nothing was written. */
  VersionMismatch = 'version-mismatch',
  /** The object does not exist. */
  NotFound = 'not-found',
  /** The store surely did not get the call. */
  Unreachable = 'unreachable',
  /** The reply was lost; a write may have taken effect. */
  Unknown = 'unknown',
}

/** An object as read. */
export interface VersionedValue {
  readonly value: string;
  /** Rises with each write of the object. */
  readonly version: number;
}

/** Result of a read for which the caller named the version that it has. */
export interface ConditionalRead {
  /** Undefined when the version is still the one named. */
  readonly changed?: VersionedValue;
}

/** Versioned objects with conditional updates. */
export abstract class ObjectStore {
  /** Reads an object. Errors: NotFound, Unreachable, Unknown. */
  abstract read(
    key: string,
  ): Promise<neverthrow.Result<VersionedValue, StoreError>>;
  /** Reads an object unless it still has the version. Errors: NotFound, Unreachable, Unknown. */
  abstract readIfChanged(
    key: string,
    version: number,
  ): Promise<neverthrow.Result<ConditionalRead, StoreError>>;
  /**
   * Writes if the object has the expected version, 0 meaning that it must not
   * exist. Gives the new version. Errors: all but NotFound.
   */
  abstract write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<neverthrow.Result<number, StoreError>>;
  /** Deletes an object of any version. Errors: Unreachable, Unknown. */
  abstract remove(key: string): Promise<neverthrow.Result<void, StoreError>>;
  /** Lists keys under a prefix. Errors: Unreachable, Unknown. */
  abstract list(
    prefix: string,
  ): Promise<neverthrow.Result<readonly string[], StoreError>>;
}
