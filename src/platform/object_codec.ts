/** Decodes objects of the metadata store. Unreadable parts are left out; decoding never throws. */
import * as configuration from '../gateway/common/configuration';
import * as quotedText from '../base/common/quoted_text';
import * as instanceTable from '../gateway/common/instance_table';
import * as fieldReader from './field_reader';
import * as jsonSlices from './json_slices';

const {isFields, number, text} = fieldReader;

/** Longest time for which a replica is taken for cold; longer ones are shortened to it. */
export const MAX_WARM_UP_MILLISECONDS = 3_600_000;
const MAX_PORT = 65_535;

/** An object of the store. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change. */
  readonly revision: number;
  readonly spec: unknown;
}

/** Returns the value of JSON text, or a value that is none unchanged; undefined if the text is malformed. */
export function parseJson(value: unknown): unknown {
  if (typeof value !== 'string') {
    return value;
  }
  try {
    return JSON.parse(value) as unknown;
  } catch {
    // Malformed content of another writer, decoded as no object.
    return undefined;
  }
}

/** Decodes one object; undefined if the value is not an object of the store. */
export function decodeObject(value: unknown): StoredObject | undefined {
  const outer = parseJson(value);
  if (!isFields(outer) || !isFields(outer.meta)) {
    return undefined;
  }
  const name = text(outer.meta.name);
  if (name === undefined) {
    return undefined;
  }
  return {name, revision: number(outer.meta.revision), spec: outer.spec};
}

// A map, since an object would also have the names of its prototype.
const INSTANCE_STATES: ReadonlyMap<string, instanceTable.InstanceState> =
  new Map([
    ['ready', instanceTable.InstanceState.Ready],
    ['draining', instanceTable.InstanceState.Draining],
  ]);

/** Whether the text is an IPv4 address with a port that can be connected to. */
function isAddress(value: string | undefined): value is string {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(
    value ?? '',
  );
  if (match === null) {
    return false;
  }
  const [, ...numbers] = match;
  const port = Number(numbers.pop());
  return (
    port > 0 && port <= MAX_PORT && numbers.every(each => Number(each) <= 255)
  );
}

/** Decodes one instance; undefined if the entry has missing or wrong fields, or an unknown state. */
export function decodeInstance(
  stored: StoredObject,
): instanceTable.InstanceRecord | undefined {
  const spec = parseJson(stored.spec);
  if (!isFields(spec)) {
    return undefined;
  }
  const endpoint = text(spec.service);
  const address = text(spec.address);
  const state = INSTANCE_STATES.get(text(spec.state) ?? '');
  const isKnown = endpoint !== undefined && state !== undefined;
  if (!isKnown || !isAddress(address)) {
    return undefined;
  }
  const warmUpMilliseconds = Math.min(
    MAX_WARM_UP_MILLISECONDS,
    Math.max(0, number(spec.warmLeftMs)),
  );
  return {
    id: stored.name,
    endpoint,
    address,
    dataCentre: text(spec.zone) ?? '',
    state,
    slots: Math.max(1, number(spec.slots, 1)),
    // Time for which the replica stays slow, not for which it stays warm.
    warmUpMilliseconds,
    // A replica that writes the same time again is cold again.
    warmUpRevision: warmUpMilliseconds > 0 ? stored.revision : undefined,
    // Unix milliseconds of the start; only compared for equality.
    startedAt: number(spec.born),
    softwareVersion: text(spec.version) ?? '',
  };
}

const REQUEST_KINDS: ReadonlyMap<string, configuration.RequestKind> = new Map([
  ['idempotent', configuration.RequestKind.Idempotent],
  ['non_idempotent', configuration.RequestKind.NonIdempotent],
  ['streaming', configuration.RequestKind.Streaming],
]);

const KNOWN_KINDS = [...REQUEST_KINDS.keys()].join(', ');

/** Decodes one entry of a list of the configuration; undefined if it is left out. */
type EntryDecoder<T> = (reader: fieldReader.FieldReader) => T | undefined;

