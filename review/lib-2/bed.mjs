/**
 * A small deployment for the scripts of the second review: the gateway program
 * with the command and the settings template of the deploy file, the project's
 * stand-in of the store, and replicas that follow the pages. Loopback only.
 */
import * as childProcess from 'node:child_process';
import * as dgram from 'node:dgram';
import * as fs from 'node:fs';
import * as http from 'node:http';
import {createRequire} from 'node:module';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';

const require = createRequire(import.meta.url);
export const ROOT = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..');

export const HOST = 'review.example';
export const KEY = 'key-of-the-review';
export const TENANT = 'tenant-of-the-review';
/** Bounds of the sheets that the scripts use. */
export const BOUNDS = {
  drainMs: 2_000,
  contactMs: 3_000,
  graceS: 8,
  configApplyMs: 2_000,
  lossSlackMs: 200,
};

export const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** Time since the script began, in milliseconds. */
export const now = () => Math.round(performance.now());

/** Whether the disruption of the case is left out. */
export const isCalm = process.env.TROUBLE === '0';

/** What was sent, answered and run, in the order in which the script saw it. */
export class Record {
  lines = [];

  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.add(`trouble: ${isCalm ? 'none' : 'as in claim.txt'}`);
  }

  add(text) {
    this.lines.push(`${String(now()).padStart(7)} ms  ${text}`);
  }

  write() {
    fs.writeFileSync(this.file, this.lines.join('\n') + '\n');
  }
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

async function freeDatagramPort(ip) {
  const socket = dgram.createSocket('udp4');
  await new Promise(resolve => socket.bind(0, ip, resolve));
  const {port} = socket.address();
  await new Promise(resolve => socket.close(resolve));
  return port;
}

/** Fills in a settings template as DEPLOY.md tells, as far as the project's template needs it. */
function fillIn(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = name.split('.').reduce((at, part) => at?.[part], fields);
    if (json !== undefined) {
      return JSON.stringify(value);
    }
    return value === undefined ? '' : Array.isArray(value) ? value.join(',') : String(value);
  });
}

/** The settings of the role `gateway` in the deploy file. */
function readRole() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const value = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return {run: value('run').split(' '), template: value('template')};
}

/** One gateway process. */
export class Gateway {
  child;
  exits = 0;

  constructor(bed, name, ip) {
    this.bed = bed;
    this.name = name;
    this.ip = ip;
    this.settingsFile = path.join(bed.folder, `${name}.ini`);
    this.logFile = path.join(bed.folder, `${name}.log`);
  }

  async prepare() {
    this.front = await freePort(this.ip);
    this.ready = await freePort(this.ip);
    this.ctl = await freePort(this.ip);
  }

  writeSettings(bootstrap, changes = {}) {
    const {ip} = this;
    const fields = {
      nodeName: this.name,
      zone: 'galle',
      zones: {galle: 'south-coast'},
      ip,
      bootstrap,
      limits: {ramMb: 200, maxFds: 4_100, linkMbps: 1_000},
      listen: {
        front: `${ip}:${this.front}`,
        readyAddr: `${ip}:${this.ready}`,
        ctl: `${ip}:${this.ctl}`,
      },
      seeds: this.bed.gateways.map(each => `${each.ip}:${each.ctl}`).slice(0, 3),
      portRange: [this.bed.digestPort, this.bed.digestPort + 15],
      platform: {address: this.bed.storeAddress},
      bounds: {
        graceS: BOUNDS.graceS,
        retryWindowS: 10,
        retryRatio: 0.2,
        retrySlack: 54,
      },
      ...changes,
    };
    const {template} = readRole();
    const text = fs.readFileSync(path.join(ROOT, template), 'utf8');
    fs.writeFileSync(this.settingsFile, fillIn(text, fields));
  }

  start(bootstrap = true) {
    this.writeSettings(bootstrap);
    const [program, ...args] = readRole().run;
    const log = fs.openSync(this.logFile, 'a');
    const {PATH, HOME, LANG} = process.env;
    this.child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, RHUBARBVANE_NODE_FILE: this.settingsFile},
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.child.once('exit', (code, signal) => {
      this.exits++;
      this.child = undefined;
      this.bed.record.add(`${this.name}: process ended (${signal ?? `code ${code}`})`);
    });
    this.bed.record.add(`${this.name}: process started`);
  }

  signal(name) {
    this.bed.record.add(`${this.name}: ${name} is sent`);
    this.child?.kill(name);
  }

  isReady() {
    return new Promise(resolve => {
      const request = http.get(
        {host: this.ip, port: this.ready, path: '/readyz', agent: false, timeout: 1_000},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
    });
  }
}

/** The whole deployment. */
export class Bed {
  gateways = [];
  replicas = [];
  cleanups = [];
  version = 0;

  constructor(record) {
    this.record = record;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const {StoreStandin} = require(path.join(ROOT, 'build', 'standins', 'store_standin.js'));
    this.store = new StoreStandin();
    // Other scripts may run at the same time.
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
  }

  async startStore() {
    this.storeAddress = await this.store.listen();
  }

  async startGateways(count) {
    for (let index = 1; index <= count; index++) {
      const gateway = new Gateway(this, `gateway-${index}`, `${this.net}.${10 + index}`);
      await gateway.prepare();
      this.gateways.push(gateway);
    }
    this.digestPort = await freeDatagramPort(this.gateways[0].ip);
    this.gateways.forEach(gateway => gateway.start());
    await this.whenReady();
  }

