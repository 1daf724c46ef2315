/**
 * Prompts have twenty parts, as after some turns of a conversation. One shared
 * part, the eighteenth, crashes each model replica that begins to write an answer
 * on it; the replica is back after three seconds. Requests with that part go on
 * to come. Do they go on to reach replicas?
 */
import * as http from 'node:http';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib/bed.mjs';

const {SITE, delay} = bed;
/** Parts of each prompt; the last one is the request's own. */
const PARTS = 20;
const DEADLY = 'dead0bad';
const DOWN_MS = 3_000;

const shared = Array.from({length: PARTS}, (_, index) => `5c1e${String(index).padStart(4, '0')}`);

function prompt(isDeadly) {
  const parts = shared.slice(0, PARTS - 3);
  parts.push(isDeadly ? DEADLY : 'beef0001', 'beef0002', bed.newAttemptId());
  return parts.map(id => `${id}:100`).join(',');
}

await bed.runCase(path.dirname(fileURLToPath(import.meta.url)), async b => {
  const {store, record} = b;
  const crashes = [];
  const arrivals = [];
  const answer = (arrival, response, replica) => {
    const isDeadly = arrival.headers['x-rhubarbvane-prompt-prefix'].includes(DEADLY);
    if (isDeadly) {
      arrivals.push({at: record.now(), attempt: arrival.attempt});
    }
    // The prompt is read, then the answer begins.
    setTimeout(() => {
      if (response.destroyed) {
        return;
      }
      if (isDeadly && bed.IS_TROUBLED) {
        return crash(replica, arrival);
      }
      response.writeHead(200, {'Content-Type': 'text/event-stream'});
      let id = 0;
      const timer = setInterval(() => {
        response.write(`id: ${++id}\ndata: piece ${id}\n\n`);
        if (id === 12) {
          clearInterval(timer);
          response.end();
        }
      }, 50);
      response.once('close', () => clearInterval(timer));
    }, 150);
  };
  const crash = (replica, arrival) => {
    crashes.push(record.now());
    record.write('crash', {replica: replica.id, attempt: arrival.attempt, number: crashes.length});
    replica.crash();
    setTimeout(() => replica.comeBack(), DOWN_MS);
  };
  const zones = Object.keys(b.zones);
  for (let count = 0; count < 9; count++) {
    await b.addReplica('writers', zones[count % 3], 24, answer);
  }
  store.put('config', 'main', bed.desiredState(7));
  await b.startGateways(2);
  const agent = new http.Agent({keepAlive: true});
  const results = [];
  const tag = async (gateway, isDeadly) => {
    const result = await bed.request(record, gateway, {
      agent,
      path: `/tag/${bed.newAttemptId()}`,
      waitMs: 6_000,
      headers: {
        'X-Rhubarbvane-Model': 'm',
        'X-Rhubarbvane-Token-Count': `${PARTS * 100},48`,
        'X-Rhubarbvane-Prompt-Prefix': prompt(isDeadly),
      },
    });
    results.push({...result, isDeadly});
  };
  const open = [];
  for (let step = 0; step < 150; step++) {
    const gateway = b.gateways[step % 2];
    open.push(tag(gateway, false));
    if (step > 20 && step % 7 === 0) {
      open.push(tag(b.gateways[Math.floor(step / 7) % 2], true));
    }
    await delay(200);
  }
  await Promise.all(open);
  const limit = (crashes[4] ?? Infinity) + SITE.contactMs;
  const late = arrivals.filter(each => each.at > limit);
  const sound = results.filter(each => !each.isDeadly);
  const served = sound.filter(each => each.status === 200 && each.end === 'whole').length;
  record.write('summary', {sound: sound.length, served, deadly: results.length - sound.length, crashes: crashes.length, late: late.length});
  return late.length > 3
    ? `BUDGET: ${late.length} requests with the part reached replicas later than ${SITE.contactMs} ms after the fifth crash; ${crashes.length} crashes in all`
    : undefined;
});
