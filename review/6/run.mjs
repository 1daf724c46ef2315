/** Streams without length or chunks of a replica that stands still for some seconds. See claim.txt. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib-2/bed.mjs';
import * as replica from '../lib-2/replica.mjs';

const ENGINES = 10;
/** Times for which one replica of ten is silent, another one each time. */
const SILENCES_MS = [3_350, 3_500];
const STREAMS = 40;
const PIECES = 320;

await bed.main(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  for (let index = 1; index <= ENGINES; index++) {
    const ip = `${deployment.net}.${110 + index}`;
    const writer = new replica.ReplicaProcess(deployment, {id: `writer-${index}`, service: 'writers', ip, pieces: PIECES, pieceMs: 40, isUnframed: true});
    deployment.replicas.push(writer);
    await writer.listen();
    writer.register();
  }
  deployment.configure(
    [bed.route('/draft/', 'streaming', 'writers', {timeoutMs: 39_000, sloMs: 1_800, affinity: true, resumable: false, itlTargetMs: 180})],
    [bed.engineService('writers')],
  );
  await deployment.startGateways(2);
  await bed.sleep(2_500);
  const calls = [];
  for (let index = 1; index <= STREAMS; index++) {
    const attemptId = `draft-${index}`;
    calls.push(bed.call(deployment.gateways[index % 2], {
      target: '/draft/1',
      attemptId,
      body: 'x'.repeat(200),
      deadlineMs: 39_000,
      headers: {'X-Rhubarbvane-Model': 'm', 'X-Rhubarbvane-Token-Count': '100,1000', 'X-Rhubarbvane-Prompt-Prefix': `aa:50,b${index}:50`, 'X-Rhubarbvane-Length-Hint': '1000'},
    }));
  }
  await bed.sleep(2_500);
  for (const [index, silence] of SILENCES_MS.entries()) {
    const silent = deployment.replicas[index];
    if (!bed.isCalm) {
      silent.signal('SIGSTOP');
      await bed.sleep(silence);
      silent.signal('SIGCONT');
      await bed.sleep(1_000);
    }
  }
  const answers = await Promise.all(calls);
  const violations = [];
  for (const {attemptId, sentAt, endedAt, status, error, isWhole, body} of answers) {
    const pieces = replica.piecesOf(body);
    const isInOrder = pieces.every((piece, at) => piece === at + 1);
    const outcome = `${status ?? error}, ${pieces.length} of ${PIECES} pieces${isInOrder ? '' : ', not in order'}, ${isWhole ? 'ends as complete' : 'broken off'}`;
    record.add(`${attemptId}: sent ${sentAt}, ended ${endedAt}: ${outcome}`);
    if (status === 200 && (!isInOrder || (isWhole && pieces.length < PIECES))) {
      violations.push(`ORDER: ${attemptId}: ${outcome}`);
    }
  }
  return violations;
});
