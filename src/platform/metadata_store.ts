/** The client of the platform's metadata store. */
import * as neverthrow from 'neverthrow';
import * as configuration from '../gateway/common/configuration';
import * as instanceTable from '../gateway/common/instance_table';
import * as stateSource from '../gateway/common/state_source';
import * as objectCodec from './object_codec';
import * as storeConnection from './store_connection';
import * as storedConfiguration from './stored_configuration';
import * as wireNames from './wire_names';

/** Time for which a watch may wait at the store, in milliseconds; limits how long a silent connection goes undetected. */
export const WATCH_WAIT_MILLISECONDS = 2_000;
/** Time beyond the wait after which a watch times out, in milliseconds. */
const WATCH_MARGIN_MILLISECONDS = 500;
/** The same wait for evacuated data centres, which change rarely while every call is priced. */
export const EVACUATION_WAIT_MILLISECONDS = 4_000;
/** Time beyond that wait, in milliseconds; shorter, so that after a silent watch a list and its relaying still fit into 5 s. */
const EVACUATION_MARGIN_MILLISECONDS = 300;

/** Bounds of the configuration; by default there are none. */
export interface ConfigurationBounds {
  /** Most memory that it may take, in bytes. */
  readonly maxConfigurationBytes: number;
  /** Notified of each that is not taken for its size. */
  readonly onDidRefuseConfiguration: () => void;
}

type MetadataStoreOptions = storeConnection.StoreOptions &
  Partial<ConfigurationBounds>;

/** Reads configuration and instances from the store over HTTP. */
export class MetadataStore extends stateSource.StateSource {
  private readonly connection: storeConnection.StoreConnection;

  constructor(private readonly options: MetadataStoreOptions) {
    super();
    this.connection = new storeConnection.StoreConnection(options);
  }

  async readConfiguration(): stateSource.SourceResult<
    stateSource.Snapshot<configuration.Configuration>
  > {
    const {configuration: kind} = wireNames.Kinds;
    const path = `/objects/${kind}/${wireNames.CONFIGURATION_NAME}`;
    const {maxConfigurationBytes: maxBytes} = this.options;
    const read = await this.connection.readText(
      {operation: 'read', path},
      ({text, era}) =>
        decodeUnlessTooLarge(() => {
          const stored = storedConfiguration.decodeStored(text, maxBytes);
          const {revision = 0, value} = stored ?? {};
          return value && {revision, era, value};
        }),
    );
    if (read.isErr() && read.error === stateSource.SourceError.TooLarge) {
      this.options.onDidRefuseConfiguration?.();
    }
    return read;
  }

  /** A new version that is too large is left out like no version, so that it is not read again and again. */
  async watchConfiguration(
    revision: number,
  ): stateSource.SourceResult<
    stateSource.Snapshot<configuration.Configuration | undefined>
  > {
    const {maxConfigurationBytes: maxBytes} = this.options;
    const name = wireNames.CONFIGURATION_NAME;
    return this.connection.readText(
      watchCall(wireNames.Kinds.configuration, revision),
      ({members, era}) => {
        const at = members.get('at')?.parse();
        if (typeof at !== 'number') {
          return undefined;
        }
        const events = members.get('events');
        const newest = decodeUnlessTooLarge(() =>
          events?.isArray
            ? storedConfiguration.decodeNewest(events, name, maxBytes)
            : undefined,
        );
        if (newest?.isErr()) {
          this.options.onDidRefuseConfiguration?.();
        }
        const value = newest?.unwrapOr(undefined);
        return neverthrow.ok({revision: at, era, value});
      },
    );
  }

  async listInstances(): stateSource.SourceResult<
    stateSource.Snapshot<instanceTable.InstanceRecord[]>
  > {
    const listed = await this.listPages(wireNames.Kinds.instances, false);
    return listed.map(({revision, era, objects}) => ({
      revision,
      era,
      value: objects
        .map(objectCodec.decodeInstance)
        .filter(record => record !== undefined),
    }));
  }

  async watchInstances(
    revision: number,
  ): stateSource.SourceResult<
    stateSource.Snapshot<stateSource.InstanceChange[]>
  > {
    const watched = await this.watch(wireNames.Kinds.instances, revision);
    return watched.map(({revision: at, era, value: events}) => ({
      revision: at,
      era,
      value: events.map(event => ({
        id: event.name,
        record: event.stored && objectCodec.decodeInstance(event.stored),
      })),
    }));
  }

  async listEvacuations(): stateSource.SourceResult<
    stateSource.Snapshot<string[]>
  > {
    const listed = await this.listPages(wireNames.Kinds.evacuations, true);
    return listed.map(({revision, era, objects}) => ({
      revision,
      era,
      value: objects.map(each => each.name),
    }));
  }

  async watchEvacuations(
    revision: number,
  ): stateSource.SourceResult<
    stateSource.Snapshot<stateSource.EvacuationChange[]>
  > {
    const watched = await this.watch(
      wireNames.Kinds.evacuations,
      revision,
      EVACUATION_WAIT_MILLISECONDS,
      EVACUATION_MARGIN_MILLISECONDS,
    );
    return watched.andThen(watch =>
      watch.unreadableCount > 0
        ? neverthrow.err(stateSource.SourceError.Malformed)
        : neverthrow.ok({
            revision: watch.revision,
            era: watch.era,
            value: watch.value.map(({name, stored}) => ({
              dataCentre: name,
              isEvacuated: stored !== undefined,
            })),
          }),
    );
  }

