/** Interface of the source from which a gateway reads the configuration and the registered instances. */
import * as neverthrow from 'neverthrow';
import * as evacuatedDataCentres from './availability/evacuated_data_centres';
import * as configuration from './configuration';
import * as instanceTable from './instance_table';

/** Reason for which a read returned no state. */
export enum SourceError {
  /** No response in time, or the connection failed. */
  Unreachable = 'unreachable',
  /** The source asks for fewer calls. */
  Busy = 'busy',
  /** The history since the given revision is no longer available; the state has to be listed again. */
  HistoryLost = 'history-lost',
  /** The response could not be parsed. */
  Malformed = 'malformed',
  /** The response is larger than a gateway takes. */
  TooLarge = 'too-large',
  /** The object does not exist. */
  Missing = 'missing',
}

/** State as of a revision. */
export interface Snapshot<T> {
  readonly revision: number;
  /** Era of the source to which the revision belongs; absent if the source names none. */
  readonly era?: number;
  readonly value: T;
}

/** One change to the registered instances; the record is undefined when the instance is no longer usable. */
export interface InstanceChange {
  readonly id: string;
  readonly record: instanceTable.InstanceRecord | undefined;
}

/** One change to the evacuated data centres. */
export type EvacuationChange = evacuatedDataCentres.EvacuationChange;

/** Result of a read. */
export type SourceResult<T> = Promise<neverthrow.Result<T, SourceError>>;

/** Reads and watches the state written by operators and instances. The platform counts every call. */
export abstract class StateSource {
  /** Reads the latest configuration. */
  abstract readConfiguration(): SourceResult<
    Snapshot<configuration.Configuration>
  >;
  /** Waits for a configuration newer than the revision; the value is undefined when there was none in time. */
  abstract watchConfiguration(
    revision: number,
  ): SourceResult<Snapshot<configuration.Configuration | undefined>>;
  /** Lists all usable instances. */
  abstract listInstances(): SourceResult<
    Snapshot<instanceTable.InstanceRecord[]>
  >;
  /** Waits for changes newer than the revision; empty when there were none in time. */
  abstract watchInstances(
    revision: number,
  ): SourceResult<Snapshot<InstanceChange[]>>;
  /** Lists the names of all evacuated data centres. */
  abstract listEvacuations(): SourceResult<Snapshot<string[]>>;
  /** Waits for changes newer than the revision, in their order; empty when there were none in time. */
  abstract watchEvacuations(
    revision: number,
  ): SourceResult<Snapshot<EvacuationChange[]>>;
}
