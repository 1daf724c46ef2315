/**
 * A small deployment on loopback addresses: gateways as the deploy file starts
 * them, and stand-ins of the platform (store, settings, restarts, memory limit),
 * of replicas and of clients. They do what the pages in
 * given/kit/more/system say, and nothing that a page rules out.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as crypto from 'node:crypto';
import {fileURLToPath} from 'node:url';

export const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);
export const IS_TROUBLED = process.env.TROUBLE !== '0';
export const HOST = 'ficu95.example';
export const delay = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** Bounds and limits of the site ruhunu-coast. */
export const SITE = {
  contactMs: 3000,
  drainMs: 2000,
  graceS: 8,
  configApplyMs: 2000,
  heartbeatMs: 1200,
  ramMb: 200,
};

/** What was sent, answered and run, with times in milliseconds since the start. */
export class Record {
  constructor(file) {
    this.file = fs.openSync(file, 'w');
    this.startedAt = performance.now();
  }

  now() {
    return performance.now() - this.startedAt;
  }

  write(event, fields = {}) {
    const parts = Object.entries(fields).map(([name, value]) => {
      return `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`;
    });
    const time = (this.now() / 1000).toFixed(3).padStart(8);
    fs.writeSync(this.file, `${time} ${event} ${parts.join(' ')}\n`);
  }
}

/** A loopback network of its own, with a free port on each address. */
const network = `127.${20 + (process.pid % 200)}.${crypto.randomInt(1, 250)}`;
let lastHost = 10;
export function newAddress() {
  return `${network}.${++lastHost}`;
}

export async function freePort(ip) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** The platform's store: objects, lists, watches, conditional writes, and drills. */
export class Store {
  constructor(record) {
    this.record = record;
    this.era = 1;
    this.revision = 100;
    this.objects = new Map();
    this.events = [];
    this.watches = new Set();
    this.isDown = false;
    this.compacted = 0;
    this.sockets = new Set();
    this.server = http.createServer((request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      if (this.isDown) {
        socket.destroy();
      }
    });
  }

  async listen() {
    this.ip = newAddress();
    this.port = await freePort(this.ip);
    await new Promise(resolve => this.server.listen(this.port, this.ip, resolve));
    this.address = `${this.ip}:${this.port}`;
  }

  kind(kind) {
    if (!this.objects.has(kind)) {
      this.objects.set(kind, new Map());
    }
    return this.objects.get(kind);
  }