  /** Closes all connections. */
  dispose(): void {
    this.connection.dispose();
  }

  /** Reads all pages of a list; `isStrict` to fail if an entry cannot be decoded rather than to leave it out. */
  private async listPages(
    kind: string,
    isStrict: boolean,
  ): stateSource.SourceResult<PageList> {
    const objects: objectCodec.StoredObject[] = [];
    let first: PageHead | undefined;
    let query = '';
    for (;;) {
      const read = await this.connection.read({
        operation: 'list',
        path: `/objects/${kind}${query}`,
      });
      if (read.isErr()) {
        return neverthrow.err(read.error);
      }
      const {fields, era} = read.value;
      const isReadable = isStrict
        ? isWholeList(fields)
        : typeof fields.at === 'number';
      if (!isReadable) {
        return neverthrow.err(stateSource.SourceError.Malformed);
      }
      const page = decodePage(fields);
      first ??= {revision: page.revision, era};
      if (first.era !== era) {
        return neverthrow.err(stateSource.SourceError.HistoryLost);
      }
      objects.push(...page.objects);
      if (!page.hasMore || page.lastName === undefined) {
        return neverthrow.ok({...first, objects});
      }
      // The parameter is named after a revision, but lists continue from an object's name.
      query = `?sinceRev=${encodeURIComponent(page.lastName)}`;
    }
  }

  private async watch(
    kind: string,
    revision: number,
    waitMilliseconds?: number,
    marginMilliseconds?: number,
  ): stateSource.SourceResult<WatchAnswer> {
    const answer = await this.connection.read(
      watchCall(kind, revision, waitMilliseconds, marginMilliseconds),
    );
    return answer.andThen(({fields, era}) => {
      if (typeof fields.at !== 'number') {
        return neverthrow.err(stateSource.SourceError.Malformed);
      }
      const events = Array.isArray(fields.events) ? fields.events : [];
      const value = events
        .map(decodeEvent)
        .filter(event => event !== undefined);
      const unreadableCount = events.length - value.length;
      return neverthrow.ok({
        revision: Number(fields.at),
        era,
        value,
        unreadableCount,
      });
    });
  }
}

/** Undefined if nothing was decoded. */
function decodeUnlessTooLarge<T>(
  decode: () => T | undefined,
): neverthrow.Result<T, stateSource.SourceError> | undefined {
  try {
    const value = decode();
    return value === undefined ? undefined : neverthrow.ok(value);
  } catch (error) {
    if (error instanceof storedConfiguration.ConfigurationTooLarge) {
      return neverthrow.err(stateSource.SourceError.TooLarge);
    }
    throw error;
  }
}

function watchCall(
  kind: string,
  revision: number,
  waitMilliseconds = WATCH_WAIT_MILLISECONDS,
  marginMilliseconds = WATCH_MARGIN_MILLISECONDS,
): storeConnection.StoreCall {
  return {
    operation: 'watch',
    path: `/objects/${kind}?watch=${revision}&waitMs=${waitMilliseconds}`,
    timeoutMilliseconds: waitMilliseconds + marginMilliseconds,
  };
}

/** One event of a watch; without an object if it was deleted. */
interface WatchEvent {
  readonly name: string;
  readonly stored: objectCodec.StoredObject | undefined;
}

/** Events of a watch. */
interface WatchAnswer extends stateSource.Snapshot<WatchEvent[]> {
  /** Number of events that could not be decoded and are left out. */
  readonly unreadableCount: number;
}

function decodeEvent(value: unknown): WatchEvent | undefined {
  const event = value as {object?: unknown; deleted?: unknown} | null;
  const stored = objectCodec.decodeObject(event?.object);
  if (stored === undefined) {
    return undefined;
  }
  return {
    name: stored.name,
    stored: event?.deleted === true ? undefined : stored,
  };
}

/** Whether the list has a revision, and no entry that cannot be decoded; an empty list may come without entries. */
function isWholeList({entries, at}: storeConnection.Body): boolean {
  const values: unknown = entries ?? [];
  return (
    typeof at === 'number' &&
    Array.isArray(values) &&
    values.every(each => objectCodec.decodeObject(each) !== undefined)
  );
}

/** Revision and era of a page. */
interface PageHead {
  readonly revision: number;
  readonly era: number | undefined;
}

/** All pages of a list, with the head of the first one: changes between two pages are among those that a watch from the first page returns. */
interface PageList extends PageHead {
  readonly objects: objectCodec.StoredObject[];
}

/** One page of a list. */
export interface Page {
  readonly objects: objectCodec.StoredObject[];
  readonly hasMore: boolean;
  readonly lastName: string | undefined;
  readonly revision: number;
}

export function decodePage(body: storeConnection.Body): Page {
  const entries = Array.isArray(body.entries) ? body.entries : [];
  const objects = entries
    .map(objectCodec.decodeObject)
    .filter(stored => stored !== undefined);
  return {
    objects,
    hasMore: body.hasMore === true,
    lastName: objects[objects.length - 1]?.name,
    revision: typeof body.at === 'number' ? body.at : 0,
  };
}
