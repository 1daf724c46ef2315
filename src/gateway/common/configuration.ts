/** The active configuration: routes, endpoints, customers and limits. Plain data, so that gateways can relay it to each other. */

/** Whether a request may be sent more than once. */
export enum RequestKind {
  /** May be executed any number of times. */
  Idempotent = 'idempotent',
  /** May be executed at most once. */
  NonIdempotent = 'non-idempotent',
  /** Responds with an event stream; may be executed at most once unless the route is resumable. */
  Streaming = 'streaming',
}

/** An endpoint that receives a share of a route's requests. */
export interface WeightedEndpoint {
  readonly endpoint: string;
  readonly weight: number;
}

/** Maps requests with a host and path prefix to endpoints, and says how they may be handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time that a caller waits for the response. */
  readonly timeoutMilliseconds: number;
  /** Latency objective for a response, or for the first event of a stream. */
  readonly objectiveMilliseconds: number;
  /** Objective for the longest pause between events of a stream; 0 when not declared. */
  readonly maxPauseMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly endpoints: readonly WeightedEndpoint[];
  /** Maximum number of instances that may execute one attempt of a caller. */
  readonly attempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether requests carry prompts for a model engine. */
  readonly isGeneration: boolean;
  /** Whether a stream can be resumed at another instance by event id. */
  readonly isResumable: boolean;
  /** Regions whose instances may get the requests; undefined for all. */
  readonly allowedRegions?: readonly string[];
}

/** Whether requests of the route may be sent again after an instance may have run them. */
export function isRetryable(route: Route): boolean {
  return route.kind === RequestKind.Idempotent || route.isResumable;
}

/** Properties of the model engines behind an endpoint. */
export interface EngineProfile {
  /** Memory for prompts and output, in tokens. */
  readonly memoryTokens: number;
  readonly canMoveRuns: boolean;
  readonly canBackUpRuns: boolean;
  readonly tokensPerEvent: number;
  /** Time that the copy of one token to an engine of the same data centre takes; 0 or absent if unknown. */
  readonly copyMillisecondsPerToken?: number;
  /** Time for which copies are kept; 0 or absent if unknown. */
  readonly copyLifetimeMilliseconds?: number;
}

/** A named group of interchangeable instances. */
export interface Endpoint {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one instance accepts from all callers together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine?: EngineProfile;
  /** Requests a second that a cold instance takes from all gateways together; 0 or absent if there is no such limit. */
  readonly rampRequestsPerSecond?: number;
  /** Time for which an instance is cold after its start; 0 or absent if unknown. */
  readonly warmUpMilliseconds?: number;
}

/** Limits on the size of a caller's request, and on how long it may take or stay idle. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A holder of API keys. */
export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of a route; undefined when not declared. */
  readonly priority?: number;
  /** Regions whose instances may get the customer's requests; undefined for all. */
  readonly allowedRegions?: readonly string[];
}

/** One accepted version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly endpoints: readonly Endpoint[];
  readonly limits: RequestLimits;
  /** Undefined when requests need no keys. */
  readonly customers?: readonly Customer[];
  /** Whether allowed regions were read; absent if a gateway of an older build, which does not read them, relayed the configuration. */
  readonly hasAllowedRegions?: boolean;
}
