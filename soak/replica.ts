/** Replicas of the soak test: plain services, and engines whose runs can be copied. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as answers from './answers';
import * as requestHistory from './request_history';

/** Interval between the pieces of a stream, in milliseconds. */
const PIECE_INTERVAL_MILLISECONDS = 20;
const PLAIN_ANSWER_MILLISECONDS = 10;
/** Maximum number of pieces of a stream; a request may ask for fewer. */
const MAX_PIECES = 120;

/** Behaviour of a replica. */
export enum ReplicaMode {
  Normal = 'sound',
  /** Accepts connections and never answers. */
  Silent = 'silent',
  /** Resets the connection of every request. */
  Resetting = 'resetting',
  /** Runs requests and drops their answers. */
  LosingAnswers = 'forgetful',
  /** Refuses requests and states that they were not run. */
  Shedding = 'shedding',
  /** Sends a second answer after each plain answer. */
  DuplicatingAnswers = 'doubling',
  /** Sends streams without length or chunks. */
  Unframed = 'unframed',
}

interface StreamRun {
  readonly attempt: string;
  sentPieces: number;
  timer: NodeJS.Timeout | undefined;
  response: http.ServerResponse;
  readonly isUnframed: boolean;
}

/** Progress of copied runs by handle, shared by all replicas. */
type Copies = Map<
  string,
  {readonly attempt: string; readonly sentPieces: number}
>;

/** What distinguishes a replica from others. */
export interface ReplicaProfile {
  readonly id: string;
  readonly service: string;
  /** Version of its software. */
  readonly version: string;
  readonly dataCentre: string;
  /** Speed relative to the common one. */
  readonly speed: number;
}

/** Serves requests of gateways over HTTP. */
export class Replica {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly dataCentre: string;
  private readonly speed: number;
  mode = ReplicaMode.Normal;
  /** Requests a second that the replica names as its limit; undefined to name none. */
  limit: number | undefined;
  address = '';
  private readonly streams = new Map<string, StreamRun>();
  private readonly server = http.createServer((request, response) =>
    this.receive(request, response),
  );