  /** Writes an object as operator or replica; without effect if nothing changes. */
  put(kind, name, spec, who = 'operator') {
    const known = this.kind(kind).get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }
    const revision = ++this.revision;
    const meta = {
      name,
      revision,
      created: known?.meta.created ?? revision,
      finalizers: known?.meta.finalizers ?? [],
      terminating: false,
    };
    const object = {meta, spec, status: known?.status ?? null};
    this.kind(kind).set(name, object);
    this.publish({kind, revision, object, deleted: false});
    this.record.write('store-put', {who, kind, name, revision, state: spec?.state});
    return object;
  }

  remove(kind, name, who = 'operator') {
    const object = this.kind(kind).get(name);
    if (object !== undefined) {
      this.kind(kind).delete(name);
      const revision = ++this.revision;
      this.publish({kind, revision, object, deleted: true});
      this.record.write('store-remove', {who, kind, name, revision});
    }
  }

  publish(event) {
    this.events.push(event);
    [...this.watches]
      .filter(watch => watch.kind === event.kind)
      .forEach(watch => watch.finish());
  }

  /** A copy of all that the store holds now. */
  copy() {
    return {
      revision: this.revision,
      objects: new Map(
        [...this.objects].map(([kind, objects]) => [kind, new Map(objects)]),
      ),
    };
  }

  /** Goes away; all connections end. */
  goDown() {
    this.isDown = true;
    this.record.write('store-down');
    this.watches.clear();
    this.sockets.forEach(socket => socket.destroy());
  }

  /** Comes back from a copy: revisions go back, the era rises by one. */
  comeBack(copy) {
    const before = this.revision;
    if (copy !== undefined) {
      this.revision = copy.revision;
      this.objects = copy.objects;
      this.events = this.events.filter(each => each.revision <= copy.revision);
      this.era++;
    }
    this.isDown = false;
    this.record.write('store-back', {
      era: this.era,
      revision_before: before,
      revision: this.revision,
    });
  }

  handle(request, response) {
    response.setHeader('Store-Era', String(this.era));
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const [, , kind, name, sub] = url.pathname.split('/');
      const decoded = name === undefined ? undefined : decodeURIComponent(name);
      setTimeout(() => {
        if (request.method === 'GET') {
          this.read(kind, decoded, url, response);
        } else {
          const text = Buffer.concat(chunks).toString();
          const body = text === '' ? undefined : JSON.parse(text);
          this.change(request.method, kind, decoded, sub, body, url, response);
        }
      }, 4);
    });
  }

  read(kind, name, url, response) {
    const objects = this.kind(kind);
    if (name !== undefined) {
      const object = objects.get(name);
      return object === undefined
        ? send(response, 404, {})
        : send(response, 200, object);
    }
    const since = url.searchParams.get('watch');
    if (since !== null) {
      return this.watch(kind, Number(since), url, response);
    }
    const after = url.searchParams.get('sinceRev') ?? '';
    const rest = [...objects.values()]
      .filter(each => each.meta.name > after)
      .sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1));
    send(response, 200, {
      entries: rest.slice(0, 500),
      hasMore: rest.length > 500,
      at: this.revision,
    });
  }

  watch(kind, since, url, response) {
    // "A 410 response means that this history is gone"; "a watch from one that it doesn't have gets 410".
    if (since > this.revision || since < this.compacted) {
      this.record.write('store-watch-410', {kind, since, revision: this.revision});
      return send(response, 410, {});
    }
    const changes = () =>
      this.events.filter(each => each.kind === kind && each.revision > since);
    const watch = {kind, finish: () => undefined};
    const timer = setTimeout(
      () => watch.finish(),
      Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0)),
    );
    watch.finish = () => {
      clearTimeout(timer);
      this.watches.delete(watch);
      const events = changes().map(({object, deleted}) => ({object, deleted}));
      send(response, 200, {events, at: this.revision});
    };
    response.once('close', () => {
      clearTimeout(timer);
      this.watches.delete(watch);
    });
    if (changes().length > 0) {
      return watch.finish();
    }
    this.watches.add(watch);
  }

  change(method, kind, nameInPath, sub, body, url, response) {
    const name = nameInPath ?? body?.meta?.name;
    const current = this.kind(kind).get(name);
    if (method === 'POST') {
      return current === undefined
        ? send(response, 200, this.put(kind, name, body.spec, 'system'))
        : send(response, 409, current);
    }
    if (current === undefined) {
      return send(response, 404, {});
    }
    const revision = body?.meta?.revision ?? url.searchParams.get('revision');
    if (revision != null && Number(revision) !== current.meta.revision) {
      return send(response, 409, current);
    }
    if (method === 'DELETE') {
      this.remove(kind, name, 'system');
      return send(response, 200, current);
    }
    send(
      response,
      200,
      sub === 'status' ? current : this.put(kind, name, body.spec, 'system'),
    );
  }

  close() {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }
}

function send(response, status, value) {
  if (!response.destroyed) {
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(value));
  }
}

