/** Stand-in of a replica: answers requests by a handler, streams events and copies runs. */
import * as http from 'node:http';
import * as net from 'node:net';

/** A request as the replica received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Answers one request of a caller. */
export type ReplicaHandler = (
  request: ReceivedRequest,
  response: http.ServerResponse,
) => void;

/** Order to copy a run to a target. */
export interface CopyOrder {
  readonly id: string;
  readonly target: string;
  readonly last?: boolean;
}

/** Serves callers' requests by a handler, and the calls that report and copy runs. */
export class ReplicaStandin {
  readonly requests: ReceivedRequest[] = [];
  readonly copies: CopyOrder[] = [];
  /** Awaited before a copy is answered; a test may delay it. */
  beforeCopyAnswer: Promise<void> = Promise.resolve();
  /** Status with which orders to copy a run are answered; undefined to give no answer. */
  copyStatus: number | undefined = 200;
  /** Statuses of the next answers to such orders, before `copyStatus`. */
  nextCopyStatuses: number[] = [];
  /** Handles of copies that were freed. */
  readonly freedHandles: string[] = [];
  /** Runs in the report, each as [id, tokens, events, priority]. */
  runs: unknown[] = [];
  /** State in the report. */
  state = 'ready';
  /** Memory in use in the report, in tokens. */
  memoryTokens = 0;
  /** Size of the memory in the report, in tokens; undefined to give none. */
  memorySize: number | undefined;
  /** Start of the incarnation in the report, in Unix milliseconds. */
  startedAt = 1;
  /** Whether reports are answered. */
  isReporting = true;
  /** Time until a report is answered, in milliseconds. */
  reportDelay = 0;
  private readonly callWaiters: (() => void)[] = [];
  private readonly server = http.createServer(
    (request, response) => void this.handleRequest(request, response),
  );

  constructor(
    readonly id: string,
    public handler: ReplicaHandler,
  ) {}

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

  /** Resolves at the next request or copy. */
  nextCall(): Promise<void> {
    return new Promise(resolve => this.callWaiters.push(resolve));
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks).toString();
    const {method = 'GET', url = '/', headers} = request;
    if (url === '/report' && !this.isReporting) {
      return;
    }
    if (url === '/report') {
      await new Promise(resolve => setTimeout(resolve, this.reportDelay));
      return this.sendJson(response, {
        queued: 0,
        kvInUse: this.memoryTokens,
        kvSize: this.memorySize,
        born: this.startedAt,
        state: this.state,
        runs: this.runs,
      });
    }
    if (url === '/kv-move') {
      const order = JSON.parse(body) as CopyOrder;
      this.copies.push(order);
      await this.beforeCopyAnswer;
      const status = this.nextCopyStatuses.shift() ?? this.copyStatus;
      if (status === 200) {
        const kvHandle = `h${this.copies.length}`;
        this.sendJson(response, {kvHandle, created: 0});
      } else if (status !== undefined) {
        response.writeHead(status).end('{}');
      }
      return this.notifyCallWaiters();
    }
    if (method === 'DELETE' && url.startsWith('/kv-handle/')) {
      this.freedHandles.push(url.slice('/kv-handle/'.length));
      return this.sendJson(response, {});
    }
    const received = {method, url, headers, body};
    this.requests.push(received);
    this.handler(received, response);
    this.notifyCallWaiters();
  }

  private notifyCallWaiters(): void {
    this.callWaiters.splice(0).forEach(resolve => resolve());
  }

  private sendJson(response: http.ServerResponse, value: unknown): void {
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(value));
  }
}

/** Returns the headers that a replica sets on its answer to the request. */
export function answerHeaders(
  request: ReceivedRequest,
): http.OutgoingHttpHeaders {
  return {
    'X-Rhubarbvane-Attempt-Id': request.headers['x-rhubarbvane-attempt-id'],
    'X-Rhubarbvane-Server-Stamp': 'stamp',
  };
}

/** Answers with status 200 and the body. */
export function succeed(body: string): ReplicaHandler {
  return (request, response) => {
    response.writeHead(200, answerHeaders(request));
    response.end(body);
  };
}

/** Refuses the request and states that it was not run. */
export const shed: ReplicaHandler = (_, response) => {
  response.writeHead(503, {'X-Rhubarbvane-Not-Executed': '1'}).end();
};

/** Answers with status 500. */
export const fail: ReplicaHandler = (request, response) => {
  response.writeHead(500, answerHeaders(request)).end('failed');
};

/** Resets the connection without an answer. */
export const reset: ReplicaHandler = (_, response) => {
  response.socket!.resetAndDestroy();
};

/** Returns the text of the events with the ids `from` to `to`. */
export function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id++) {
    text += `id: ${id}\ndata: piece ${id}\n\n`;
  }
  return text;
}
