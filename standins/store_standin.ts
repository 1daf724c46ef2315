/** Stand-in of the platform's metadata store: objects by kind and name, one revision counter, watches and faults. */
import * as http from 'node:http';
import * as net from 'node:net';

/** Fault of a call. */
export enum StoreFault {
  None = 'none',
  /** The call is refused with 503 and has no effect. */
  Busy = 'busy',
  /** The call is never answered. */
  Silent = 'silent',
  /** The connection is reset. */
  Reset = 'reset',
  /** The answer is not valid JSON. */
  Garbled = 'garbled',
}

interface StoredObject {
  readonly meta: {readonly name: string; readonly revision: number};
  readonly spec: unknown;
}

/** Body of a call that writes. */
interface WrittenObject {
  readonly meta: {readonly name: string; readonly revision?: number};
  readonly spec: unknown;
}

interface ChangeEvent {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

interface PendingWatch {
  readonly kind: string;
  readonly since: number;
  readonly response: http.ServerResponse;
}

/** State of the store at some moment. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
}

const ENTRIES_PER_PAGE = 3;

/** Serves objects, lists and watches over HTTP. */
export class StoreStandin {
  /** Fault of every call from now on. */
  fault = StoreFault.None;
  /** Kind of which every call is refused with 503; undefined for none. */
  refusedKind: string | undefined;
  /** Body of every answer in place of the right one; undefined for none. */
  answer: unknown;
  /** Runs after each call that was answered without a fault. */
  onDidServe: () => void = () => undefined;
  readonly calls: string[] = [];
  /** Rises by one with each restore from a copy; sent as `Store-Era` in all answers. */
  private era = 1;
  private revision = 1;
  private compactedRevision = 0;
  private objects = new Map<string, Map<string, StoredObject>>();
  private events: ChangeEvent[] = [];
  private pendingWatches: PendingWatch[] = [];
  private readonly server = http.createServer((request, response) =>
    this.handleRequest(request, response),
  );

  /** Listens on a free port of the loopback; returns IP and port. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(kind: string, name: string, spec: unknown): number {
    const object = {meta: {name, revision: ++this.revision}, spec};
    const objectsOfKind =
      this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, objectsOfKind.set(name, object));
    this.publish({kind, revision: this.revision, object, deleted: false});
    return this.revision;
  }

  remove(kind: string, name: string): void {
    const object = this.objects.get(kind)?.get(name);
    if (object !== undefined) {
      this.objects.get(kind)!.delete(name);
      this.publish({kind, revision: ++this.revision, object, deleted: true});
    }
  }

  /** Drops the event history, so that watches from earlier revisions must list again. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.events = [];
    const waiting = this.pendingWatches;
    this.pendingWatches = [];
    waiting.forEach(watch => watch.response.writeHead(410).end());
  }

  /** Returns a copy from which the store can be restored. */
  copy(): StoreCopy {
    return {revision: this.revision, objects: copyObjects(this.objects)};
  }

  /** Comes back from a copy: what was written since is lost, revisions go back, and all connections end. */
  restore({revision, objects}: StoreCopy): void {
    this.era++;
    this.revision = revision;
    this.objects = copyObjects(objects);
    this.events = this.events.filter(event => event.revision <= revision);
    this.pendingWatches = [];
    this.server.closeAllConnections();
  }

  private publish(event: ChangeEvent): void {
    this.events.push(event);
    const due = this.pendingWatches.filter(watch => watch.kind === event.kind);
    this.pendingWatches = this.pendingWatches.filter(
      watch => watch.kind !== event.kind,
    );
    due.forEach(watch => this.sendEvents(watch));
  }

  private handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const method = request.method ?? 'GET';
    response.setHeader('Store-Era', String(this.era));
    this.calls.push(
      method === 'GET' ? (request.url ?? '') : `${method} ${request.url}`,
    );
    switch (this.fault) {
      case StoreFault.Busy:
        response.writeHead(503).end();
        return;
      case StoreFault.Silent:
        return;
      case StoreFault.Reset:
        request.socket.resetAndDestroy();
        return;
      case StoreFault.Garbled:
        response.writeHead(200).end('{"entries": [');
        return;
      case StoreFault.None:
        if (request.url?.split(/[/?]/)[2] === this.refusedKind) {
          response.writeHead(503).end();
          return;
        }
        if (this.answer !== undefined) {
          return sendJson(response, this.answer);
        }
        this.serveMethod(method, request, response);
        this.onDidServe();
    }
  }

