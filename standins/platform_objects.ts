/** Objects in the platform's format, for the store stand-in. */

export const LIMITS = {
  maxHeaderBytes: 2_048,
  maxBodyBytes: 10_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** An engine whose runs can be copied on request; by default it sends one event per token. */
export function engineSpec(overrides: object = {}): object {
  return {
    slots: 24,
    kvCap: 34_000,
    kvBytes: 1,
    linkMbps: 1_000,
    moves: true,
    backups: false,
    stride: 1,
    handleTtlS: 5,
    ...overrides,
  };
}

/** A service; it is backed by model engines when an engine is given. */
export function serviceSpec(name: string, engine?: object): object {
  return {name, healthPath: '/healthz', maxConns: 200, runtime: engine};
}

/** A route of the host to one service. */
export function routeSpec(
  hostname: string,
  pathPrefix: string,
  type: string,
  service: string,
  overrides: object = {},
): object {
  return {
    name: `route${pathPrefix}`,
    hostname,
    pathPrefix,
    type,
    service,
    timeoutMs: 5_000,
    sloMs: 1_000,
    priority: 1,
    attempts: 2,
    public: false,
    ...overrides,
  };
}

/** The registration that a replica writes. */
export function registrationSpec(
  service: string,
  address: string,
  state = 'ready',
  version = 'v1',
  zone = 'a',
): object {
  return {
    service,
    address,
    zone,
    slots: 24,
    state,
    version,
    warmLeftMs: 0,
    born: 1,
    seq: 1,
  };
}
