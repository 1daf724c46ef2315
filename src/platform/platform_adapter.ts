/** Factory functions for the parts of the platform adapter that programs use. */
import * as http from 'node:http';
import * as instanceClient from '../gateway/common/instance_client';
import * as stateSource from '../gateway/common/state_source';
import * as versionStore from '../gateway/common/versions/version_store';
import * as requestAcceptance from '../gateway/node/request_acceptance';
import * as callerCodec from './caller_codec';
import * as instanceConnections from './instance_connections';
import * as instanceHttpClient from './instance_http_client';
import * as metadataStore from './metadata_store';
import * as versionObjectStore from './version_object_store';
import * as wireNames from './wire_names';

/** Path of the settings file that the platform wrote for this process. */
export function settingsPath(): string {
  return process.env[wireNames.SETTINGS_VARIABLE] ?? '';
}

/** Creates a source that reads configuration and instances from the metadata store at the address. */
export function createStateSource(
  address: string,
  onDidCall: (operation: string) => void,
  bounds: Partial<metadataStore.ConfigurationBounds> = {},
): stateSource.StateSource {
  return new metadataStore.MetadataStore({address, onDidCall, ...bounds});
}

/** Creates the store in which knowledge about software versions outlives the gateways. */
export function createVersionStore(
  address: string,
  onDidCall: (operation: string) => void,
): versionStore.VersionStore {
  return new versionObjectStore.VersionObjectStore({address, onDidCall});
}

/** Creates a client of the platform's replicas. */
export function createInstanceClient(
  onDidConnect: () => void,
  bounds?: instanceConnections.InstanceConnectionBounds,
): instanceClient.InstanceClient {
  return new instanceHttpClient.InstanceHttpClient(
    onDidConnect,
    undefined,
    bounds,
  );
}

/** Creates a decoder of the requests of the platform's callers. */
export function createCallerDecoder(): requestAcceptance.CallerDecoder {
  return new PlatformCallerDecoder();
}

class PlatformCallerDecoder extends requestAcceptance.CallerDecoder {
  decode(request: http.IncomingMessage): instanceClient.CallerRequest {
    return callerCodec.decodeCallerRequest(request);
  }

  hasAmbiguousHost(request: http.IncomingMessage): boolean {
    return callerCodec.hasAmbiguousHost(request);
  }
}