/** A replica. `answer` serves requests that it runs. */
export class Replica {
  constructor(record, store, fields, answer) {
    Object.assign(this, {record, store, fields, answer});
    this.id = `i-${crypto.randomBytes(5).toString('hex')}`;
    this.born = Date.now();
    this.state = 'ready';
    this.seq = 0;
    this.arrivals = [];
    this.isLeaving = false;
    this.server = http.createServer((request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 5_000;
    this.sockets = new Set();
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  async start() {
    this.ip = newAddress();
    this.port = await freePort(this.ip);
    this.address = `${this.ip}:${this.port}`;
    await new Promise(resolve => this.server.listen(this.port, this.ip, resolve));
    this.register();
    this.beats = setInterval(() => this.register(), SITE.heartbeatMs);
  }

  /** Writes its entry; the entry changes when more than `seq` does. */
  register() {
    if (this.store.isDown || this.state === 'gone') {
      return;
    }
    const {service, zone, slots, version = 'v1'} = this.fields;
    this.store.put(
      'servers',
      this.id,
      {
        service,
        address: this.address,
        zone,
        version,
        slots,
        state: this.state,
        warmLeftMs: 0,
        born: this.born,
      },
      this.id,
    );
  }

  /** Reports that it is draining, and goes on serving. */
  drain() {
    this.isLeaving = true;
    this.state = 'draining';
    this.register();
    this.drainConfirmedAt = this.record.now();
    this.record.write('drain-confirmed', {replica: this.id});
  }

  handle(request, response) {
    const {headers, method, url} = request;
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      if (this.isLeaving) {
        response.setHeader('Server-Leaving', '1');
      }
      response.setHeader('X-Rhubarbvane-Replica-Id', this.id);
      const body = Buffer.concat(chunks).toString();
      if (this.control?.(request, response, body, this)) {
        return;
      }
      if (method === 'GET' && url === '/healthz') {
        return response.writeHead(this.isLeaving ? 503 : 200).end();
      }
      if (method === 'GET' && url === '/report') {
        return send(response, 200, {
          phase: 'mixed',
          models: [{name: 'm', version: 1, adapters: []}],
          busy: false,
          seq: 1,
          born: this.born,
          queued: 0,
          active: 0,
          kvInUse: 0,
          kvSize: 34_000,
          kvHandles: 0,
          state: this.state,
          runs: [],
        });
      }
      const expected = headers['x-rhubarbvane-expect-replica'];
      const attempt = headers['x-rhubarbvane-attempt-id'];
      if (expected !== undefined && expected !== this.id) {
        return response.writeHead(421, {'X-Rhubarbvane-Attempt-Id': attempt}).end();
      }
      const arrival = {
        at: this.record.now(),
        attempt,
        method,
        url,
        headers,
        body,
      };
      this.arrivals.push(arrival);
      this.record.write('run', {replica: this.id, attempt, url});
      response.setHeader('X-Rhubarbvane-Attempt-Id', attempt);
      response.setHeader(
        'X-Rhubarbvane-Server-Stamp',
        `${this.id}.${attempt}`,
      );
      this.answer(arrival, response, this);
    });
  }

  /** Ends all connections with a reset and says nothing more; its entry lapses after three intervals. */
  crash() {
    clearInterval(this.beats);
    this.state = 'gone';
    const {id} = this;
    this.sockets.forEach(socket => socket.resetAndDestroy());
    this.server.close();
    setTimeout(() => this.store.remove('servers', id, 'platform'), 3 * SITE.heartbeatMs);
  }

  /** Starts again at its address: a new lifetime with a new id. */
  async comeBack() {
    if (this.isClosed) {
      return;
    }
    this.id = `i-${crypto.randomBytes(5).toString('hex')}`;
    this.born = Date.now();
    this.state = 'ready';
    this.isLeaving = false;
    await new Promise(resolve => this.server.listen(this.port, this.ip, resolve));
    this.register();
    this.beats = setInterval(() => this.register(), SITE.heartbeatMs);
  }

  close() {
    this.isClosed = true;
    clearInterval(this.beats);
    this.state = 'gone';
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** The settings that the platform fills into the template of the deploy file. */
function render(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = name
      .split('.')
      .reduce((at, part) => at?.[part], fields);
    if (json) {
      return JSON.stringify(value ?? null);
    }
    if (value === undefined || value === null) {
      return '';
    }
    return Array.isArray(value) ? value.join(',') : String(value);
  });
}

const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
const COMMAND = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
const TEMPLATE = path.join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]);

/** A gateway process with the platform around it: settings, restarts, memory limit. */
export class Gateway {
  constructor(record, fields) {
    Object.assign(this, {record, fields});
    this.name = fields.nameOfMachine;
    this.starts = 0;
    this.isStopping = false;
    this.ends = [];
    this.peakMb = 0;
  }

  start() {
    const {fields} = this;
    const isFirst = this.starts++ === 0;
    const ports = fields.ports;
    const text = render(fs.readFileSync(TEMPLATE, 'utf8'), {
      nodeName: this.name,
      zone: fields.zone,
      zones: fields.zones,
      ip: fields.ip,
      bootstrap: isFirst,
      limits: {linkMbps: 1000, ramMb: SITE.ramMb},
      listen: {
        front: `${fields.ip}:${ports.front}`,
        readyAddr: `${fields.ip}:${ports.ready}`,
        ctl: `${fields.ip}:${ports.ctl}`,
      },
      seeds: fields.seeds,
      portRange: [ports.digest],
      platform: {address: fields.store},
      bounds: {graceS: SITE.graceS, retryWindowS: 10, retryRatio: 0.2, retrySlack: 54},
    });
    fs.writeFileSync(fields.settingsFile, text);
    const log = fs.openSync(fields.logFile, 'a');
    this.child = childProcess.spawn(process.execPath, COMMAND.slice(1), {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {PATH: process.env.PATH, RHUBARBVANE_NODE_FILE: fields.settingsFile},
    });
    fs.closeSync(log);
    this.record.write('gateway-start', {gateway: this.name, pid: this.child.pid});
    this.child.once('exit', (code, signal) => {
      const why = this.expected ?? (signal ?? `exit ${code}`);
      this.ends.push({at: this.record.now(), why});
      this.record.write('gateway-end', {gateway: this.name, why});
      this.expected = undefined;
      this.child = undefined;
      if (!this.isStopping) {
        setTimeout(() => !this.isStopping && this.start(), 500);
      }
    });
  }

