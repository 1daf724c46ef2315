/**
 * Trial, no case: a gateway is cut off while replicas of a new software version join, and callers take up
 * streams there that these replicas began. Rule ORDER (news pages): "More than two streams hold events from
 * replicas of two software versions of one service, in one answer or over a client's tries." The seeds of
 * both gateways are stale, which stands in for the cut between them; the way from the second one to the
 * store is silent (`core_cut`). TROUBLE=0: seeds and way are sound.
 */
import * as net from 'node:net';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../../lib-2/bed.mjs';
import * as replica from '../../lib-2/replica.mjs';

const PIECES = 150;
const STREAMS = 24;
const BUDGET_MS = 24_000;

/** A way to the store that falls silent. */
class StoreWay {
  isSilent = false;
  sockets = new Set();

  async listen(target) {
    const [host, port] = target.split(':');
    this.server = net.createServer(client => {
      const store = net.connect(Number(port), host);
      for (const [from, to] of [[client, store], [store, client]]) {
        this.sockets.add(from);
        from.on('data', chunk => this.isSilent || to.write(chunk));
        from.on('error', () => undefined);
        from.on('close', () => this.isSilent || to.destroy());
      }
    });
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.sockets.forEach(each => each.destroy());
  }
}

await bed.main(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const add = async (id, version, host) => {
    const writer = new replica.Replica(deployment, {id, service: 'writers', ip: `${deployment.net}.${host}`, pieces: PIECES, pieceMs: 40, version});
    deployment.replicas.push(writer);
    await writer.listen();
    writer.register();
  };
  for (let index = 1; index <= 3; index++) {
    await add(`old-${index}`, 'v1', 110 + index);
  }
  deployment.configure(
    [bed.route('/draft/', 'streaming', 'writers', {timeoutMs: BUDGET_MS, sloMs: 1_800, affinity: true, resumable: true, attempts: 2, itlTargetMs: 180})],
    [bed.engineService('writers')],
  );
  const way = new StoreWay();
  const address = await way.listen(deployment.storeAddress);
  deployment.cleanups.push(() => way.close());
  const {writeSettings} = bed.Gateway.prototype;
  bed.Gateway.prototype.writeSettings = function (bootstrap) {
    const changes = this.name === 'gateway-2' ? {platform: {address}} : {};
    const seeds = bed.isCalm ? {} : {seeds: [`${deployment.net}.201:9`, `${deployment.net}.202:9`]};
    writeSettings.call(this, bootstrap, {...changes, ...seeds});
  };
  await deployment.startGateways(2);
  await bed.sleep(3_000);
  if (!bed.isCalm) {
    way.isSilent = true;
    record.add('gateway-2: its way to the store is silent');
  }
  for (let index = 1; index <= 3; index++) {
    await add(`new-${index}`, 'v2', 120 + index);
  }
  record.add('three replicas of v2 have joined');
  await bed.sleep(300);
  const [first, second] = deployment.gateways;
  const send = (gateway, index, attempt, more, extra = {}) => bed.call(gateway, {
    target: '/draft/1',
    attemptId: `draft-${index}-${attempt}`,
    body: 'x'.repeat(200),
    deadlineMs: BUDGET_MS,
    headers: {'X-Rhubarbvane-Model': 'm', 'X-Rhubarbvane-Token-Count': '100,600', 'X-Rhubarbvane-Prompt-Prefix': `aa:50,b${index}:50`, 'X-Rhubarbvane-Length-Hint': '600', ...more},
    ...extra,
  });
  const versionOf = id => deployment.replicas.find(each => each.arrivals.some(arrival => arrival.attemptId === id && arrival.isRun))?.options.version;
  const joined = [];
  await Promise.all(Array.from({length: STREAMS}, async (_, index) => {
    // The caller's own connection breaks after 0.8 s.
    const begun = await send(first, index, 1, {}, {timeoutMs: 800});
    const last = replica.piecesOf(begun.body).at(-1);
    if (last === undefined) {
      return;
    }
    const taken = await send(second, index, 2, {'Last-Event-Id': String(last), Resumes: `draft-${index}-1`});
    const versions = [versionOf(`draft-${index}-1`), versionOf(`draft-${index}-2`)];
    record.add(`draft-${index}: ${last} pieces at ${versions[0]} by ${first.name}; taken up at ${second.name}: ${taken.status ?? taken.error}, ${replica.piecesOf(taken.body).length} pieces at ${versions[1] ?? 'none'}`);
    if (versions[1] !== undefined && versions[0] !== versions[1] && taken.body.length > 0) {
      joined.push(`ORDER: draft-${index} holds events of ${versions.join(' and ')}`);
    }
  }));
  return joined.length > 2 ? joined : [];
});
