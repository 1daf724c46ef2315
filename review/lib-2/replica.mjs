/**
 * A replica as the pages describe it: registers in the store, streams events,
 * reports, and stops and copies runs. It does not check the time budget, and
 * keeps copies of runs as the number of events made.
 */
import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as path from 'node:path';
import * as readline from 'node:readline';
import {fileURLToPath} from 'node:url';
import {now} from './bed.mjs';

const PIECE_MILLISECONDS = 40;
/** Backups are sent several times a second. */
const PIECES_PER_BACKUP = 5;
const COPY_PATH = '/stand-in/copy';

export class Replica {
  /** Runs by attempt id. */
  runs = new Map();
  /** Copies by handle or attempt id. */
  copies = new Map();
  /** Arrivals of callers' requests. */
  arrivals = [];
  state = 'ready';
  isUnframed = false;
  sockets = new Set();
  handles = 0;
  copyAgent = new http.Agent({keepAlive: true, maxSockets: 4});
  born = Date.now();

  /**
   * @param options `id`, `service`, `ip`, `workMs` of plain requests, `pieces` of streams.
   */
  constructor(bed, options) {
    this.bed = bed;
    this.options = {workMs: 20, pieces: 100, pieceMs: PIECE_MILLISECONDS, version: 'v1', kvSize: 34_286, ...options};
    this.server = http.createServer({keepAliveTimeout: 5_000}, (request, response) => this.handle(request, response));
    // Takes as many headers as the caller sends.
    this.server.maxHeadersCount = 0;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  get id() {
    return this.options.id;
  }

  async listen() {
    const {ip} = this.options;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, ip, resolve);
    });
    /** Where the replica itself listens; the registration may name a relay. */
    this.ownAddress = `${ip}:${this.server.address().port}`;
    this.address ??= this.ownAddress;
  }

  register(seq = 1) {
    this.bed.store.put('servers', this.id, {...registration(this.options, this), seq});
  }

  close() {
    this.copyAgent.destroy();
    this.server.close();
    this.sockets.forEach(socket => socket.resetAndDestroy());
    this.runs.forEach(run => clearInterval(run.timer));
  }

  log(text) {
    this.bed.record.add(`${this.id}: ${text}`);
  }

  handle(request, response) {
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      const {url, method, headers} = request;
      const expected = headers['x-rhubarbvane-expect-replica'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'X-Rhubarbvane-Replica-Id': this.id}).end();
        return;
      }
      if (url === '/report') {
        return this.report(response);
      }
      if (url === '/kv-move' && method === 'POST') {
        return this.move(JSON.parse(body.toString()), response);
      }
      if (url === COPY_PATH) {
        const {handle, made} = JSON.parse(body.toString());
        this.copies.set(handle, made);
        return sendJson(response, 200, {});
      }
      if (url.startsWith('/kv-handle/')) {
        this.copies.delete(decodeURIComponent(url.slice('/kv-handle/'.length)));
        return sendJson(response, 200, {});
      }
      if (url === '/healthz') {
        response.writeHead(200, {'X-Rhubarbvane-Replica-Id': this.id}).end();
        return;
      }
      this.serve(request, body, response);
    });
  }

  serve(request, body, response) {
    const {headers, method, url} = request;
    const attemptId = headers['x-rhubarbvane-attempt-id'];
    const arrival = {attemptId, at: now(), method, url, headers, rawHeaders: request.rawHeaders, body: body.toString()};
    this.arrivals.push(arrival);
    this.onArrival?.(arrival);
    const isStream = headers['x-rhubarbvane-token-count'] !== undefined;
    if (isStream) {
      return this.stream(arrival, response);
    }
    this.log(`runs ${attemptId} (${method} ${url})`);
    const timer = setTimeout(() => {
      arrival.endedAt = now();
      response.writeHead(200, this.headers(attemptId));
      response.end(`done by ${this.id}: ${attemptId}`);
    }, this.options.workMs);
    response.once('close', () => {
      if (!response.writableEnded) {
        arrival.brokenAt = now();
        this.log(`run of ${attemptId} ends: its connection closed`);
      }
      clearTimeout(timer);
    });
  }

  headers(attemptId) {
    return {
      ...(attemptId === undefined ? {} : {'X-Rhubarbvane-Attempt-Id': attemptId}),
      'X-Rhubarbvane-Server-Stamp': `stamp.${this.id}`,
      ...this.extraHeaders,
    };
  }

  /** Streams the pieces of a request, from the beginning, after `Last-Event-Id`, or from a copy. */
  stream(arrival, response) {
    const {attemptId, headers} = arrival;
    const from = headers['kv-from'];
    const last = Number(headers['last-event-id'] ?? 0);
    if (from !== undefined) {
      const handle = from.slice(from.indexOf('/') + 1);
      if (!this.copies.delete(handle)) {
        response.writeHead(503, {'X-Rhubarbvane-Not-Executed': '1', 'X-Rhubarbvane-Attempt-Id': attemptId}).end();
        return;
      }
    }
    this.log(`runs ${attemptId} from piece ${last + 1}${from === undefined ? '' : ' on from a copy'}`);
    arrival.isRun = true;
    const run = {attemptId, made: last, response, arrival, backup: headers['x-rhubarbvane-kv-backup']};
    this.runs.set(attemptId, run);
    const head = {...this.headers(attemptId), 'Content-Type': 'text/event-stream'};
    if (this.isUnframed) {
      // Neither a length nor chunks: the answer ends with its connection.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      head.Connection = 'close';
    }
    response.writeHead(200, head);
    if (this.isUnframed) {
      response.chunkedEncoding = false;
    }
    run.timer = setInterval(() => this.makePiece(run), this.options.pieceMs);
    response.once('close', () => this.endRun(run, 'its connection closed'));
  }

  makePiece(run) {
    run.made++;
    const {attemptId, made} = run;
    run.response.write(`id: ${made}\ndata: piece ${made} of ${attemptId}\n\n`);
    if (run.backup !== undefined && made % PIECES_PER_BACKUP === 0) {
      this.sendCopy(run.backup, attemptId, made);
    }
    if (made >= this.options.pieces) {
      this.endRun(run, 'it is complete');
      run.arrival.isComplete = true;
      run.response.end();
    }
  }

  endRun(run, why) {
    if (this.runs.get(run.attemptId) !== run) {
      return;
    }
    clearInterval(run.timer);
    this.runs.delete(run.attemptId);
    run.arrival.endedAt = now();
    this.log(`run of ${run.attemptId} ends after piece ${run.made}: ${why}`);
  }

  /** Copies a run; with `last` it stops first, and its stream is closed without its end. */
  move({id, target, last}, response) {
    const run = this.runs.get(id);
    this.log(`/kv-move of ${id}${last ? ' with last' : ''}${run ? '' : ': no such run'}`);
    if (run === undefined) {
      return sendJson(response, 404, {});
    }
    const handle = `${this.id}-${++this.handles}`;
    this.sendCopy(target, handle, run.made);
    if (last) {
      this.endRun(run, 'it was told to stop');
      // Everything written is sent; then the connection closes without the end of the stream.
      run.response.socket?.end();
    }
    sendJson(response, 200, {kvHandle: handle, created: run.made});
  }

  /** Sends a copy of a run's memory to another replica, in a way of the stand-ins' own. */
  sendCopy(address, handle, made) {
    const [host, port] = address.split(':');
    const body = JSON.stringify({handle, made});
    const request = http.request({host, port, method: 'POST', path: COPY_PATH, agent: this.copyAgent, headers: {'Content-Length': body.length}}, response => response.resume());
    request.on('error', () => undefined);
    request.end(body);
  }

  report(response) {
    const runs = [...this.runs.values()].map(({attemptId, made}) => [attemptId, 100 + made * 4, made, 1]);
    const copies = this.copies.size * 3_000;
    sendJson(response, 200, {
      phase: 'mixed',
      models: [{name: 'm', version: 1, adapters: []}],
      busy: false,
      seq: 1,
      queued: 0,
      active: runs.length,
      kvInUse: runs.reduce((sum, run) => sum + run[1], 0) + copies,
      kvSize: this.options.kvSize,
      kvHandles: this.copies.size,
      born: this.born,
      state: this.state,
      runs,
    });
  }
}

