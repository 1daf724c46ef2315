/** Where a gateway reads the configuration and the registered instances. */
import * as neverthrow from 'neverthrow';
import * as configuration from './configuration';
import * as instanceTable from './instance_table';

/** Why a read gave no state. */
export enum SourceError {
  /** No answer in time, or the connection failed. */
  Unreachable = 'unreachable',
  /** The source asks for fewer calls. */
  Busy = 'busy',
  /** The history since the named revision is gone; the state has to be listed again. */
  HistoryLost = 'history-lost',
  /** The answer could not be read. */
  Malformed = 'malformed',
  /** The object does not exist. */
  Missing = 'missing',
}

/** State as of a revision. */
export interface Snapshot<T> {
  readonly revision: number;
  readonly value: T;
}

/** One change to the registered instances; an undefined record means that none is usable any more. */
export interface InstanceChange {
  readonly id: string;
  readonly record: instanceTable.InstanceRecord | undefined;
}

/** Result of a read. */
export type SourceResult<T> = Promise<neverthrow.Result<T, SourceError>>;

/** Reads and watches what operators and instances write. Every call is counted by the platform. */
export abstract class StateSource {
  /** Reads the newest configuration. */
  abstract readConfiguration(): SourceResult<
    Snapshot<configuration.Configuration>
  >;
  /** Waits for a configuration later than the revision; the value is undefined when none came in time. */
  abstract watchConfiguration(
    revision: number,
  ): SourceResult<Snapshot<configuration.Configuration | undefined>>;
  /** Lists all usable instances. */
  abstract listInstances(): SourceResult<
    Snapshot<instanceTable.InstanceRecord[]>
  >;
  /** Waits for changes later than the revision; empty when none came in time. */
  abstract watchInstances(
    revision: number,
  ): SourceResult<Snapshot<InstanceChange[]>>;
}