/** Decodes the entries of a list; those that cannot be read are left out. */
function decodeEntries<T>(
  kind: string,
  values: Iterable<unknown>,
  onIssue: fieldReader.IssueListener | undefined,
  decode: EntryDecoder<T>,
): T[] {
  const entries: T[] = [];
  let count = 0;
  for (const value of values) {
    const position = ++count;
    if (!isFields(value)) {
      onIssue?.(
        `${kind} (entry ${position})`,
        `saw ${fieldReader.typeOf(value)}, expected an object; it is left out`,
      );
      continue;
    }
    const placeOf = () => {
      const name = text(value.name) ?? text(value.pathPrefix);
      return name === undefined
        ? `${kind} (entry ${position})`
        : `${kind} ${quotedText.quote(name)}`;
    };
    const entry = decode(new fieldReader.FieldReader(value, placeOf, onIssue));
    if (entry !== undefined) {
      entries.push(entry);
    }
  }
  return entries;
}

function decodeWeightedEndpoints(
  reader: fieldReader.FieldReader,
): configuration.WeightedEndpoint[] {
  const split = reader.objects('split').map(part => ({
    endpoint: part.optionalText('service') ?? '',
    weight: part.number('wt'),
  }));
  const service = reader.optionalText('service');
  if (split.length > 0) {
    return split;
  }
  return service === undefined ? [] : [{endpoint: service, weight: 1}];
}

/** Decodes a list of regions; undefined if there is none. A value that is no list allows no region, since a restriction must not be lost. */
function decodeRegions(reader: fieldReader.FieldReader): string[] | undefined {
  const value = reader.value('regionsAllowed');
  if (Array.isArray(value)) {
    return value.length === 0 ? undefined : reader.texts('regionsAllowed');
  }
  if (fieldReader.isAbsent(value)) {
    return undefined;
  }
  const type = fieldReader.typeOf(value);
  reader.report?.(
    `regionsAllowed: saw ${type}, expected a list; no region is allowed`,
  );
  return [];
}

function decodeKind(
  reader: fieldReader.FieldReader,
): configuration.RequestKind | undefined {
  const type = reader.requiredText('type');
  const kind = type === undefined ? undefined : REQUEST_KINDS.get(type);
  if (type !== undefined && kind === undefined) {
    reader.report?.(
      `type: saw ${quotedText.quote(type)}, expected one of ${KNOWN_KINDS}; the entry is left out`,
    );
  }
  return kind;
}

function decodeRoute(
  reader: fieldReader.FieldReader,
): configuration.Route | undefined {
  const host = reader.requiredText('hostname');
  const pathPrefix = reader.requiredText('pathPrefix');
  const kind = decodeKind(reader);
  if (host === undefined || pathPrefix === undefined || kind === undefined) {
    return undefined;
  }
  const timeoutMilliseconds = reader.number('timeoutMs', {fallback: 60_000});
  return {
    name: reader.optionalText('name') ?? pathPrefix,
    host: host.toLowerCase(),
    pathPrefix,
    kind,
    timeoutMilliseconds,
    objectiveMilliseconds: reader.number('sloMs', {
      fallback: timeoutMilliseconds,
    }),
    maxPauseMilliseconds: reader.number('itlTargetMs'),
    priority: reader.number('priority'),
    endpoints: decodeWeightedEndpoints(reader),
    attempts: reader.number('attempts', {fallback: 1, minimum: 1}),
    isPublic: reader.flag('public'),
    // Set on routes whose requests describe a prompt for a model engine.
    isGeneration: reader.flag('affinity'),
    isResumable: reader.flag('resumable'),
    allowedRegions: decodeRegions(reader),
  };
}

function decodeEngine(
  reader: fieldReader.FieldReader,
): configuration.EngineProfile | undefined {
  const runtime = reader.object('runtime');
  if (runtime === undefined) {
    return undefined;
  }
  return {
    memoryTokens: runtime.number('kvCap'),
    canMoveRuns: runtime.flag('moves'),
    canBackUpRuns: runtime.flag('backups'),
    // Tokens that one event of a stream holds.
    tokensPerEvent: runtime.number('stride', {fallback: 1, minimum: 1}),
    copyMillisecondsPerToken: decodeCopyTime(runtime),
    copyLifetimeMilliseconds:
      runtime.number('handleTtlS', {minimum: 0}) * 1_000,
  };
}

