/** Platform stand-in: object API, instance list and weight store, with faults that tests can switch on. */
import * as http from 'node:http';
import * as deadline from '../src/base/common/deadline';
import * as httpServer from '../src/base/node/http_server';
import * as instanceList from '../src/storage/common/instance_list';
import * as standinServer from './standin_server';

const VALUE_LIMIT_BYTES = 1024 * 1024;

interface StoredValue {
  readonly value: string;
  readonly version: number;
}

/** Faults of the platform. */
export interface PlatformFault {
  /** Answers every call with 503. */
  readonly isDown: boolean;
  /** Closes every connection without an answer; calls have no effect. */
  readonly isSilent: boolean;
  readonly delayMilliseconds: number;
  /** Number of replies to drop after their write took effect. */
  readonly loseReplies: number;
  /** Number of latest writes to an object that reads do not return yet. */
  readonly staleWrites: number;
  readonly instanceLagMilliseconds: number;
}

const NO_FAULT: PlatformFault = {
  isDown: false,
  isSilent: false,
  delayMilliseconds: 0,
  loseReplies: 0,
  staleWrites: 0,
  instanceLagMilliseconds: 0,
};

interface InstanceSnapshot {
  readonly at: number;
  readonly instances: readonly instanceList.InstanceRecord[];
}

/** Serves the platform's APIs over HTTP. */
export class PlatformStandin {
  readonly server = new httpServer.HttpServer();
  readonly calls = new Map<string, number>();
  fault: PlatformFault = NO_FAULT;
  private readonly objects = new Map<string, StoredValue[]>();
  private readonly instances = new Map<string, instanceList.InstanceRecord>();
  private history: InstanceSnapshot[] = [{at: 0, instances: []}];
  private weightReadTimes: number[] = [];

  constructor(private readonly weightReadsPerMinute = 30) {
    this.server.mount('/objects', (request, response) =>
      this.handleWithFaults(request, response, () =>
        this.onObject(request, response),
      ),
    );
    this.server.mount('/instances', (request, response) =>
      this.handleWithFaults(request, response, () =>
        this.onInstances(request, response),
      ),
    );
    this.server.mount('/weights/', (request, response) =>
      this.handleWithFaults(request, response, () =>
        this.onWeights(request, response),
      ),
    );
    this.server.mount('/admin/instances/', (request, response) =>
      this.onRegister(request, response),
    );
    this.server.mount('/admin/fault', (request, response) =>
      this.onFault(request, response),
    );
    this.server.mount('/admin/calls', (_, response) =>
      httpServer.sendJson(response, 200, Object.fromEntries(this.calls)),
    );
  }

  dispose(): void {
    this.server.dispose();
  }

  /** Adds an instance to the list, or removes it when there is no record. */
  register(
    name: string,
    record: instanceList.InstanceRecord | undefined,
  ): void {
    if (record === undefined) {
      this.instances.delete(name);
    } else {
      this.instances.set(name, record);
    }
    this.history.push({
      at: Date.now(),
      instances: [...this.instances.values()],
    });
  }

  private async handleWithFaults(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    action: () => void | Promise<void>,
  ): Promise<void> {
    const kind = `${request.method} ${request.url!.split(/[/?]/)[1]}`;
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    await deadline.delay(this.fault.delayMilliseconds);
    if (this.fault.isSilent) {
      response.destroy();
      return;
    }
    if (this.fault.isDown) {
      return httpServer.sendJson(response, 503, {error: 'outage'});
    }
    await action();
  }

  private async onObject(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url!, 'http://platform');
    const key = url.pathname.slice('/objects/'.length);
    if (request.method === 'PUT') {
      return this.put(key, request, response);
    }
    if (request.method === 'DELETE') {
      this.objects.delete(key);
      return this.answerWrite(response, 0);
    }
    if (key === '') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const keys = [...this.objects.keys()].filter(candidate =>
        candidate.startsWith(prefix),
      );
      return httpServer.sendJson(response, 200, keys);
    }
    this.get(key, request, response);
  }

  private get(
    key: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const versions = this.objects.get(key) ?? [];
    const seen =
      versions[Math.max(0, versions.length - 1 - this.fault.staleWrites)];
    if (seen === undefined) {
      return httpServer.sendJson(response, 404, {error: 'not found'});
    }
    if (request.headers['if-none-match'] === `"${seen.version}"`) {
      response.writeHead(304, {ETag: `"${seen.version}"`}).end();
      return;
    }
    response.writeHead(200, {ETag: `"${seen.version}"`}).end(seen.value);
  }

  private async put(
    key: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const value = await standinServer.readBodyText(request);
    if (value.length > VALUE_LIMIT_BYTES) {
      return httpServer.sendJson(response, 413, {error: 'over one megabyte'});
    }
    const versions = this.objects.get(key) ?? [];
    const current = versions.at(-1)?.version ?? 0;
    const mustNotExist = request.headers['if-none-match'] === '*';
    const expected = mustNotExist
      ? 0
      : Number(
          String(request.headers['if-match'] ?? `"${current}"`).replaceAll(
            '"',
            '',
          ),
        );
    if (expected !== current) {
      return httpServer.sendJson(response, 412, {
        error: 'version',
        version: current,
      });
    }
    versions.push({value, version: current + 1});
    versions.splice(0, Math.max(0, versions.length - 8));
    this.objects.set(key, versions);
    this.answerWrite(response, current + 1);
  }

  private answerWrite(response: http.ServerResponse, version: number): void {
    if (this.fault.loseReplies > 0) {
      this.fault = {...this.fault, loseReplies: this.fault.loseReplies - 1};
      response.destroy();
      return;
    }
    response.writeHead(200, {ETag: `"${version}"`}).end();
  }

  private onInstances(
    _: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const cutoff = Date.now() - this.fault.instanceLagMilliseconds;
    const seen = this.history.filter(entry => entry.at <= cutoff).at(-1);
    httpServer.sendJson(response, 200, seen?.instances ?? []);
  }

  private onWeights(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const now = Date.now();
    this.weightReadTimes = this.weightReadTimes.filter(at => at > now - 60_000);
    if (this.weightReadTimes.length >= this.weightReadsPerMinute) {
      return httpServer.sendJson(response, 429, {error: 'rate'});
    }
    this.weightReadTimes.push(now);
    const model = decodeURIComponent(request.url!.split('/').pop()!);
    httpServer.sendJson(response, 200, {model, bytes: 1_000_000_000});
  }

  private async onRegister(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const name = request.url!.split('/').pop()!;
    const isRemoval = request.method === 'DELETE';
    const record =
      await standinServer.readBodyJson<instanceList.InstanceRecord>(request);
    this.register(name, isRemoval ? undefined : record);
    httpServer.sendJson(response, 200, {});
  }

  private async onFault(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.fault = {
      ...this.fault,
      ...(await standinServer.readBodyJson<Partial<PlatformFault>>(request)),
    };
    httpServer.sendJson(response, 200, this.fault);
  }
}
