/** The platform's list of instances, which may lag behind the truth. */
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
  /** IP and port of our process. */
  readonly address: string;
  readonly dataCentre: string;
  /** Endpoint that a side process stands beside; empty for an entry. */
  readonly endpoint: string;
  readonly isLeaving: boolean;
}

/** Lists the live and leaving instances. */
export abstract class InstanceList {
  abstract read(): Promise<
    neverthrow.Result<readonly InstanceRecord[], objectStore.StoreError>
  >;
}
