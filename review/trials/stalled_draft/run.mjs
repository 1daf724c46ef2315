/**
 * One of seven model replicas turns slow for 6.5 s: 7.5 times as long for each
 * event and each report. It is one of those replicas that do not drop a request
 * when its connection closes. Does a request go on at another replica while it
 * is still worked on here?
 */
import * as http from 'node:http';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../../lib/bed.mjs';

const {delay} = bed;
const EVENTS = 60;
const EVENT_MS = 100;
const REPORT_MS = 50;
/** Time to read a preempted run in again: 3,000 tokens at 14 a millisecond. */
const READ_AGAIN_MS = 214;
const SLOW_FACTOR = 7.5;
const SLOW_MS = 6_500;
/** Time after which the run before may not be at work any more. */
const OVERLAP_MS = 400;

/** A model replica with backups, as far as the case needs it. */
class Engine {
  constructor(record, copies) {
    Object.assign(this, {record, copies, slowUntil: -Infinity, runs: new Map()});
    /** Each with attempt, start, last time at work and whether it goes on from another run. */
    this.history = [];
  }

  get factor() {
    return this.record.now() < this.slowUntil ? SLOW_FACTOR : 1;
  }

  answer(arrival, response, replica) {
    const {headers, attempt} = arrival;
    const from = headers['kv-from'];
    if (from !== undefined && !this.copies.has(from)) {
      response.writeHead(503, {'X-Rhubarbvane-Not-Executed': '1'}).end();
      return;
    }
    const run = {
      attempt,
      replica: replica.id,
      from: from ?? headers['last-event-id'],
      startedAt: this.record.now(),
      workedAt: this.record.now(),
      events: Number(headers['last-event-id'] ?? 0),
      isDone: false,
    };
    this.history.push(run);
    this.runs.set(attempt, run);
    this.record.write('run-begins', {replica: replica.id, attempt, from: run.from ?? 'start', after: run.events, backup: headers['x-rhubarbvane-kv-backup']});
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    const backup = headers['x-rhubarbvane-kv-backup'];
    const step = () => {
      if (run.isDone) {
        return;
      }
      run.events++;
      run.workedAt = this.record.now();
      if (backup !== undefined) {
        this.copies.set(`${backup}/${attempt}`, run.events);
      }
      // A run goes on also if nobody reads it.
      if (!response.destroyed) {
        response.write(`id: ${run.events}\ndata: piece ${run.events}\n\n`);
      } else if (!run.isLeft) {
        run.isLeft = true;
        this.record.write('caller-left', {replica: replica.id, attempt, events: run.events});
      }
      if (run.events >= EVENTS) {
        run.isDone = true;
        this.runs.delete(attempt);
        this.record.write('run-ends', {replica: replica.id, attempt});
        if (!response.destroyed) {
          response.end();
        }
        return;
      }
      setTimeout(step, this.pauseOf(run));
    };
    setTimeout(step, EVENT_MS * this.factor);
  }

  /** The next event takes longer if the run has been preempted, as crowded engines do with the newest runs. */
  pauseOf(run) {
    if (!run.isPreempted) {
      return EVENT_MS * this.factor;
    }
    run.isPreempted = false;
    this.record.write('run-preempted', {attempt: run.attempt, events: run.events});
    return (READ_AGAIN_MS + EVENT_MS) * this.factor;
  }

  /** Half of the runs, the newest, are preempted once; they are read in again at the speed of the engine. */
  preempt() {
    const runs = [...this.runs.values()];
    runs.slice(Math.floor(runs.length / 2)).forEach(run => (run.isPreempted = true));
  }

  /** Answers the calls of the system's own. */
  control(request, response, body, replica) {
    const {method, url} = request;
    if (method === 'GET' && url === '/report') {
      setTimeout(() => {
        const runs = [...this.runs.values()].map(run => [run.attempt, 3_000, run.events, 1]);
        send(response, 200, {
          phase: 'mixed', models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 1,
          born: replica.born, queued: 0, active: runs.length, kvInUse: runs.length * 3_000,
          kvSize: 34_286, kvHandles: 0, state: replica.state, runs,
        });
      }, REPORT_MS * this.factor);
      return true;
    }
    if (method === 'POST' && url === '/kv-move') {
      const order = JSON.parse(body);
      const run = this.runs.get(order.id);
      if (run === undefined) {
        send(response, 404, {});
        return true;
      }
      setTimeout(() => {
        if (order.last) {
          run.isDone = true;
          this.runs.delete(order.id);
          this.record.write('run-stopped', {replica: replica.id, attempt: order.id});
        }
        const handle = `h-${order.id}`;
        this.copies.set(`${replica.address}/${handle}`, run.events);
        send(response, 200, {kvHandle: handle, created: run.events});
      }, 100);
      return true;
    }
    if (method === 'DELETE') {
      send(response, 200, {});
      return true;
    }
    return false;
  }
}

function send(response, status, value) {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}

await bed.runCase(path.dirname(fileURLToPath(import.meta.url)), async b => {
  const {store, record} = b;
  const copies = new Map();
  const engines = [];
  const zones = Object.keys(b.zones);
  for (let count = 0; count < 7; count++) {
    const engine = new Engine(record, copies);
    engines.push(engine);
    const replica = await b.addReplica('writers', zones[count % 3], 24, (...all) => engine.answer(...all));
    replica.control = (...all) => engine.control(...all);
  }
  store.put('config', 'main', bed.desiredState(7));
  await b.startGateways(2);
  const agent = new http.Agent({keepAlive: true});
  const results = [];
  const headers = () => ({
    'X-Rhubarbvane-Model': 'm',
    'X-Rhubarbvane-Token-Count': `3000,${EVENTS * 4}`,
    'X-Rhubarbvane-Prompt-Prefix': `5c1e07a2:79,${bed.newAttemptId()}:2921`,
  });
  const draft = async gateway =>
    results.push(await bed.request(record, gateway, {agent, path: `/draft/${bed.newAttemptId()}`, waitMs: 39_000, headers: headers()}));
  const open = [];
  for (let count = 0; count < 42; count++) {
    open.push(draft(b.gateways[count % 2]));
    await delay(120);
    if (count === 27) {
      engines[0].preempt();
    }
    if (count === 27 && bed.IS_TROUBLED) {
      engines[0].slowUntil = record.now() + SLOW_MS;
      record.write('replica-slow', {replica: b.replicas[0].id, for_ms: SLOW_MS, runs: engines[0].runs.size});
    }
  }
  await Promise.all(open);
  await delay(9_000);

  const history = engines.flatMap(each => each.history);
  const twice = [];
  for (const later of history.filter(each => each.from !== undefined)) {
    const before = history.filter(
      each => each.attempt === later.attempt && each !== later && each.startedAt < later.startedAt && each.replica !== later.replica,
    );
    before
      .filter(each => each.workedAt > later.startedAt + OVERLAP_MS)
      .forEach(each => twice.push({attempt: later.attempt, first: each.replica, then: later.replica, overlap_ms: Math.round(each.workedAt - later.startedAt)}));
  }
  const served = results.filter(each => each.status === 200 && each.end === 'whole').length;
  record.write('summary', {sent: results.length, served, twice});
  if (served < results.length * 0.5) {
    throw new Error('too few requests were served to judge');
  }
  return twice.length === 0
    ? undefined
    : `TWICE: ${twice.length} requests went on at another replica while the one before worked on them, for up to ${Math.max(...twice.map(each => each.overlap_ms))} ms`;
});
