/** Stand-in of the platform's metadata store: objects by kind and name, one revision, watches, and faults. */
import * as http from 'node:http';
import * as net from 'node:net';

/** What happens to a call. */
export enum StoreFault {
  None = 'none',
  /** The call is refused; nothing was done. */
  Busy = 'busy',
  /** No answer ever. */
  Silent = 'silent',
  /** The connection is reset. */
  Reset = 'reset',
  /** Bytes that are not JSON. */
  Garbled = 'garbled',
}

interface StoredObject {
  readonly meta: {readonly name: string; readonly revision: number};
  readonly spec: unknown;
}

interface ChangeEvent {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

interface Waiter {
  readonly kind: string;
  readonly since: number;
  readonly response: http.ServerResponse;
}

const PAGE_ENTRIES = 3;

/** Serves GET of objects, lists and watches. */
export class StoreStandin {
  /** Fault of every call from now on. */
  fault = StoreFault.None;
  readonly calls: string[] = [];
  private revision = 1;
  private historyFrom = 0;
  private readonly objects = new Map<string, Map<string, StoredObject>>();
  private events: ChangeEvent[] = [];
  private waiters: Waiter[] = [];
  private readonly server = http.createServer((request, response) =>
    this.answer(request, response),
  );

  /** Listens on a free port of the loopback; gives IP and port. */
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
    const named = this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, named.set(name, object));
    this.change({kind, revision: this.revision, object, deleted: false});
    return this.revision;
  }

  remove(kind: string, name: string): void {
    const object = this.objects.get(kind)?.get(name);
    if (object !== undefined) {
      this.objects.get(kind)!.delete(name);
      this.change({kind, revision: ++this.revision, object, deleted: true});
    }
  }

  /** Forgets the history, so that watches from before must list again. */
  compact(): void {
    this.historyFrom = this.revision;
    this.events = [];
    const waiting = this.waiters;
    this.waiters = [];
    waiting.forEach(waiter => waiter.response.writeHead(410).end());
  }

  private change(event: ChangeEvent): void {
    this.events.push(event);
    const due = this.waiters.filter(waiter => waiter.kind === event.kind);
    this.waiters = this.waiters.filter(waiter => waiter.kind !== event.kind);
    due.forEach(waiter => this.sendEvents(waiter));
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    this.calls.push(request.url ?? '');
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
        this.serve(new URL(request.url ?? '', 'http://store'), response);
    }
  }

  private serve(url: URL, response: http.ServerResponse): void {
    const [, , kind, name] = url.pathname.split('/');
    const named = this.objects.get(kind) ?? new Map<string, StoredObject>();
    if (name !== undefined) {
      const object = named.get(name);
      return object === undefined
        ? void response.writeHead(404).end()
        : sendJson(response, object);
    }
    const watch = url.searchParams.get('watch');
    if (watch !== null) {
      return this.serveWatch({kind, since: Number(watch), response}, url);
    }
    const after = url.searchParams.get('sinceRev') ?? '';
    const rest = [...named.values()]
      .filter(object => object.meta.name > after)
      .sort((left, right) => (left.meta.name < right.meta.name ? -1 : 1));
    sendJson(response, {
      entries: rest.slice(0, PAGE_ENTRIES),
      hasMore: rest.length > PAGE_ENTRIES,
      at: this.revision,
    });
  }

  private serveWatch(waiter: Waiter, url: URL): void {
    if (waiter.since < this.historyFrom) {
      waiter.response.writeHead(410).end();
      return;
    }
    const hasEvents = this.events.some(
      event => event.kind === waiter.kind && event.revision > waiter.since,
    );
    if (hasEvents) {
      return this.sendEvents(waiter);
    }
    this.waiters.push(waiter);
    const timer = setTimeout(
      () => {
        this.waiters = this.waiters.filter(each => each !== waiter);
        sendJson(waiter.response, {events: [], at: this.revision});
      },
      Number(url.searchParams.get('waitMs') ?? 0),
    );
    waiter.response.once('close', () => clearTimeout(timer));
  }

  private sendEvents(waiter: Waiter): void {
    const events = this.events
      .filter(
        event => event.kind === waiter.kind && event.revision > waiter.since,
      )
      .map(({object, deleted}) => ({object, deleted}));
    sendJson(waiter.response, {events, at: this.revision});
  }
}

function sendJson(response: http.ServerResponse, value: unknown): void {
  if (!response.writableEnded) {
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(value));
  }
}