  constructor(
    profile: ReplicaProfile,
    private readonly history: requestHistory.RequestHistory,
    private readonly copies: Copies,
  ) {
    this.id = profile.id;
    this.service = profile.service;
    this.version = profile.version;
    this.dataCentre = profile.dataCentre;
    this.speed = profile.speed;
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as net.AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Closes the connections of streams without length or chunks in order, inside an event. */
  breakUnframedStreams(): void {
    for (const run of [...this.streams.values()]) {
      if (run.isUnframed) {
        const event = answers.pieceEvent(
          run.attempt,
          run.sentPieces + 1,
          this.version,
        );
        this.endStream(run);
        run.response.end(event.slice(0, -1));
      }
    }
  }

  /** Closes all connections at once, as a crash does. */
  crash(): void {
    this.breakUnframedStreams();
    this.streams.forEach(run => clearInterval(run.timer));
    this.streams.clear();
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.once('end', () =>
      this.answer(request, response, Buffer.concat(chunks).toString()),
    );
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
  ): void {
    const {url = '', headers} = request;
    const attempt = headers['x-rhubarbvane-attempt-id'];
    if (attempt !== undefined && headers['kv-from'] === undefined) {
      this.recordArrival(String(attempt));
    }
    if (this.mode === ReplicaMode.Silent) {
      return;
    }
    if (url === '/report') {
      const runs = [...this.streams.values()].map(run => [
        run.attempt,
        1,
        run.sentPieces,
        1,
      ]);
      return sendJson(response, 200, {queued: 0, runs});
    }
    if (url === '/kv-move') {
      return this.copy(response, JSON.parse(body) as CopyOrder);
    }
    if (url.startsWith('/kv-handle/')) {
      this.copies.delete(url.slice('/kv-handle/'.length));
      return sendJson(response, 200, {});
    }
    if (this.limit !== undefined) {
      response.setHeader('Server-Limit', String(this.limit));
    }
    this.serve(headers, response, body);
  }

  private serve(
    headers: http.IncomingHttpHeaders,
    response: http.ServerResponse,
    body: string,
  ): void {
    const attempt = String(headers['x-rhubarbvane-attempt-id']);
    const isMisaddressed = headers['x-rhubarbvane-expect-replica'] !== this.id;
    if (isMisaddressed || this.mode === ReplicaMode.Shedding) {
      this.recordRejectedContinuation(attempt, headers);
      response.writeHead(isMisaddressed ? 421 : 503, {
        'X-Rhubarbvane-Not-Executed': '1',
      });
      response.end();
      return;
    }
    if (this.mode === ReplicaMode.Resetting) {
      response.socket?.resetAndDestroy();
      return;
    }
    if (this.service === 'writers') {
      return this.stream(attempt, headers, response, body);
    }
    this.history.recordRun(attempt, this.id, performance.now(), false);
    if (this.mode === ReplicaMode.LosingAnswers) {
      response.socket?.destroy();
      return;
    }
    setTimeout(
      () => this.answerPlain(attempt, response),
      PLAIN_ANSWER_MILLISECONDS / this.speed,
    );
  }

  private recordArrival(attempt: string): void {
    const {budget} = this.history;
    budget.recordArrival(this.service, attempt, performance.now());
  }

  private recordRejectedContinuation(
    attempt: string,
    headers: http.IncomingHttpHeaders,
  ): void {
    if (headers['kv-from'] !== undefined) {
      this.recordArrival(attempt);
    }
  }

  private answerPlain(attempt: string, response: http.ServerResponse): void {
    const body = answers.plainBody(attempt, this.id);
    const {socket} = response;
    response.writeHead(200, {
      ...answerHeaders(attempt, this.id),
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
    if (this.mode === ReplicaMode.DuplicatingAnswers) {
      socket?.write(
        'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Rhubarbvane-Server-Stamp: x\r\n\r\nstray',
      );
    }
  }

  private stream(
    attempt: string,
    headers: http.IncomingHttpHeaders,
    response: http.ServerResponse,
    body: string,
  ): void {
    const from = headers['kv-from'];
    const copy =
      from === undefined
        ? undefined
        : this.copies.get(String(from).split('/')[1]);
    if (from !== undefined && copy === undefined) {
      this.recordRejectedContinuation(attempt, headers);
      response.writeHead(503, {'X-Rhubarbvane-Not-Executed': '1'}).end();
      return;
    }
    if (from !== undefined) {
      this.copies.delete(String(from).split('/')[1]);
    }
    const sentPieces = Number(headers['last-event-id'] ?? 0);
    this.history.recordRun(
      attempt,
      this.id,
      performance.now(),
      sentPieces > 0 || from !== undefined,
    );
    const isUnframed = this.mode === ReplicaMode.Unframed;
    response.useChunkedEncodingByDefault = !isUnframed;
    response.writeHead(200, {
      ...answerHeaders(attempt, this.id),
      'Content-Type': 'text/event-stream',
    });
    const pieces = Math.min(MAX_PIECES, Number(body) || MAX_PIECES);
    const run: StreamRun = {
      attempt,
      sentPieces,
      timer: undefined,
      response,
      isUnframed,
    };
    this.streams.set(attempt, run);
    run.timer = setInterval(
      () => this.sendPiece(run, pieces),
      PIECE_INTERVAL_MILLISECONDS / this.speed,
    );
    response.once('close', () => this.endStream(run));
  }

  private sendPiece(run: StreamRun, pieces: number): void {
    if (this.mode === ReplicaMode.Silent) {
      return;
    }
    if (run.sentPieces < pieces) {
      run.response.write(
        answers.pieceEvent(run.attempt, ++run.sentPieces, this.version),
      );
      return;
    }
    run.response.end(answers.endEvent(run.attempt, pieces, this.version));
    this.endStream(run);
  }

  private endStream(run: StreamRun): void {
    clearInterval(run.timer);
    if (this.streams.get(run.attempt) === run) {
      this.streams.delete(run.attempt);
    }
  }

  private copy(response: http.ServerResponse, order: CopyOrder): void {
    const run = this.streams.get(order.id);
    if (run === undefined) {
      return sendJson(response, 404, {});
    }
    const handle = `${this.id}-${order.id}-${run.sentPieces}`;
    this.copies.set(handle, {attempt: run.attempt, sentPieces: run.sentPieces});
    sendJson(response, 200, {kvHandle: handle, created: run.sentPieces});
    if (order.last === true) {
      this.endStream(run);
      run.response.destroy();
    }
  }
}

interface CopyOrder {
  readonly id: string;
  readonly last?: boolean;
}

function answerHeaders(
  attempt: string,
  replica: string,
): Readonly<Record<string, string>> {
  return {
    'X-Rhubarbvane-Attempt-Id': attempt,
    'X-Rhubarbvane-Server-Stamp': replica,
  };
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}