function registration({service, version = 'v1'}, {address, state, born}) {
  return {service, address, zone: 'galle', version, slots: 24, state, warmLeftMs: 0, born, seq: 1};
}

/** A replica in a process of its own, so that it can be stopped and continued. */
export class ReplicaProcess {
  state = 'ready';

  constructor(bed, options) {
    this.bed = bed;
    this.options = options;
  }

  get id() {
    return this.options.id;
  }

  async listen() {
    const program = path.join(path.dirname(fileURLToPath(import.meta.url)), 'replica_main.mjs');
    this.child = childProcess.spawn(process.execPath, [program, JSON.stringify(this.options)], {stdio: ['ignore', 'pipe', 'inherit']});
    const started = new Promise(resolve => {
      readline.createInterface({input: this.child.stdout}).on('line', line => {
        if (line.startsWith('{')) {
          Object.assign(this, JSON.parse(line));
          return resolve();
        }
        this.bed.record.add(line);
      });
    });
    await started;
  }

  register() {
    this.bed.store.put('servers', this.id, registration(this.options, this));
  }

  signal(name) {
    this.bed.record.add(`${this.id}: ${name} is sent`);
    this.child.kill(name);
  }

  close() {
    this.child?.kill('SIGCONT');
    this.child?.kill('SIGKILL');
  }
}

function sendJson(response, status, value) {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}

/** Numbers of the pieces in the body of a stream. */
export function piecesOf(body) {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(each => Number(each[1]));
}
