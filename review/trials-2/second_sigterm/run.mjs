/** A gateway that is stopping gets SIGTERM once more. See claim.txt. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../../lib-2/bed.mjs';
import * as replica from '../../lib-2/replica.mjs';

const SECOND_SIGTERM_MS = 1_000;

await bed.main(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  for (let index = 1; index <= 2; index++) {
    const ledger = new replica.Replica(deployment, {id: `ledger-${index}`, service: 'ledger', ip: `${deployment.net}.${100 + index}`, workMs: 400});
    // 4 s of pieces: such a stream ends long before the grace period does.
    const writer = new replica.Replica(deployment, {id: `writer-${index}`, service: 'writers', ip: `${deployment.net}.${110 + index}`, pieces: 100, pieceMs: 40});
    for (const each of [ledger, writer]) {
      deployment.replicas.push(each);
      await each.listen();
      each.register();
    }
  }
  deployment.configure(
    [
      bed.route('/file/', 'non_idempotent', 'ledger', {timeoutMs: 5_000, sloMs: 500}),
      bed.route('/draft/', 'streaming', 'writers', {timeoutMs: 39_000, sloMs: 1_800, affinity: true, resumable: false, itlTargetMs: 180}),
    ],
    [bed.plainService('ledger'), bed.engineService('writers')],
  );
  await deployment.startGateways(2);
  await bed.sleep(2_500);
  const [first] = deployment.gateways;
  const calls = [];
  let count = 0;
  const file = () => {
    const attemptId = `file-${++count}`;
    record.add(`client sends ${attemptId} to ${first.name}`);
    calls.push(bed.call(first, {target: '/file/1', attemptId, body: `notice ${count}`}));
  };
  for (let index = 1; index <= 4; index++) {
    const attemptId = `draft-${index}`;
    record.add(`client sends ${attemptId} to ${first.name}`);
    calls.push(bed.call(first, {
      target: '/draft/1',
      attemptId,
      body: 'x'.repeat(200),
      deadlineMs: 39_000,
      headers: {'X-Rhubarbvane-Model': 'm', 'X-Rhubarbvane-Token-Count': '100,400', 'X-Rhubarbvane-Prompt-Prefix': `aa:50,b${index}:50`, 'X-Rhubarbvane-Length-Hint': '400'},
    }));
  }
  await bed.sleep(800);
  // Callers of the last second before the stop, and of the second after it.
  const timer = setInterval(file, 50);
  await bed.sleep(1_000);
  const stoppedAt = bed.now();
  first.signal('SIGTERM');
  await bed.sleep(SECOND_SIGTERM_MS);
  if (!bed.isCalm) {
    first.signal('SIGTERM');
  }
  clearInterval(timer);
  const answers = await Promise.all(calls);
  const arrivals = deployment.replicas.flatMap(each => each.arrivals);
  const violations = [];
  for (const {attemptId, sentAt, endedAt, status, error, isWhole, body} of answers) {
    const isStream = attemptId.startsWith('draft');
    const outcome = `${status ?? error}, ${isStream ? `${replica.piecesOf(body).length} of 100 pieces, ` : ''}${isWhole ? 'whole' : 'not whole'}`;
    record.add(`${attemptId}: sent ${sentAt}, answered ${endedAt}: ${outcome}`);
    const arrival = arrivals.find(each => each.attemptId === attemptId);
    const isLost = !isWhole && arrival !== undefined && endedAt <= stoppedAt + bed.BOUNDS.graceS * 1_000 + 1_000;
    if (isLost) {
      violations.push(`LOST: ${attemptId} was passed on to a replica at ${arrival.at} ms; its connection ended at ${endedAt} ms (${outcome}), ${endedAt - stoppedAt} ms after the first SIGTERM of ${first.name}`);
    }
  }
  return violations;
});
