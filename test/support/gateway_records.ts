/** Routes, configurations and instances as a gateway holds them, with defaults for what a test does not check. */
import * as configuration from '../../src/gateway/common/configuration';
import * as instanceTable from '../../src/gateway/common/instance_table';

/** An idempotent route of the host `h.example`. */
export function route(
  pathPrefix: string,
  overrides: Partial<configuration.Route> = {},
): configuration.Route {
  return {
    name: pathPrefix,
    host: 'h.example',
    pathPrefix,
    kind: configuration.RequestKind.Idempotent,
    timeoutMilliseconds: 1,
    objectiveMilliseconds: 1,
    maxPauseMilliseconds: 0,
    priority: 0,
    endpoints: [],
    attempts: 1,
    isPublic: false,
    isGeneration: false,
    isResumable: false,
    ...overrides,
  };
}

/** A configuration without routes and keys. */
export function configurationOf(
  overrides: Partial<configuration.Configuration> = {},
): configuration.Configuration {
  return {
    version: 1,
    routes: [],
    endpoints: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    hasAllowedRegions: true,
    ...overrides,
  };
}

/** The registration of a ready instance of the endpoint `e`. */
export function instanceRecord(
  overrides: Partial<instanceTable.InstanceRecord> = {},
): instanceTable.InstanceRecord {
  return {
    id: 'i',
    endpoint: 'e',
    address: '10.0.0.1:1',
    dataCentre: 'a',
    state: instanceTable.InstanceState.Ready,
    slots: 1,
    warmUpMilliseconds: 0,
    startedAt: 1,
    softwareVersion: 'v1',
    ...overrides,
  };
}
