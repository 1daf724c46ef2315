/**
 * Two model replicas are full for a moment, by calls that others make there, and
 * turn drafts away as not run, with `Retry-After`. One of these answers is written
 * twice; the second one arrives late, where the next answer is expected. Does a
 * draft run twice, or is it refused as not run although it has run?
 */
import * as http from 'node:http';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib/bed.mjs';

const {delay} = bed;
/** Time for which the replicas are full. */
const FULL_MS = 900;
const EVENT_MS = 100;

/** A model replica that turns requests away while it is full. */
class Engine {
  constructor(record) {
    Object.assign(this, {record, isFull: false});
    this.begun = [];
    this.answers = 0;
    this.secondAnswers = 0;
    this.isGarbling = false;
  }

  /** "An extra response may arrive late, at the point where the next response is expected." */
  writeSecondAnswer(socket, what, replica) {
    const second = socket.secondAnswer;
    if (second !== undefined) {
      socket.secondAnswer = undefined;
      this.secondAnswers++;
      this.record.write('second-answer', {replica: replica.id, of: second.attempt, before: what});
      socket.write(second.raw);
    }
  }

  control(request, response, body, replica) {
    this.writeSecondAnswer(request.socket, request.headers['x-rhubarbvane-attempt-id'] ?? request.url, replica);
    return false;
  }

  answer(arrival, response, replica) {
    const {attempt, headers} = arrival;
    this.answers++;
    const {socket} = response;
    if (this.isFull) {
      this.record.write('full', {replica: replica.id, attempt});
      response.removeHeader('X-Rhubarbvane-Server-Stamp');
      const raw = `HTTP/1.1 503 Service Unavailable\r\nX-Rhubarbvane-Not-Executed: 1\r\nRetry-After: 1\r\nX-Rhubarbvane-Attempt-Id: ${attempt}\r\nContent-Length: 0\r\n\r\n`;
      response.writeHead(503, {'X-Rhubarbvane-Not-Executed': '1', 'Retry-After': '1', 'Content-Length': 0}).end();
      if (this.isGarbling && bed.IS_TROUBLED) {
        this.isGarbling = false;
        socket.secondAnswer = {attempt, raw};
      }
      return;
    }
        this.begun.push({attempt, at: this.record.now(), replica: replica.id});
    this.record.write('run-begins', {replica: replica.id, attempt, socket: socket.remotePort});
    const events = Number(headers['x-rhubarbvane-token-count'].split(',')[1]) / 4;
    let id = 0;
    const finish = () => {
      clearInterval(timer);
      if (!finish.isDone) {
        finish.isDone = true;
      }
    };
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    const timer = setInterval(() => {
      id++;
      response.write(`id: ${id}\ndata: ${attempt} ${id}\n\n`);
      if (id >= events) {
        finish();
        response.end();
      }
    }, EVENT_MS);
    response.once('close', finish);
  }
}

await bed.runCase(path.dirname(fileURLToPath(import.meta.url)), async b => {
  const {store, record} = b;
  const engines = [];
  const zones = Object.keys(b.zones);
  for (let count = 0; count < 2; count++) {
    const engine = new Engine(record);
    engines.push(engine);
    const replica = await b.addReplica('writers', zones[count], 24, (...all) => engine.answer(...all));
    replica.control = (...all) => engine.control(...all);
  }
  store.put('config', 'main', bed.desiredState(7));
  await b.startGateways(2);
  const agent = new http.Agent({keepAlive: true});
  const results = [];
  const stream = async (gateway, kind, events) =>
    results.push(
      await bed.request(record, gateway, {
        agent,
        path: `/${kind}/${bed.newAttemptId()}`,
        waitMs: kind === 'draft' ? 39_000 : 6_000,
        headers: {
          'X-Rhubarbvane-Model': 'm',
          'X-Rhubarbvane-Token-Count': `1000,${events * 4}`,
          'X-Rhubarbvane-Prompt-Prefix': `5c1e07a2:79,${bed.newAttemptId()}:921`,
        },
      }),
    );
  for (let round = 0; round < 3; round++) {
    const open = [];
    for (let count = 0; count < 64; count++) {
      open.push(stream(b.gateways[count % 2], 'tag', 2));
      await delay(50);
    }
    await Promise.all(open);
    engines[0].isGarbling = true;
    engines.forEach(each => (each.isFull = true));
    open.push(...b.gateways.map(each => stream(each, 'draft', 20)));
    await delay(FULL_MS);
    engines.forEach(each => (each.isFull = false));
    await Promise.all(open);
    engines[0].isGarbling = false;
    await delay(2_000);
  }
  const begun = engines.flatMap(each => each.begun);
  const counts = new Map();
  // Tags may run again, drafts may not.
  const drafts = new Set(results.filter(each => each.url.startsWith('/draft/')).map(each => each.attempt));
  begun.filter(each => drafts.has(each.attempt)).forEach(({attempt}) => counts.set(attempt, (counts.get(attempt) ?? 0) + 1));
  const twice = [...counts].filter(([, count]) => count > 1).map(([attempt]) => attempt);
  const refused = results.filter(each => [429, 503].includes(each.status) && counts.has(each.attempt)).map(each => each.attempt);
  const by = {};
  results.forEach(each => (by[`${each.status} ${each.end}`] = (by[`${each.status} ${each.end}`] ?? 0) + 1));
  record.write('summary', {by, twice, refused, second: engines.map(each => each.secondAnswers), answers: engines.map(each => each.answers)});
  if (results.filter(each => each.status === 200).length < results.length * 0.9) {
    throw new Error('too few requests were served to judge');
  }
  return twice.length === 0
    ? undefined
    : `TWICE: ${twice.length} drafts, which may run once, ran at two replicas`;
});
