/**
 * One of three model replicas is in trouble: the body of its streams is bytes
 * that are no answer, without end, until its caller closes. Do requests that
 * sound replicas work on lose their connections?
 */
import * as http from 'node:http';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib/bed.mjs';

const {delay} = bed;
/** Events of a stream, one each 100 ms. */
const EVENTS = 20;
/** Rate at which the replica in trouble sends, in bytes a second; its link carries 250 MB. */
const RATE = 25e6;
const BLOCK = Buffer.alloc(65_536, 'x');

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
  let troubled;
  const answer = (arrival, response, replica) => {
    if (!bed.IS_TROUBLED || replica !== troubled) {
      return stream(arrival, response);
    }
    record.write('endless-body', {replica: replica.id, attempt: arrival.attempt});
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    const startedAt = performance.now();
    let sent = 0;
    const timer = setInterval(() => {
      const due = ((performance.now() - startedAt) / 1000) * RATE;
      while (sent < due && response.writableLength < 1e6) {
        response.write(BLOCK);
        sent += BLOCK.length;
      }
      if (response.writableLength >= 1e6) {
        // The caller doesn't read; no bytes are owed for that time.
        sent = Math.max(sent, due);
      }
    }, 5);
    response.once('close', () => {
      clearInterval(timer);
      record.write('endless-body-closed', {replica: replica.id, attempt: arrival.attempt, mb: Math.round(sent / 1e6)});
    });
  };
  const file = (arrival, response) =>
    setTimeout(() => response.end(`filed ${arrival.attempt}`), 40);
  for (const zone of Object.keys(b.zones)) {
    await b.addReplica('writers', zone, 24, answer);
    await b.addReplica('ledger', zone, 6, file);
  }
  [troubled] = b.replicas;
  store.put('config', 'main', bed.desiredState(7));
  await b.startGateways(2);
  const agent = new http.Agent({keepAlive: true});
  const results = [];
  const send = async (gateway, options) =>
    results.push(await bed.request(record, gateway, {agent, ...options}));
  const prompt = (tokensIn, tokensOut) => ({
    'X-Rhubarbvane-Model': 'm',
    'X-Rhubarbvane-Token-Count': `${tokensIn},${tokensOut}`,
    'X-Rhubarbvane-Prompt-Prefix': `5c1e07a2:79,${bed.newAttemptId()}:${tokensIn - 79}`,
  });
  // The traffic of the site, as it falls to two of its gateways: 3 drafts, 4 tags and 16 notices a second.
  const open = [];
  const traffic = setInterval(() => {
    const gateway = b.gateways[Math.floor(Math.random() * b.gateways.length)];
    const draw = Math.random() * 23;
    if (draw < 3) {
      open.push(send(gateway, {path: `/draft/${bed.newAttemptId()}`, waitMs: 39_000, headers: prompt(3000, 80)}));
    } else if (draw < 7) {
      open.push(send(gateway, {path: `/tag/${bed.newAttemptId()}`, waitMs: 6_000, headers: prompt(2200, 80)}));
    } else {
      open.push(send(gateway, {path: `/file/${bed.newAttemptId()}`}));
    }
  }, 1000 / 23);
  await delay(30_000);
  clearInterval(traffic);
  await Promise.race([Promise.all(open), delay(20_000)]);

  // Requests on kept connections that only a sound replica got, and that ended without an answer.
  const sound = new Set(
    b.replicas
      .filter(each => each !== troubled)
      .flatMap(each => each.arrivals.map(({attempt}) => attempt)),
  );
  const atTroubled = new Set(troubled.arrivals.map(({attempt}) => attempt));
  const lost = results.filter(
    each =>
      each.isKept &&
      sound.has(each.attempt) &&
      !atTroubled.has(each.attempt) &&
      each.status === undefined &&
      each.end.startsWith('closed'),
  );
  const cut = results.filter(
    each => sound.has(each.attempt) && !atTroubled.has(each.attempt) && each.end === 'cut off',
  );
  const count = name =>
    results.filter(name).length;
  record.write('summary', {
    sent: results.length,
    served: count(each => each.status === 200 && each.end === 'whole'),
    lost_without_answer: lost.length,
    streams_cut_off: cut.length,
    gave_up: count(each => each.end === 'client gave up'),
    ends: b.gateways.map(each => each.ends),
    peak_mb: b.gateways.map(each => Math.round(each.peakMb)),
  });
  return lost.length > 3
    ? `LOST: ${lost.length} requests that sound replicas worked on ended with a closed kept connection and no answer; the gateways exceeded their memory ${b.gateways.reduce((sum, each) => sum + each.ends.length, 0)} times`
    : undefined;
});
