/** The configuration in force: routes, endpoints, customers and limits. Plain data, so that gateways can relay it. */

/** What may be repeated of a request. */
export enum RequestKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run once at most. */
  NonIdempotent = 'non-idempotent',
  /** Answers with a stream of events; may run once unless the route is resumable. */
  Streaming = 'streaming',
}

/** An endpoint that a route sends a share of its requests to. */
export interface WeightedEndpoint {
  readonly endpoint: string;
  readonly weight: number;
}

/** Where requests with a host and path prefix go, and how they may be handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer, or the first event of a stream, is on time. */
  readonly objectiveMilliseconds: number;
  /** Longest pause between events of a stream that is on time; 0 when not declared. */
  readonly maxPauseMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly endpoints: readonly WeightedEndpoint[];
  /** Most instances that may run one attempt of a caller. */
  readonly attempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether requests carry prompts for a model engine. */
  readonly isGeneration: boolean;
  /** Whether a stream may go on at another instance by event id. */
  readonly isResumable: boolean;
}

/** Figures of the model engines behind an endpoint. */
export interface EngineProfile {
  /** Memory for prompts and output, in tokens. */
  readonly memoryTokens: number;
  readonly canMoveRuns: boolean;
  readonly canBackUpRuns: boolean;
  readonly tokensPerEvent: number;
}

/** A named set of interchangeable instances. */
export interface Endpoint {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one instance accepts from all callers together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine?: EngineProfile;
}

/** What a caller may send, and how long it may take or stay idle. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Who holds API keys. */
export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of a route; undefined when not declared. */
  readonly priority?: number;
}

/** One accepted version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly endpoints: readonly Endpoint[];
  readonly limits: RequestLimits;
  /** Undefined when requests need no keys. */
  readonly customers?: readonly Customer[];
}
