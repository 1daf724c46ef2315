/** The platform's list of instances, which may be stale. */
import * as neverthrow from 'neverthrow';
import * as objectStore from './object_store';

/** Roles of instances. */
export enum InstanceRole {
  Entry = 'entry',
  Side = 'side',
}

/** An instance as the platform lists it. */
export interface InstanceRecord {
  readonly instance: string;
  readonly role: InstanceRole;
  /** IP address and port of the entry or side process. */
  readonly address: string;
  readonly dataCentre: string;
  /** Endpoint that a side process serves; empty for an entry. */
  readonly endpoint: string;
  readonly isLeaving: boolean;
}

/** Reads the live and leaving instances. */
export abstract class InstanceList {
  abstract read(): Promise<
    neverthrow.Result<readonly InstanceRecord[], objectStore.StoreError>
  >;
}