/** Milliseconds that one token's memory takes on the link of a replica; 0 if not given. */
function decodeCopyTime(runtime: fieldReader.FieldReader): number {
  const bitsPerToken = runtime.number('kvBytes', {minimum: 0}) * 8;
  const bitsPerMillisecond = runtime.number('linkMbps', {minimum: 0}) * 1_000;
  return bitsPerMillisecond > 0 ? bitsPerToken / bitsPerMillisecond : 0;
}

function decodeEndpoint(
  reader: fieldReader.FieldReader,
): configuration.Endpoint | undefined {
  const name = reader.requiredText('name');
  if (name === undefined) {
    return undefined;
  }
  return {
    name,
    healthPath: reader.optionalText('healthPath') ?? '/healthz',
    maxConnections: reader.number('maxConns', {fallback: 100}),
    engine: decodeEngine(reader),
    rampRequestsPerSecond: reader.number('rampPerS', {minimum: 0}),
    warmUpMilliseconds:
      reader.number('warmupS', {
        minimum: 0,
        maximum: MAX_WARM_UP_MILLISECONDS / 1_000,
      }) * 1_000,
  };
}

function decodeCustomer(
  reader: fieldReader.FieldReader,
): configuration.Customer | undefined {
  const name = reader.requiredText('name');
  if (name === undefined) {
    return undefined;
  }
  return {
    name,
    keys: reader.texts('apiKeys'),
    priority: reader.optionalNumber('priority'),
    allowedRegions: decodeRegions(reader),
  };
}

function decodeLimits(
  reader: fieldReader.FieldReader,
): configuration.RequestLimits {
  return {
    maxHeaderBytes: reader.number('maxHeaderBytes', {fallback: 16_384}),
    maxBodyBytes: reader.number('maxBodyBytes', {fallback: 4_194_304}),
    headerTimeoutMilliseconds: reader.number('headerTimeoutMs', {
      fallback: 5_000,
    }),
    idleTimeoutMilliseconds: reader.number('idleTimeoutMs', {
      fallback: 15_000,
    }),
  };
}

function isLazy(value: unknown): value is jsonSlices.JsonList {
  return value instanceof jsonSlices.JsonList;
}

/** Decodes the configuration; undefined if the object is not one. The listener is told of everything that is left out or replaced. */
export function decodeConfiguration(
  stored: StoredObject,
  onIssue?: fieldReader.IssueListener,
): configuration.Configuration | undefined {
  const spec = parseJson(stored.spec);
  if (!isFields(spec)) {
    onIssue?.('configuration', 'expected a JSON object');
    return undefined;
  }
  const readerOf = (place: string, fields: fieldReader.Fields) =>
    new fieldReader.FieldReader(fields, () => place, onIssue);
  const reader = readerOf('configuration', spec);
  if (typeof spec.version !== 'number') {
    const type = fieldReader.typeOf(spec.version);
    reader.report?.(
      `version: saw ${type}, expected a number; the configuration is not read`,
    );
    return undefined;
  }
  const decodeAll = <T>(name: string, kind: string, decode: EntryDecoder<T>) =>
    decodeEntries(
      kind,
      isLazy(spec[name]) ? spec[name] : reader.list(name),
      onIssue,
      decode,
    );
  const routes = decodeAll('routes', 'route', decodeRoute);
  const endpoints = decodeAll('services', 'service', decodeEndpoint);
  const customers = decodeAll('tenants', 'customer', decodeCustomer);
  return {
    version: spec.version,
    routes,
    endpoints,
    limits: decodeLimits(reader.object('limits') ?? readerOf('limits', {})),
    customers:
      Array.isArray(spec.tenants) || isLazy(spec.tenants)
        ? customers
        : undefined,
    hasAllowedRegions: true,
  };
}
