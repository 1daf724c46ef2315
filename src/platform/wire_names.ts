/** Names that the platform, its callers and its replicas use on the wire. */

/** Headers, in lower case as node:http reports them. */
export const Headers = {
  attemptId: 'x-rhubarbvane-attempt-id',
  /** Milliseconds that the sender will still wait, not a point in time. */
  remainingMilliseconds: 'x-rhubarbvane-deadline-ms',
  promptParts: 'x-rhubarbvane-prompt-prefix',
  lastEventId: 'last-event-id',
  /** Attempt id of the attempt that brought the first event of the stream that is resumed. */
  resumes: 'resumes',
  /** Stamp by which a replica proves that the answer is its own. */
  stamp: 'x-rhubarbvane-server-stamp',
  customer: 'x-rhubarbvane-tenant',
  expectedInstance: 'x-rhubarbvane-expect-replica',
  notRun: 'x-rhubarbvane-not-executed',
  instanceId: 'x-rhubarbvane-replica-id',
  /** Requests a second that a replica in need takes from all callers together. */
  requestLimit: 'server-limit',
  /** Milliseconds until a cold replica is warm. */
  warmUp: 'x-rhubarbvane-warmup-ms',
  /** 1 if the replica is about to stop. */
  leaving: 'server-leaving',
  model: 'x-rhubarbvane-model',
  /** Prompt tokens and the limit of output tokens, not a count. */
  tokenLimits: 'x-rhubarbvane-token-count',
  /** 0 is the most urgent. */
  urgency: 'x-rhubarbvane-request-urgency',
  expectedVersion: 'x-rhubarbvane-expect-version',
  pin: 'x-rhubarbvane-pin-ms',
  hold: 'x-rhubarbvane-kv-hold',
  lengthHint: 'x-rhubarbvane-length-hint',
  backup: 'x-rhubarbvane-kv-backup',
  fetch: 'kv-fetch',
  continueFrom: 'kv-from',
  authorization: 'authorization',
  retryAfter: 'retry-after',
  /** Era of the store, in all of its answers; rises by one with each restore from a copy. */
  storeEra: 'store-era',
} as const;

/** Headers that are removed from callers' requests: only the system may set them, or it replaces them. */
export const SYSTEM_HEADERS: ReadonlySet<string> = new Set([
  Headers.remainingMilliseconds,
  Headers.customer,
  Headers.expectedInstance,
  Headers.urgency,
  Headers.expectedVersion,
  Headers.pin,
  Headers.hold,
  Headers.backup,
  Headers.fetch,
  Headers.continueFrom,
  Headers.authorization,
]);

/** Headers that apply to one connection only (RFC 9110, section 7.6.1), and those of message framing. */
export const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Paths of calls to replicas. */
export const Paths = {
  report: '/report',
  moveRun: '/kv-move',
  copies: '/kv-handle/',
} as const;

/** Kinds of objects in the metadata store. */
export const Kinds = {
  instances: 'servers',
  configuration: 'config',
  /** Of this product: software versions that began streams. */
  streamVersions: 'stream-versions',
  /** Named after the data centre that is evacuated. */
  evacuations: 'evacuations',
} as const;

/** Name of the only object of the configuration's kind. */
export const CONFIGURATION_NAME = 'main';

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'RHUBARBVANE_NODE_FILE';
