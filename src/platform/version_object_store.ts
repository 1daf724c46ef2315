/** Keeps knowledge about software versions as objects of the metadata store. */
import * as neverthrow from 'neverthrow';
import * as stateSource from '../gateway/common/state_source';
import * as versionStore from '../gateway/common/versions/version_store';
import * as metadataStore from './metadata_store';
import * as objectCodec from './object_codec';
import * as storeConnection from './store_connection';
import * as wireNames from './wire_names';

const PATH = `/objects/${wireNames.Kinds.streamVersions}`;
/** Maximum number of pages read in one list; further objects are not found. */
const MAX_PAGES = 20;

/** Objects of one kind, which only this product reads and writes. */
export class VersionObjectStore extends versionStore.VersionStore {
  private readonly connection: storeConnection.StoreConnection;

  constructor(options: storeConnection.StoreOptions) {
    super();
    this.connection = new storeConnection.StoreConnection(options);
  }

  async read(
    name: string,
  ): Promise<
    neverthrow.Result<
      versionStore.StoredVersions | undefined,
      stateSource.SourceError
    >
  > {
    const answer = await this.connection.read({
      operation: 'read',
      path: pathOf(name),
    });
    if (answer.isErr()) {
      return answer.error === stateSource.SourceError.Missing
        ? neverthrow.ok(undefined)
        : neverthrow.err(answer.error);
    }
    const stored = objectCodec.decodeObject(answer.value.fields);
    return stored === undefined
      ? neverthrow.err(stateSource.SourceError.Malformed)
      : neverthrow.ok(decode(stored));
  }

  async list(): Promise<
    neverthrow.Result<versionStore.StoredVersions[], stateSource.SourceError>
  > {
    const found: versionStore.StoredVersions[] = [];
    let query = '';
    for (let count = 0; count < MAX_PAGES; count++) {
      const answer = await this.connection.read({
        operation: 'list',
        path: `${PATH}${query}`,
      });
      if (answer.isErr()) {
        return neverthrow.err(answer.error);
      }
      const page = metadataStore.decodePage(answer.value.fields);
      found.push(...page.objects.map(decode));
      if (!page.hasMore || page.lastName === undefined) {
        break;
      }
      query = `?sinceRev=${encodeURIComponent(page.lastName)}`;
    }
    return neverthrow.ok(found);
  }

  async write(
    name: string,
    content: unknown,
    revision: number | undefined,
  ): Promise<neverthrow.Result<number, versionStore.VersionWriteError>> {
    const isNew = revision === undefined;
    const answer = await this.connection.send({
      operation: 'write',
      method: isNew ? 'POST' : 'PUT',
      path: isNew ? PATH : pathOf(name),
      content: {meta: {name, revision}, spec: content},
    });
    if (answer?.status === 409 || answer?.status === 404) {
      return neverthrow.err(versionStore.VersionWriteError.Conflict);
    }
    const isDone = answer?.status === 200 || answer?.status === 201;
    const stored = isDone
      ? storeConnection.parseBody(answer.body).map(objectCodec.decodeObject)
      : undefined;
    const written = stored?.unwrapOr(undefined);
    return written === undefined
      ? neverthrow.err(versionStore.VersionWriteError.Failed)
      : neverthrow.ok(written.revision);
  }

  async remove(name: string, revision: number): Promise<void> {
    await this.connection.send({
      operation: 'write',
      method: 'DELETE',
      path: `${pathOf(name)}?revision=${revision}`,
    });
  }

  /** Closes all connections. */
  dispose(): void {
    this.connection.dispose();
  }
}

function pathOf(name: string): string {
  return `${PATH}/${encodeURIComponent(name)}`;
}

function decode({
  name,
  revision,
  spec,
}: objectCodec.StoredObject): versionStore.StoredVersions {
  return {name, revision, content: objectCodec.parseJson(spec)};
}
