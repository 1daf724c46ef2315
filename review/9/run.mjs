/** The store cuts off watches that wait, while a replica leaves. See claim.txt. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib-2/bed.mjs';
import * as replica from '../lib-2/replica.mjs';

const CUT_EVERY_MS = 1_000;
/** Time for which the replica serves after its entry is gone: longer than drainMs. */
const SERVES_ON_MS = 5_000;
const CALLS_EVERY_MS = 20;

await bed.main(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  for (let index = 1; index <= 4; index++) {
    const ledger = new replica.Replica(deployment, {id: `ledger-${index}`, service: 'ledger', ip: `${deployment.net}.${100 + index}`, workMs: 100});
    deployment.replicas.push(ledger);
    await ledger.listen();
    ledger.register();
  }
  deployment.configure([bed.route('/file/', 'non_idempotent', 'ledger', {timeoutMs: 2_000, sloMs: 300})], [bed.plainService('ledger')]);
  await deployment.startGateways(2);
  await bed.sleep(2_500);
  const {store} = deployment;
  const cutWatches = () => {
    const cut = store.pendingWatches.splice(0);
    record.add(`store: cuts off ${cut.length} waiting watches`);
    cut.forEach(watch => watch.response.destroy());
  };
  const cuts = bed.isCalm ? undefined : setInterval(cutWatches, CUT_EVERY_MS);
  const calls = [];
  let count = 0;
  const agents = deployment.gateways.map(() => undefined);
  const timer = setInterval(() => {
    const attemptId = `file-${++count}`;
    const gateway = deployment.gateways[count % agents.length];
    calls.push(bed.call(gateway, {target: '/file/1', attemptId, body: `notice ${count}`, deadlineMs: 2_000}).then(answer => ({...answer, gateway: gateway.name})));
  }, CALLS_EVERY_MS);
  // At no fixed distance from the cuts.
  await bed.sleep(2_500 + Math.random() * CUT_EVERY_MS);
  const leaving = deployment.replicas[0];
  store.remove('servers', leaving.id);
  const removedAt = bed.now();
  record.add(`store: the entry of ${leaving.id} is removed; it serves on for ${SERVES_ON_MS} ms`);
  await bed.sleep(SERVES_ON_MS);
  leaving.close();
  record.add(`${leaving.id}: exits`);
  await bed.sleep(1_500);
  clearInterval(timer);
  clearInterval(cuts);
  const answers = await Promise.all(calls);
  const late = leaving.arrivals.filter(({at}) => at > removedAt + bed.BOUNDS.drainMs);
  for (const {attemptId, gateway, sentAt, endedAt, status, error, isWhole} of answers) {
    record.add(`${attemptId} by ${gateway}: sent ${sentAt}, answered ${endedAt}: ${status ?? error}${isWhole ? '' : ', not whole'}`);
  }
  const failed = answers.filter(({status}) => status !== 200).length;
  record.add(`${failed} of ${answers.length} requests were not answered with 200`);
  return late.map(({attemptId, at}) => `DRAIN: ${attemptId} reached ${leaving.id} ${at - removedAt} ms after the store had removed its entry`);
});
