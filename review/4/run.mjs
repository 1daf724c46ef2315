/**
 * A drill: the platform's store is away for a second and comes back from a copy
 * six seconds old. Only what the system itself wrote since is lost. Well after
 * that, with everything calm, one replica reports that it drains. Are requests
 * still sent to it later than `drainMs` after the store's confirmation?
 */
import * as http from 'node:http';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib/bed.mjs';

const {SITE, delay} = bed;
const EVENTS = 12;

/** Streams an event each 100 ms. */
function stream(arrival, response) {
  response.writeHead(200, {'Content-Type': 'text/event-stream'});
  let id = 0;
  const timer = setInterval(() => {
    response.write(`id: ${++id}\ndata: piece ${id}\n\n`);
    if (id === EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, 100);
  response.once('close', () => clearInterval(timer));
}

await bed.runCase(path.dirname(fileURLToPath(import.meta.url)), async b => {
  const {store, record} = b;
  const run = (arrival, response) =>
    setTimeout(() => response.end(`filed ${arrival.attempt}`), 20);
  for (const zone of Object.keys(b.zones)) {
    await b.addReplica('ledger', zone, 6, run);
    // Replicas of several software versions serve side by side.
    await b.addReplica('writers', zone, 24, stream, {version: zone === 'galle' ? 'v1' : 'v2'});
  }
  store.put('config', 'main', bed.desiredState(7));
  await b.startGateways(2);
  const agent = new http.Agent({keepAlive: true});
  const results = [];
  const send = async (gateway, options) =>
    results.push(await bed.request(record, gateway, {agent, ...options}));
  const tag = gateway =>
    send(gateway, {
      path: `/tag/${bed.newAttemptId()}`,
      waitMs: 6_000,
      headers: {
        'X-Rhubarbvane-Model': 'm',
        'X-Rhubarbvane-Token-Count': '2200,48',
        'X-Rhubarbvane-Prompt-Prefix': `5c1e07a2:350,${bed.newAttemptId()}:1850`,
      },
    });
  /** Every gateway gets a few notices at once. */
  const fileSome = () =>
    Promise.all(
      b.gateways.flatMap(each =>
        Array.from({length: 12}, () => send(each, {path: `/file/${bed.newAttemptId()}`})),
      ),
    );

  await fileSome();
  await delay(SITE.contactMs);
  // The copy from which the store will come back.
  const copy = store.copy();
  const tags = [];
  for (let step = 0; step < 12; step++) {
    tags.push(...b.gateways.map(tag));
    await delay(500);
  }
  if (bed.IS_TROUBLED) {
    store.goDown();
    await delay(1_000);
    store.comeBack(copy);
  }
  await Promise.all(tags);
  // What the operator and the replicas wrote is written again.
  store.put('config', 'main', bed.desiredState(7));
  b.replicas.forEach(each => each.register());
  // Calm for much longer than `contactMs`.
  await delay(SITE.contactMs + 7_000);
  await fileSome();
  const [leaving] = b.replicas;
  leaving.drain();
  await delay(SITE.drainMs + 1_500);
  await fileSome();
  const limit = leaving.drainConfirmedAt + SITE.drainMs;
  const late = leaving.arrivals.filter(each => each.at > limit);
  // To show what follows: the replicas are replaced; new ones start first, the old ones drain and exit.
  const old = b.replicas.filter(each => each.fields.service === 'ledger');
  for (const each of old) {
    await b.addReplica('ledger', each.fields.zone, 6, run);
  }
  old.filter(each => each !== leaving).forEach(each => each.drain());
  await delay(SITE.drainMs + 2_000);
  old.forEach(each => each.close());
  old.forEach(each => store.remove('servers', each.id, each.id));
  await delay(SITE.contactMs);
  const before = results.length;
  await fileSome();
  const after = results.slice(before);
  record.write('after-replacement', {sent: after.length, served: after.filter(each => each.status === 200).length, refused: after.filter(each => each.status === 503).length});
  const served = results.slice(0, before).filter(each => each.status === 200).length;
  record.write('summary', {sent: results.length, served, late: late.length, peak_mb: b.gateways.map(each => Math.round(each.peakMb))});
  if (served < before * 0.9) {
    throw new Error('too few requests were served to judge');
  }
  return late.length === 0
    ? undefined
    : `DRAIN: ${late.length} requests reached ${leaving.id} later than ${SITE.drainMs} ms after its draining was confirmed, the first ${Math.round(late[0].at - leaving.drainConfirmedAt)} ms after`;
});
