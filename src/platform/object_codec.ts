/** Decodes objects of the metadata store. Unreadable parts are left out; decoding never throws. */
import * as configuration from '../gateway/common/configuration';
import * as instanceTable from '../gateway/common/instance_table';

type Fields = Readonly<Record<string, unknown>>;

/** Longest time for which a replica is taken for cold; longer ones are shortened to it. */
export const MAX_WARM_UP_MILLISECONDS = 3_600_000;

/** An object of the store. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change. */
  readonly revision: number;
  readonly spec: unknown;
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function text(value: unknown): string | undefined {
  return typeof value === 'string' && value.length > 0 ? value : undefined;
}

function number(value: unknown, fallback = 0): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

function list(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
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

const INSTANCE_STATES: Readonly<Record<string, instanceTable.InstanceState>> = {
  ready: instanceTable.InstanceState.Ready,
  draining: instanceTable.InstanceState.Draining,
};

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
  const state = INSTANCE_STATES[text(spec.state) ?? ''];
  const isAddress = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(address ?? '');
  if (endpoint === undefined || !isAddress || state === undefined) {
    return undefined;
  }
  const warmUpMilliseconds = Math.min(
    MAX_WARM_UP_MILLISECONDS,
    Math.max(0, number(spec.warmLeftMs)),
  );
  return {
    id: stored.name,
    endpoint,
    address: address!,
    dataCentre: text(spec.zone) ?? '',
    state,
    slots: number(spec.slots, 1),
    // Time for which the replica stays slow, not for which it stays warm.
    warmUpMilliseconds,
    // A replica that writes the same time again is cold again.
    warmUpRevision: warmUpMilliseconds > 0 ? stored.revision : undefined,
    // Unix milliseconds of the start; only compared for equality.
    startedAt: number(spec.born),
    softwareVersion: text(spec.version) ?? '',
  };
}

const REQUEST_KINDS: Readonly<Record<string, configuration.RequestKind>> = {
  idempotent: configuration.RequestKind.Idempotent,
  non_idempotent: configuration.RequestKind.NonIdempotent,
  streaming: configuration.RequestKind.Streaming,
};

function decodeWeightedEndpoints(
  fields: Fields,
): configuration.WeightedEndpoint[] {
  const split = list(fields.split)
    .filter(isFields)
    .map(each => ({
      endpoint: text(each.service) ?? '',
      weight: number(each.wt),
    }));
  if (split.length > 0) {
    return split;
  }
  const service = text(fields.service);
  return service === undefined ? [] : [{endpoint: service, weight: 1}];
}

/** Decodes a list of regions; undefined if there is none. A value that is no list allows no region, since a restriction must not be lost. */
function decodeRegions(value: unknown): string[] | undefined {
  const isAbsent = value === undefined || value === null;
  const isEmpty = Array.isArray(value) && value.length === 0;
  return isAbsent || isEmpty
    ? undefined
    : list(value).filter(each => typeof each === 'string');
}

function decodeRoute(value: unknown): configuration.Route | undefined {
  if (!isFields(value)) {
    return undefined;
  }
  const host = text(value.hostname);
  const pathPrefix = text(value.pathPrefix);
  const kind = REQUEST_KINDS[text(value.type) ?? ''];
  if (host === undefined || pathPrefix === undefined || kind === undefined) {
    return undefined;
  }
  const timeoutMilliseconds = number(value.timeoutMs, 60_000);
  return {
    name: text(value.name) ?? pathPrefix,
    host: host.toLowerCase(),
    pathPrefix,
    kind,
    timeoutMilliseconds,
    objectiveMilliseconds: number(value.sloMs, timeoutMilliseconds),
    maxPauseMilliseconds: number(value.itlTargetMs),
    priority: number(value.priority),
    endpoints: decodeWeightedEndpoints(value),
    attempts: Math.max(1, number(value.attempts, 1)),
    isPublic: value.public === true,
    // Set on routes whose requests describe a prompt for a model engine.
    isGeneration: value.affinity === true,
    isResumable: value.resumable === true,
    allowedRegions: decodeRegions(value.regionsAllowed),
  };
}

function decodeEngine(value: unknown): configuration.EngineProfile | undefined {
  if (!isFields(value)) {
    return undefined;
  }
  return {
    memoryTokens: number(value.kvCap),
    canMoveRuns: value.moves === true,
    canBackUpRuns: value.backups === true,
    // Tokens that one event of a stream holds.
    tokensPerEvent: Math.max(1, number(value.stride, 1)),
  };
}

function decodeEndpoint(value: unknown): configuration.Endpoint | undefined {
  const name = isFields(value) ? text(value.name) : undefined;
  if (!isFields(value) || name === undefined) {
    return undefined;
  }
  return {
    name,
    healthPath: text(value.healthPath) ?? '/healthz',
    maxConnections: number(value.maxConns, 100),
    engine: decodeEngine(value.runtime),
    rampRequestsPerSecond: Math.max(0, number(value.rampPerS)),
    warmUpMilliseconds: Math.min(
      MAX_WARM_UP_MILLISECONDS,
      Math.max(0, number(value.warmupS) * 1_000),
    ),
  };
}

function decodeCustomer(value: unknown): configuration.Customer | undefined {
  const name = isFields(value) ? text(value.name) : undefined;
  if (!isFields(value) || name === undefined) {
    return undefined;
  }
  const priority =
    typeof value.priority === 'number' ? value.priority : undefined;
  const keys = list(value.apiKeys).filter(key => typeof key === 'string');
  const allowedRegions = decodeRegions(value.regionsAllowed);
  return {name, keys, priority, allowedRegions};
}

function decodeLimits(value: unknown): configuration.RequestLimits {
  const fields = isFields(value) ? value : {};
  return {
    maxHeaderBytes: number(fields.maxHeaderBytes, 16_384),
    maxBodyBytes: number(fields.maxBodyBytes, 4_194_304),
    headerTimeoutMilliseconds: number(fields.headerTimeoutMs, 5_000),
    idleTimeoutMilliseconds: number(fields.idleTimeoutMs, 15_000),
  };
}

function isDefined<T>(value: T | undefined): value is T {
  return value !== undefined;
}

/** Decodes the configuration; undefined if the object is not one. */
export function decodeConfiguration(
  stored: StoredObject,
): configuration.Configuration | undefined {
  const spec = parseJson(stored.spec);
  if (!isFields(spec) || typeof spec.version !== 'number') {
    return undefined;
  }
  return {
    version: spec.version,
    routes: list(spec.routes).map(decodeRoute).filter(isDefined),
    endpoints: list(spec.services).map(decodeEndpoint).filter(isDefined),
    limits: decodeLimits(spec.limits),
    customers: Array.isArray(spec.tenants)
      ? spec.tenants.map(decodeCustomer).filter(isDefined)
      : undefined,
    hasAllowedRegions: true,
  };
}
