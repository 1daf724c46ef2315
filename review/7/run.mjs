/** A caller's next job, of which some drafts hold a part that crashes replicas. See claim.txt. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib-2/bed.mjs';
import * as replica from '../lib-2/replica.mjs';

const ENGINES = 10;
const BACK_AFTER_MS = 2_500;
const BEGIN_MS = 60;
const DEADLY = 'dead01';
const TEMPLATE = 'cafe01:79';
const FIRST_JOB = 'd0c001:800';
const NEXT_JOB = 'd0c002:800';
/** Drafts with the part that open the next job, and the time between them. */
const DEADLY_FIRST = 5;
const DEADLY_EVERY_MS = 700;
const DRAFT_EVERY_MS = 200;
const JOB_MS = 8_000;
const NEXT_JOB_MS = 24_000;

/** Crashes when it begins to write an answer on the part. */
class CrashingReplica extends replica.Replica {
  stream(arrival, response) {
    const parts = (arrival.headers['x-rhubarbvane-prompt-prefix'] ?? '').split(',').slice(0, -1);
    arrival.isDeadly = parts.some(each => each.startsWith(`${DEADLY}:`));
    if (arrival.isDeadly && !bed.isCalm) {
      this.log(`begins ${arrival.attemptId}, which has the part ${DEADLY}`);
      setTimeout(() => void this.crash(arrival.attemptId), BEGIN_MS);
      return;
    }
    super.stream(arrival, response);
  }

  async crash(attemptId) {
    if (!this.server.listening) {
      return;
    }
    this.onCrash(bed.now());
    const lost = [...this.runs.keys()];
    this.log(`crashes on ${attemptId}${lost.length > 0 ? `, with ${lost.join(', ')}` : ''}`);
    const port = this.server.address().port;
    const closed = new Promise(resolve => this.server.close(resolve));
    this.runs.forEach(run => this.endRun(run, 'the replica crashed'));
    this.sockets.forEach(socket => socket.resetAndDestroy());
    await closed;
    await bed.sleep(BACK_AFTER_MS);
    this.copies.clear();
    this.born = Date.now();
    await new Promise(resolve => this.server.listen(port, this.options.ip, resolve));
    this.register();
    this.log('is back');
  }
}

await bed.main(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const crashes = [];
  for (let index = 1; index <= ENGINES; index++) {
    const writer = new CrashingReplica(deployment, {id: `writer-${index}`, service: 'writers', ip: `${deployment.net}.${110 + index}`, pieces: 25, pieceMs: 40});
    writer.onCrash = at => crashes.push(at);
    deployment.replicas.push(writer);
    await writer.listen();
    writer.register();
  }
  deployment.configure(
    [bed.route('/draft/', 'streaming', 'writers', {timeoutMs: 39_000, sloMs: 1_800, affinity: true, resumable: false, itlTargetMs: 180})],
    [bed.engineService('writers', {backups: false})],
  );
  await deployment.startGateways(2);
  await bed.sleep(3_500);
  const calls = [];
  let count = 0;
  const draft = (name, parts) => {
    count++;
    const attemptId = `${name}-${count}`;
    calls.push(bed.call(deployment.gateways[count % 2], {
      target: '/draft/1',
      attemptId,
      body: `draft ${count}`,
      deadlineMs: 39_000,
      headers: {'X-Rhubarbvane-Model': 'm', 'X-Rhubarbvane-Token-Count': '1000,100', 'X-Rhubarbvane-Prompt-Prefix': `${parts},b${count}:50`, 'X-Rhubarbvane-Length-Hint': '100'},
    }));
  };
  record.add(`the caller sends drafts of its first job (${TEMPLATE},${FIRST_JOB})`);
  const first = setInterval(() => draft('first', `${TEMPLATE},${FIRST_JOB}`), DRAFT_EVERY_MS);
  await bed.sleep(JOB_MS);
  clearInterval(first);
  record.add(`the caller sends drafts of its next job (${TEMPLATE},${NEXT_JOB}), first some that also have ${DEADLY}`);
  const nextDeadly = () => draft('deadly', `${TEMPLATE},${DEADLY}:20,${NEXT_JOB}`);
  for (let index = 0; index < DEADLY_FIRST; index++) {
    nextDeadly();
    await bed.sleep(DEADLY_EVERY_MS);
  }
  const deadly = setInterval(nextDeadly, 2 * DEADLY_EVERY_MS);
  const next = setInterval(() => draft('next', `${TEMPLATE},${NEXT_JOB}`), DRAFT_EVERY_MS);
  await bed.sleep(NEXT_JOB_MS);
  clearInterval(next);
  clearInterval(deadly);
  const answers = await Promise.all(calls);
  for (const {attemptId, sentAt, endedAt, status, error, isWhole, body, headers} of answers) {
    record.add(`${attemptId}: sent ${sentAt}, ended ${endedAt}: ${status ?? error}, ${replica.piecesOf(body).length} pieces${isWhole ? '' : ', broken off'}${headers?.['retry-after'] === undefined ? '' : `, Retry-After ${headers['retry-after']}`}`);
  }
  const from = (crashes[4] ?? crashes.at(-1) ?? 0) + 2 * bed.BOUNDS.contactMs;
  const shareOf = chosen => {
    const begun = chosen.filter(({status, body}) => status === 200 && replica.piecesOf(body).length > 0);
    return {begun: begun.length, all: chosen.length, share: begun.length / chosen.length};
  };
  // Outside unplanned disturbance: drafts that ended before the first crash.
  const before = shareOf(answers.filter(({attemptId, endedAt}) => attemptId.startsWith('first') && endedAt < (crashes[0] ?? Infinity)));
  const during = shareOf(answers.filter(({attemptId, sentAt}) => attemptId.startsWith('next') && sentAt > from));
  record.add(`${crashes.length} crashes, at ${crashes.join(', ')} ms`);
  record.add(`sound drafts that began: ${before.begun} of ${before.all} before, ${during.begun} of ${during.all} from 2 x contactMs after the fifth or last crash`);
  if (before.all < 20 || during.all < 20) {
    throw new Error('too few sound drafts');
  }
  return during.share < before.share / 2
    ? [`LOST: ${during.begun} of ${during.all} sound drafts of the route with the same key and first part began at the first attempt, ${before.begun} of ${before.all} before`]
    : [];
});