  private serveMethod(
    method: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const url = new URL(request.url ?? '', 'http://store');
    if (method === 'GET') {
      return this.serve(url, response);
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.once('end', () =>
      this.serveWrite(method, url, Buffer.concat(chunks), response),
    );
  }

  /** Writes or removes an object if the revision in the call is the object's. */
  private serveWrite(
    method: string,
    url: URL,
    bytes: Buffer,
    response: http.ServerResponse,
  ): void {
    const [, root, kind, nameInPath] = url.pathname.split('/');
    if (root !== 'objects') {
      // A call to a replica whose port this stand-in has taken over.
      response.writeHead(404).end();
      return;
    }
    const body =
      method === 'DELETE'
        ? undefined
        : (JSON.parse(bytes.toString('utf8')) as WrittenObject);
    const name = decodeURIComponent(nameInPath ?? body?.meta.name ?? '');
    const current = this.objects.get(kind)?.get(name);
    const revision =
      body?.meta.revision ?? url.searchParams.get('revision') ?? undefined;
    if (method !== 'POST' && current === undefined) {
      response.writeHead(404).end();
      return;
    }
    const isConflict =
      method === 'POST'
        ? current !== undefined
        : revision !== undefined && Number(revision) !== current?.meta.revision;
    if (isConflict) {
      return sendJson(response, current, 409);
    }
    if (body === undefined) {
      this.remove(kind, name);
      return sendJson(response, current);
    }
    this.put(kind, name, body.spec);
    sendJson(response, this.objects.get(kind)!.get(name));
  }

  private serve(url: URL, response: http.ServerResponse): void {
    const [, , kind, name] = url.pathname.split('/');
    const objectsOfKind =
      this.objects.get(kind) ?? new Map<string, StoredObject>();
    if (name !== undefined) {
      const object = objectsOfKind.get(name);
      return object === undefined
        ? void response.writeHead(404).end()
        : sendJson(response, object);
    }
    const watch = url.searchParams.get('watch');
    if (watch !== null) {
      return this.serveWatch({kind, since: Number(watch), response}, url);
    }
    const after = url.searchParams.get('sinceRev') ?? '';
    const rest = [...objectsOfKind.values()]
      .filter(object => object.meta.name > after)
      .sort((left, right) => (left.meta.name < right.meta.name ? -1 : 1));
    sendJson(response, {
      entries: rest.slice(0, ENTRIES_PER_PAGE),
      hasMore: rest.length > ENTRIES_PER_PAGE,
      at: this.revision,
    });
  }

  private serveWatch(watch: PendingWatch, url: URL): void {
    const isKnown =
      watch.since >= this.compactedRevision && watch.since <= this.revision;
    if (!isKnown) {
      watch.response.writeHead(410).end();
      return;
    }
    const hasEvents = this.events.some(
      event => event.kind === watch.kind && event.revision > watch.since,
    );
    if (hasEvents) {
      return this.sendEvents(watch);
    }
    this.pendingWatches.push(watch);
    const timer = setTimeout(
      () => {
        this.pendingWatches = this.pendingWatches.filter(
          each => each !== watch,
        );
        sendJson(watch.response, {events: [], at: this.revision});
      },
      Number(url.searchParams.get('waitMs') ?? 0),
    );
    watch.response.once('close', () => clearTimeout(timer));
  }

  private sendEvents(watch: PendingWatch): void {
    const events = this.events
      .filter(
        event => event.kind === watch.kind && event.revision > watch.since,
      )
      .map(({object, deleted}) => ({object, deleted}));
    sendJson(watch.response, {events, at: this.revision});
  }
}

function copyObjects(objects: StoreCopy['objects']) {
  return new Map(
    [...objects].map(([kind, byName]) => [kind, new Map(byName)] as const),
  );
}

function sendJson(
  response: http.ServerResponse,
  value: unknown,
  status = 200,
): void {
  if (!response.writableEnded) {
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(value));
  }
}
