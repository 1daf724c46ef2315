/** Stand-in of a replica: answers requests as told, streams events, and copies runs. */
import * as http from 'node:http';
import * as net from 'node:net';

/** One request as the replica got it. */
export interface SeenRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Answers one request of a caller. */
export type ReplicaBehaviour = (
  request: SeenRequest,
  response: http.ServerResponse,
) => void;

/** A run that was copied here or from here. */
export interface CopyOrder {
  readonly id: string;
  readonly target: string;
  readonly last?: boolean;
}

/** Serves callers' requests by a behaviour, and the calls about runs. */
export class ReplicaStandin {
  readonly requests: SeenRequest[] = [];
  readonly copies: CopyOrder[] = [];
  /** Runs before a copy is answered; a test may keep it waiting. */
  beforeCopied: Promise<void> = Promise.resolve();
  /** Handles of copies that were freed. */
  readonly dropped: string[] = [];
  /** Runs of the report: id, tokens, events, priority. */
  runs: unknown[] = [];
  /** State of the report. */
  state = 'ready';
  private readonly waiting: (() => void)[] = [];
  private readonly server = http.createServer(
    (request, response) => void this.answer(request, response),
  );

  constructor(
    readonly id: string,
    public behaviour: ReplicaBehaviour,
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
  whenCalled(): Promise<void> {
    return new Promise(resolve => this.waiting.push(resolve));
  }

  private async answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks).toString();
    const {method = 'GET', url = '/', headers} = request;
    if (url === '/report') {
      return this.sendJson(response, {
        queued: 0,
        state: this.state,
        runs: this.runs,
      });
    }
    if (url === '/kv-move') {
      const order = JSON.parse(body) as CopyOrder;
      this.copies.push(order);
      await this.beforeCopied;
      this.sendJson(response, {kvHandle: `h${this.copies.length}`, created: 0});
      return this.wake();
    }
    if (method === 'DELETE' && url.startsWith('/kv-handle/')) {
      this.dropped.push(url.slice('/kv-handle/'.length));
      return this.sendJson(response, {});
    }
    const seen = {method, url, headers, body};
    this.requests.push(seen);
    this.behaviour(seen, response);
    this.wake();
  }

  private wake(): void {
    this.waiting.splice(0).forEach(resolve => resolve());
  }

  private sendJson(response: http.ServerResponse, value: unknown): void {
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(value));
  }
}

/** Headers of an answer by the replica to the request. */
export function stamped(request: SeenRequest): http.OutgoingHttpHeaders {
  return {
    'X-Rhubarbvane-Attempt-Id': request.headers['x-rhubarbvane-attempt-id'],
    'X-Rhubarbvane-Server-Stamp': 'stamp',
  };
}

/** Answers with a body. */
export function succeed(body: string): ReplicaBehaviour {
  return (request, response) => {
    response.writeHead(200, stamped(request));
    response.end(body);
  };
}

/** States that the request was not run. */
export const shed: ReplicaBehaviour = (_, response) => {
  response.writeHead(503, {'X-Rhubarbvane-Not-Executed': '1'}).end();
};

/** Fails the request by its own account. */
export const fail: ReplicaBehaviour = (request, response) => {
  response.writeHead(500, stamped(request)).end('failed');
};

/** Resets the connection without an answer. */
export const reset: ReplicaBehaviour = (_, response) => {
  response.socket!.resetAndDestroy();
};

/** Text of the events with these numbers. */
export function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id++) {
    text += `id: ${id}\ndata: piece ${id}\n\n`;
  }
  return text;
}