  async whenReady() {
    const endsAt = performance.now() + 30_000;
    for (;;) {
      const states = await Promise.all(this.gateways.map(each => each.isReady()));
      if (states.every(Boolean)) {
        return;
      }
      if (performance.now() > endsAt) {
        throw new Error('the gateways did not become ready');
      }
      await sleep(100);
    }
  }

  /** Writes the next desired state. */
  configure(routes, services, limits = {}) {
    this.store.put('config', 'main', {
      version: ++this.version,
      routes,
      services,
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
        ...limits,
      },
      tenants: [{name: TENANT, apiKeys: [KEY], priority: 1}],
    });
  }

  async stop() {
    for (const gateway of this.gateways) {
      const {child} = gateway;
      if (child !== undefined) {
        const ended = new Promise(resolve => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await ended;
      }
    }
    this.cleanups.forEach(each => each());
    this.replicas.forEach(each => each.close());
    this.store.close();
    if (process.env.KEEP === undefined) {
      fs.rmSync(this.folder, {recursive: true, force: true});
    } else {
      console.log(this.folder);
    }
  }
}

/** A route, with fields as the sheets have them. */
export function route(pathPrefix, type, service, overrides = {}) {
  return {
    name: `r${pathPrefix.replaceAll('/', '-')}`,
    hostname: HOST,
    pathPrefix,
    type,
    timeoutMs: 5_000,
    sloMs: 1_000,
    priority: 1,
    service,
    attempts: 1,
    public: false,
    ...overrides,
  };
}

/** A service of model engines as `fleetbench wire` shows it. */
export function engineService(name, runtime = {}) {
  return {
    name,
    healthPath: '/healthz',
    maxConns: 272,
    runtime: {
      slots: 24,
      kvCap: 34_286,
      kvBytes: 35_136,
      linkMbps: 5_100,
      moves: true,
      backups: true,
      stride: 4,
      pinMs: 4_000,
      holdMs: 2_000,
      handleTtlS: 5,
      models: [{name: 'm'}],
      ...runtime,
    },
  };
}

export function plainService(name) {
  return {name, healthPath: '/healthz', maxConns: 100};
}

/** Sends one request on a connection of its own; resolves with what the caller saw, never rejects. */
export function call(gateway, options) {
  const {method = 'POST', target, attemptId, body = '', deadlineMs = 5_000, headers = {}, onEvent, timeoutMs = 60_000, agent = false} = options;
  const sentAt = now();
  return new Promise(resolve => {
    const chunks = [];
    const done = outcome => {
      clearTimeout(timer);
      resolve({attemptId, sentAt, endedAt: now(), body: Buffer.concat(chunks).toString(), ...outcome});
    };
    const request = http.request({
      host: gateway.ip,
      port: gateway.front,
      agent,
      method,
      path: target,
      headers: {
        Host: HOST,
        'X-Rhubarbvane-Attempt-Id': attemptId,
        'X-Rhubarbvane-Deadline-Ms': String(deadlineMs),
        Authorization: `Bearer ${KEY}`,
        'Content-Length': Buffer.byteLength(body),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('gave up')), timeoutMs);
    request.on('response', response => {
      const {statusCode: status, headers: answerHeaders} = response;
      response.on('data', chunk => {
        chunks.push(chunk);
        onEvent?.(chunk);
      });
      response.on('end', () => done({status, headers: answerHeaders, isWhole: response.complete}));
      response.on('error', () => done({status, headers: answerHeaders, isWhole: false}));
    });
    request.on('error', error => done({error: error.code ?? error.message, isWhole: false}));
    request.end(body);
  });
}

/** Sends the text on a connection of its own; resolves with what came back until the connection ended, or within the time. */
export function callRaw(gateway, text, timeoutMs = 5_000) {
  return new Promise(resolve => {
    let answer = '';
    const socket = net.connect(gateway.front, gateway.ip);
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.setEncoding('latin1');
    socket.on('data', chunk => {
      answer += chunk;
      if (answer.endsWith('0\r\n\r\n')) {
        socket.end();
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(answer);
    });
    socket.write(text);
  });
}

/** Runs a case: `play` returns the violations; the exit code is 1 if there are any, 2 if the case could not run. */
export async function main(folder, play) {
  const record = new Record(folder);
  const bed = new Bed(record);
  let code = 2;
  for (const name of ['SIGTERM', 'SIGINT']) {
    process.once(name, () => void bed.stop().finally(() => process.exit(2)));
  }
  const limit = setTimeout(() => {
    record.add('the script ran for too long');
    void bed.stop().finally(() => {
      record.write();
      process.exit(2);
    });
  }, 110_000);
  try {
    await bed.startStore();
    const violations = await play(bed, record);
    violations.forEach(each => record.add(`VIOLATION ${each}`));
    record.add(`result: ${violations.length} violations`);
    console.log(`${violations.length} violations`);
    violations.slice(0, 5).forEach(each => console.log(each));
    code = violations.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    console.log(error.stack);
  }
  clearTimeout(limit);
  await bed.stop();
  record.write();
  process.exit(code);
}
