/**
 * Planned work alone: one gateway gets SIGTERM. Clients with idle connections to
 * it, which the balancer leaves with their node, send short generations until its
 * end. Their replicas answer within the objective. Are answers cut?
 */
import * as http from 'node:http';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../../lib/bed.mjs';

const {SITE, delay} = bed;
const EVENTS = 3;
/** Objective of the route: the first event within 1,500 ms, pauses of at most 180 ms. */
const FIRST_MS = 1_400;
const PAUSE_MS = 150;

await bed.runCase(path.dirname(fileURLToPath(import.meta.url)), async b => {
  const {store, record} = b;
  /** A crowded engine: requests wait in its queue before their first token. */
  let firstMs = 300;
  const running = new Map();
  const answer = (arrival, response, replica) => {
    let id = 0;
    running.get(replica).set(arrival.attempt, () => id);
    const step = () => {
      if (id === 0) {
        response.writeHead(200, {'Content-Type': 'text/event-stream'});
      }
      response.write(`id: ${++id}\ndata: piece ${id}\n\n`);
      if (id === EVENTS) {
        response.end();
        record.write('run-ends', {replica: replica.id, attempt: arrival.attempt});
        return;
      }
      timer = setTimeout(step, PAUSE_MS);
    };
    let timer = setTimeout(step, firstMs);
    response.once('close', () => {
      clearTimeout(timer);
      running.get(replica).delete(arrival.attempt);
    });
  };
  const zones = Object.keys(b.zones);
  for (let count = 0; count < 6; count++) {
    const replica = await b.addReplica('writers', zones[count % 3], 24, answer);
    running.set(replica, new Map());
    replica.control = (request, response) => {
      if (request.url !== '/report') {
        return false;
      }
      const runs = [...running.get(replica)].map(([attempt, events]) => [attempt, 2_200, events(), 0]);
      response.writeHead(200, {'Content-Type': 'application/json'});
      response.end(JSON.stringify({phase: 'mixed', models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 1, born: replica.born, queued: 0, active: runs.length, kvInUse: runs.length * 2_200, kvSize: 34_286, kvHandles: 0, state: 'ready', runs}));
      return true;
    };
  }
  store.put('config', 'main', bed.desiredState(7));
  await b.startGateways(2);
  const results = [];
  const tag = async (gateway, agent) => {
    const sentAt = record.now();
    const result = await bed.request(record, gateway, {
      agent,
      path: `/tag/${bed.newAttemptId()}`,
      waitMs: 6_000,
      headers: {
        'X-Rhubarbvane-Model': 'm',
        'X-Rhubarbvane-Token-Count': `2200,${EVENTS * 4}`,
        'X-Rhubarbvane-Prompt-Prefix': `5c1e07a2:350,${bed.newAttemptId()}:1850`,
      },
    });
    results.push({...result, sentAt});
  };
  // Each client has a connection of its own and keeps it open.
  const clients = Array.from({length: 40}, () => new http.Agent({keepAlive: true, maxSockets: 1}));
  const [gateway] = b.gateways;
  for (const client of clients) {
    void tag(gateway, client);
    await delay(40);
  }
  await delay(2_500);
  firstMs = FIRST_MS;
  const stopAt = record.now();
  if (bed.IS_TROUBLED) {
    gateway.signal('SIGTERM', 'planned');
  }
  const open = [];
  for (const client of clients) {
    open.push(tag(gateway, client));
    await delay(180);
  }
  await Promise.all(open);
  const late = results.filter(each => each.sentAt >= stopAt);
  const arrived = new Set(b.replicas.flatMap(each => each.arrivals.map(({attempt}) => attempt)));
  const cut = late.filter(each => arrived.has(each.attempt) && each.end !== 'whole');
  const gaveUp = late.filter(each => arrived.has(each.attempt) && each.end === 'whole' && [502, 504].includes(each.status));
  const by = {};
  late.forEach(each => (by[`${each.status ?? ''} ${each.end}`] = (by[`${each.status ?? ''} ${each.end}`] ?? 0) + 1));
  record.write('summary', {by, cut: cut.map(each => [each.attempt, Math.round(each.sentAt - stopAt)]), given_up: gaveUp.map(each => [each.attempt, Math.round(each.sentAt - stopAt)])});
  return cut.length === 0
    ? undefined
    : `LOST: ${cut.length} requests that had been passed on to a replica were cut at the end of a planned stop, sent ${Math.min(...cut.map(each => Math.round(each.sentAt - stopAt)))} to ${Math.max(...cut.map(each => Math.round(each.sentAt - stopAt)))} ms after the SIGTERM`;
});