  /** "A process that exceeds `ramMb` is killed." */
  checkMemory() {
    if (this.child === undefined) {
      return;
    }
    try {
      const status = fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      const megabytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
      this.peakMb = Math.max(this.peakMb, megabytes);
      if (megabytes > SITE.ramMb && this.expected === undefined) {
        this.expected = `memory over the limit (${Math.round(megabytes)} MB)`;
        this.record.write('gateway-memory', {gateway: this.name, mb: Math.round(megabytes)});
        this.child.kill('SIGKILL');
      }
    } catch {
      // The process has just ended.
    }
  }

  signal(signal, why) {
    this.record.write('signal', {gateway: this.name, signal, why});
    if (signal === 'SIGKILL') {
      this.expected = why;
    }
    this.child?.kill(signal);
  }

  get front() {
    return {host: this.fields.ip, port: this.fields.ports.front};
  }

  async isReady() {
    return new Promise(resolve => {
      const request = http.get(
        {host: this.fields.ip, port: this.fields.ports.ready, path: '/readyz', timeout: 500},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.once('error', () => resolve(false));
      request.once('timeout', () => request.destroy());
    });
  }

  async whenReady(limit = 15_000) {
    const end = performance.now() + limit;
    while (performance.now() < end) {
      if (await this.isReady()) {
        return true;
      }
      await delay(50);
    }
    return false;
  }

  async stop() {
    this.isStopping = true;
    const {child} = this;
    if (child !== undefined) {
      child.kill('SIGKILL');
      await new Promise(resolve => child.once('exit', resolve));
    }
  }
}

/** All parts of one deployment. */
export class Bed {
  constructor(folder) {
    this.record = new Record(path.join(folder, 'record.txt'));
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.store = new Store(this.record);
    this.replicas = [];
    this.gateways = [];
    this.zones = {galle: 'south-coast', matara: 'south-coast', hambantota: 'south-coast'};
    this.timers = [];
    ['SIGINT', 'SIGTERM'].forEach(each => process.once(each, () => process.exit(2)));
    process.once('exit', () => {
      this.gateways.forEach(each => each.child?.kill('SIGKILL'));
      fs.rmSync(this.folder, {recursive: true, force: true});
    });
  }

  async addReplica(service, zone, slots, answer, fields = {}) {
    const replica = new Replica(
      this.record,
      this.store,
      {service, zone, slots, ...fields},
      answer,
    );
    await replica.start();
    this.replicas.push(replica);
    return replica;
  }

  async startGateways(count) {
    const zones = Object.keys(this.zones);
    const ips = Array.from({length: count}, newAddress);
    const ports = {
      front: await freePort(ips[0]),
      ready: await freePort(ips[0]),
      ctl: await freePort(ips[0]),
      digest: await freePort(ips[0]),
    };
    const seeds = ips.slice(0, 3).map(ip => `${ip}:${ports.ctl}`);
    ips.forEach((ip, index) => {
      const name = `edge-${index + 1}`;
      const gateway = new Gateway(this.record, {
        nameOfMachine: name,
        ip,
        ports,
        seeds,
        zone: zones[index % zones.length],
        zones: this.zones,
        store: this.store.address,
        settingsFile: path.join(this.folder, `${name}.ini`),
        logFile: path.join(process.env.REVIEW_LOGS ?? this.folder, `${name}.log`),
      });
      this.gateways.push(gateway);
      gateway.start();
    });
    this.timers.push(
      setInterval(() => this.gateways.forEach(each => each.checkMemory()), 50),
    );
    const ready = await Promise.all(this.gateways.map(each => each.whenReady()));
    if (!ready.every(Boolean)) {
      throw new Error('a gateway did not become ready');
    }
  }

