/** Replicas of the soak test: plain services, and engines whose runs can be copied. */
import * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import * as answers from './answers';
import * as copies from './copies';
import * as engine from './engine';
import * as requestHistory from './request_history';
import * as runRules from './run_rules';

const {RunOrigin} = runRules;

const PLAIN_ANSWER_MILLISECONDS = 10;
/** Times after which a connection is reset in place of the answer of a stream, in turn, in milliseconds. */
const LOSS_MILLISECONDS = [0, 0, 150, 400];

/** Heads of late answers of the request before, in turn. */
const LATE_HEADS = [
  ['HTTP/1.1 200 OK', 'X-Rhubarbvane-Server-Stamp: x'],
  ['HTTP/1.1 503 Service Unavailable', 'X-Rhubarbvane-Not-Executed: 1'],
  ['HTTP/1.1 421 Misdirected Request', 'X-Rhubarbvane-Not-Executed: 1'],
];
/** Heads of late answers that do not name their request, in turn. */
const LATE_REFUSAL_HEADS = LATE_HEADS.slice(1);

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
  /** Sends another answer late, where the answer to the next request on the connection is expected; it names the request before. */
  LateAnswers = 'late',
  /** Sends a refusal there that names no request. */
  LateRefusals = 'late refusals',
  /** Sends streams without length or chunks. */
  Unframed = 'unframed',
  /** Makes the events of its streams and does not deliver them. */
  Stalling = 'stalling',
}

/** Serves requests of gateways over HTTP. */
export class Replica {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly dataCentre: string;
  /** Requests a second that the replica names as its limit; undefined to name none. */
  limit: number | undefined;
  /** Share of requests that run and whose answers are lost. */
  lossShare = 0;
  state = 'ready';
  address = '';
  readonly engine: engine.Engine;
  private currentMode = ReplicaMode.Normal;
  private endUnreachable: ((at: number) => void) | undefined;
  private lossCount = 0;
  private lateCount = 0;
  private rejectCount = 0;
  /** Attempts of the last requests on connections. */
  private readonly lastAttempts = new WeakMap<net.Socket, string>();
  private port = 0;
  private readonly server = http.createServer((request, response) =>
    this.receive(request, response),
  );

  constructor(
    private readonly profile: engine.ReplicaProfile,
    private readonly history: requestHistory.RequestHistory,
    findCopies: copies.CopyStoreFinder,
  ) {
    this.engine = new engine.Engine(profile, history, findCopies);
    this.id = profile.id;
    this.service = profile.service;
    this.version = profile.version;
    this.dataCentre = profile.dataCentre;
  }

  get mode(): ReplicaMode {
    return this.currentMode;
  }

  set mode(mode: ReplicaMode) {
    this.endUnreachable?.(performance.now());
    this.endUnreachable =
      mode === ReplicaMode.Silent
        ? this.history.runRules.beginUnreachable(this.id, performance.now())
        : undefined;
    this.currentMode = mode;
  }

  /** Memory for copies, as other replicas reach it; undefined if they do not. */
  get reachableCopies(): copies.CopyStore | undefined {
    const isReachable =
      this.server.listening && this.mode !== ReplicaMode.Silent;
    return isReachable ? this.engine.copies : undefined;
  }

  /** Starts, or starts again after a crash, with nothing in memory. */
  async start(): Promise<void> {
    this.engine.start();
    await this.listen().catch(() => {
      // Another process has taken the port since the crash.
      this.port = 0;
      return this.listen();
    });
    this.port = (this.server.address() as net.AddressInfo).port;
    this.address = `127.0.0.1:${this.port}`;
  }

