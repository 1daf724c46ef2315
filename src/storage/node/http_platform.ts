/** HTTP clients of the platform's APIs. */
import * as neverthrow from 'neverthrow';
import * as httpClient from '../../base/node/http_client';
import * as instanceList from '../common/instance_list';
import * as objectStore from '../common/object_store';
import * as weightStore from '../common/weight_store';

const STORE_TIMEOUT_MILLISECONDS = 1_500;

/** URL and access token of the platform, with an optional hook for counting calls. */
export interface PlatformTarget {
  readonly url: string;
  readonly token: string;
  readonly onDidCall?: (operation: string) => void;
}

async function callPlatform(
  target: PlatformTarget,
  method: string,
  path: string,
  body?: string,
  headers: Record<string, string> = {},
): Promise<neverthrow.Result<httpClient.HttpResponse, objectStore.StoreError>> {
  target.onDidCall?.(`${method} ${path.split('/')[1]}`);
  try {
    const response = await httpClient.callHttp({
      method,
      url: target.url + path,
      body,
      headers: {
        authorization: `Bearer ${target.token}`,
        'content-length': Buffer.byteLength(body ?? ''),
        ...headers,
      },
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    return toStoreResult(response);
  } catch (error) {
    const isUnsent = httpClient.neverSent(error);
    return neverthrow.err(
      isUnsent
        ? objectStore.StoreError.Unreachable
        : objectStore.StoreError.Unknown,
    );
  }
}

function toStoreResult(
  response: httpClient.HttpResponse,
): neverthrow.Result<httpClient.HttpResponse, objectStore.StoreError> {
  if (response.status === 404) {
    return neverthrow.err(objectStore.StoreError.NotFound);
  }
  if (response.status === 409 || response.status === 412) {
    return neverthrow.err(objectStore.StoreError.VersionMismatch);
  }
  if (response.status === 429 || response.status === 503) {
    return neverthrow.err(objectStore.StoreError.Unreachable);
  }
  if (response.status >= 400) {
    return neverthrow.err(objectStore.StoreError.Unknown);
  }
  return neverthrow.ok(response);
}

function versionOf(response: httpClient.HttpResponse): number {
  return Number(String(response.headers.etag ?? '0').replaceAll('"', ''));
}

/** Object store over HTTP, with entity tags as versions. */
export class HttpObjectStore extends objectStore.ObjectStore {
  constructor(private readonly target: PlatformTarget) {
    super();
  }

  async read(key: string) {
    const result = await callPlatform(this.target, 'GET', `/objects/${key}`);
    return result.map(response => ({
      value: response.body.toString('utf8'),
      version: versionOf(response),
    }));
  }

  async readIfChanged(key: string, version: number) {
    const condition = {'if-none-match': `"${version}"`};
    const result = await callPlatform(
      this.target,
      'GET',
      `/objects/${key}`,
      undefined,
      condition,
    );
    return result.map(response => {
      if (response.status === 304) {
        return {};
      }
      return {
        changed: {
          value: response.body.toString('utf8'),
          version: versionOf(response),
        },
      };
    });
  }

  async write(key: string, value: string, expectedVersion: number) {
    const condition: Record<string, string> =
      expectedVersion === 0
        ? {'if-none-match': '*'}
        : {'if-match': `"${expectedVersion}"`};
    const result = await callPlatform(
      this.target,
      'PUT',
      `/objects/${key}`,
      value,
      condition,
    );
    return result.map(versionOf);
  }

  async remove(key: string) {
    const result = await callPlatform(this.target, 'DELETE', `/objects/${key}`);
    return result.map(() => undefined);
  }

  async list(prefix: string) {
    const result = await callPlatform(
      this.target,
      'GET',
      `/objects?prefix=${encodeURIComponent(prefix)}`,
    );
    return result.map(
      response =>
        JSON.parse(response.body.toString('utf8')) as readonly string[],
    );
  }
}

/** Instance list over HTTP. */
export class HttpInstanceList extends instanceList.InstanceList {
  constructor(private readonly target: PlatformTarget) {
    super();
  }

  async read() {
    const result = await callPlatform(this.target, 'GET', '/instances');
    return result.map(
      response =>
        JSON.parse(
          response.body.toString('utf8'),
        ) as readonly instanceList.InstanceRecord[],
    );
  }
}

/** Weight store over HTTP. */
export class HttpWeightStore extends weightStore.WeightStore {
  constructor(private readonly target: PlatformTarget) {
    super();
  }

  async reserve(model: string) {
    const result = await callPlatform(
      this.target,
      'POST',
      `/weights/${encodeURIComponent(model)}`,
    );
    return result.map(
      response =>
        JSON.parse(response.body.toString('utf8')) as weightStore.WeightGrant,
    );
  }
}