  async stop() {
    this.timers.forEach(clearInterval);
    await Promise.all(this.gateways.map(each => each.stop()));
    this.replicas.forEach(each => each.close());
    this.store.close();
  }
}

/** A desired state like those of the site. */
export function desiredState(version, overrides = {}) {
  return {
    version,
    routes: [
      {name: 'r-draft', hostname: HOST, pathPrefix: '/draft/', type: 'streaming', timeoutMs: 39_000, sloMs: 1_800, priority: 1, service: 'writers', attempts: 1, public: false, affinity: true, resumable: false, itlTargetMs: 180},
      {name: 'r-tag', hostname: HOST, pathPrefix: '/tag/', type: 'streaming', timeoutMs: 6_000, sloMs: 1_500, priority: 0, service: 'writers', attempts: 2, public: false, affinity: true, resumable: true, itlTargetMs: 180},
      {name: 'r-file', hostname: HOST, pathPrefix: '/file/', type: 'non_idempotent', timeoutMs: 1_000, sloMs: 121, priority: 2, service: 'ledger', attempts: 1, public: false},
      {name: 'r-read', hostname: HOST, pathPrefix: '/read/', type: 'idempotent', timeoutMs: 1_000, sloMs: 121, priority: 2, service: 'ledger', attempts: 2, public: false},
      ...(overrides.routes ?? []),
    ],
    services: [
      {name: 'writers', healthPath: '/healthz', maxConns: 272, protocol: 'h1', tls: false, runtime: {...{slots: 24, kvCap: 34_286, kvBytes: 35_136, linkMbps: 5_100, moves: true, backups: true, stride: 4, most: 12, pinMs: 4_000, holdMs: 2_000, handleTtlS: 5, models: [{name: 'm'}]}, ...overrides.runtime}},
      {name: 'ledger', healthPath: '/healthz', maxConns: 100, protocol: 'h1', tls: false},
    ],
    limits: {maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000},
    tenants: overrides.tenants ?? [{name: 'huka270', apiKeys: ['xd9dnn2ctnfzs989anu6'], priority: 1}],
  };
}

export function newAttemptId() {
  return crypto.randomBytes(8).toString('hex');
}

/**
 * Sends one request of a client and returns how it ended. `agent` keeps
 * connections open; without one the connection is new.
 */
export function request(record, gateway, options) {
  const attempt = options.attempt ?? newAttemptId();
  const startedAt = record.now();
  const waitMs = options.waitMs ?? 1_000;
  record.write('send', {attempt, gateway: gateway.name, url: options.path});
  return new Promise(resolve => {
    let sent;
    const result = {attempt, gateway: gateway.name, startedAt, url: options.path, text: '', bytes: 0};
    const finish = end => {
      clearTimeout(timer);
      Object.assign(result, {end, endedAt: record.now()});
      record.write('end', {attempt, status: result.status, end, kept: result.isKept === true, ms: Math.round(result.endedAt - startedAt)});
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish('client gave up');
      sent.destroy();
    }, waitMs + (options.slackMs ?? 500));
    sent = http.request(
      {
        ...gateway.front,
        agent: options.agent ?? false,
        method: options.method ?? 'POST',
        path: options.path,
        headers: {
          Host: HOST,
          'X-Rhubarbvane-Attempt-Id': attempt,
          'X-Rhubarbvane-Deadline-Ms': String(waitMs),
          Authorization: `Bearer ${options.key ?? 'xd9dnn2ctnfzs989anu6'}`,
          ...options.headers,
        },
      },
      response => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.on('data', chunk => {
          result.bytes += chunk.length;
          if (result.text.length < 100_000) {
            result.text += chunk.toString('latin1');
          }
        });
        response.once('end', () => finish('whole'));
        response.once('error', () => finish('cut off'));
      },
    );
    sent.once('socket', () => (result.isKept = sent.reusedSocket));
    sent.once('error', error => result.end === undefined && finish(`closed (${error.code})`));
    sent.end(options.body ?? (options.method === 'GET' ? undefined : 'body'));
  });
}

/** Runs a case and ends with the exit status that the issue asks for. */
export async function runCase(folder, body) {
  const bed = new Bed(folder);
  const limit = setTimeout(() => {
    bed.record.write('verdict', {result: 'could not run: out of time'});
    process.exit(2);
  }, 115_000);
  let status = 2;
  try {
    await bed.store.listen();
    const broken = await body(bed);
    bed.record.write('verdict', {trouble: IS_TROUBLED, broken: broken ?? 'held'});
    console.log(broken === undefined ? 'held' : `broken: ${broken}`);
    status = broken === undefined ? 0 : 1;
  } catch (error) {
    bed.record.write('verdict', {result: `could not run: ${error.stack}`});
    console.log(String(error.stack));
  }
  clearTimeout(limit);
  await bed.stop();
  process.exit(status);
}