  /** Closes all connections at once, as a crash does. */
  crash(): void {
    this.engine.crash();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async listen(): Promise<void> {
    this.server.listen(this.port, '127.0.0.1');
    await events.once(this.server, 'listening');
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
    if (attempt !== undefined) {
      this.history.calls.recordArrival(String(attempt), this.id);
    }
    if (attempt !== undefined && headers['kv-from'] === undefined) {
      this.recordArrival(String(attempt));
    }
    if (this.mode === ReplicaMode.Silent) {
      return;
    }
    if (url === '/report') {
      const {state} = this;
      return sendJson(response, 200, {state, ...this.engine.report()});
    }
    if (url === '/kv-move') {
      const order = JSON.parse(body) as engine.MoveOrder;
      return void this.engine
        .move(order, this.address)
        .then(({status, ...answer}) => sendJson(response, status, answer));
    }
    if (url.startsWith('/kv-handle/')) {
      this.engine.copies.free(url.slice('/kv-handle/'.length));
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
      return this.reject(
        isMisaddressed ? 421 : 503,
        attempt,
        headers,
        response,
      );
    }
    if (this.mode === ReplicaMode.Resetting) {
      response.socket?.resetAndDestroy();
      return;
    }
    this.sendLateAnswer(attempt, response.socket!);
    if (this.service === 'writers') {
      return this.stream(attempt, headers, response, body);
    }
    this.history.recordRun(attempt, this.id, performance.now(), RunOrigin.New);
    if (this.losesNext()) {
      response.socket?.destroy();
      return;
    }
    setTimeout(
      () => this.answerPlain(attempt, response),
      PLAIN_ANSWER_MILLISECONDS / this.profile.speed,
    );
  }

  /** Whether the answer of the next run is lost. */
  private losesNext(): boolean {
    const share = this.mode === ReplicaMode.LosingAnswers ? 1 : this.lossShare;
    const count = this.lossCount++;
    return Math.floor((count + 1) * share) > Math.floor(count * share);
  }

  private sendLateAnswer(attempt: string, socket: net.Socket): void {
    const lastAttempt = this.lastAttempts.get(socket);
    this.lastAttempts.set(socket, attempt);
    if (lastAttempt === undefined) {
      return;
    }
    const index = this.lateCount++;
    const lines = ['Content-Length: 0', '', ''];
    if (this.mode === ReplicaMode.LateAnswers) {
      const head = LATE_HEADS[index % LATE_HEADS.length];
      lines.unshift(...head, `X-Rhubarbvane-Attempt-Id: ${lastAttempt}`);
      socket.write(lines.join('\r\n'));
    } else if (this.mode === ReplicaMode.LateRefusals) {
      lines.unshift(...LATE_REFUSAL_HEADS[index % LATE_REFUSAL_HEADS.length]);
      socket.write(lines.join('\r\n'));
    }
  }

  private recordArrival(attempt: string): void {
    const {budget} = this.history;
    budget.recordArrival(this.service, attempt, performance.now());
  }

  private reject(
    status: number,
    attempt: string,
    headers: http.IncomingHttpHeaders,
    response: http.ServerResponse,
  ): void {
    if (headers['kv-from'] !== undefined) {
      this.recordArrival(attempt);
    }
    // Refusals are valid with and without the attempt id.
    if (this.rejectCount++ % 2 === 0) {
      response.setHeader('X-Rhubarbvane-Attempt-Id', attempt);
    }
    response.writeHead(status, {'X-Rhubarbvane-Not-Executed': '1'});
    response.end();
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
      from === undefined ? undefined : this.engine.copies.take(String(from));
    const isAnswerLost = this.losesNext();
    const hasNoCopy = from !== undefined && copy === undefined;
    if (hasNoCopy && !isAnswerLost) {
      return this.reject(503, attempt, headers, response);
    }
    if (hasNoCopy) {
      // It runs the request although there is no copy, and tells nobody.
      this.recordArrival(attempt);
    }
    const backup = headers['x-rhubarbvane-kv-backup'];
    this.engine.run({
      attempt,
      copy,
      backupAddress: backup === undefined ? undefined : String(backup),
      lastPiece: Number(headers['last-event-id'] ?? 0),
      pieces: Number(body) || Infinity,
      response,
      headers: answerHeaders(attempt, this.id),
      isUnframed: this.mode === ReplicaMode.Unframed,
      lossMilliseconds: isAnswerLost
        ? LOSS_MILLISECONDS[this.lossCount % LOSS_MILLISECONDS.length]
        : undefined,
      isPaused: () => this.mode === ReplicaMode.Silent,
      isStalled: () => this.mode === ReplicaMode.Stalling,
    });
  }
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
