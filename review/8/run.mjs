/** All gateways are killed and start again; callers take up their streams. See claim.txt. */
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';
import * as bed from '../lib-2/bed.mjs';
import * as replica from '../lib-2/replica.mjs';

const PIECES = 200;
const STREAMS = 24;
const BUDGET_MS = 24_000;
const DOWN_MS = 1_000;
/** The desired state comes after the replicas have registered, and before there is traffic. */
const STATE_AFTER_MS = 1_500;

const headersOf = index => ({
  'X-Rhubarbvane-Model': 'm',
  'X-Rhubarbvane-Token-Count': `100,${PIECES * 4}`,
  'X-Rhubarbvane-Prompt-Prefix': `aa:50,b${index}:50`,
  'X-Rhubarbvane-Length-Hint': String(PIECES * 4),
});

await bed.main(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  for (let index = 1; index <= 4; index++) {
    const writer = new replica.Replica(deployment, {id: `writer-${index}`, service: 'writers', ip: `${deployment.net}.${110 + index}`, pieces: PIECES, pieceMs: 40});
    deployment.replicas.push(writer);
    await writer.listen();
    writer.register();
  }
  const configure = () => {
    deployment.configure(
      [bed.route('/draft/', 'streaming', 'writers', {timeoutMs: BUDGET_MS, sloMs: 1_800, affinity: true, resumable: true, attempts: 2, itlTargetMs: 180})],
      [bed.engineService('writers')],
    );
    record.add('store: the first desired state is confirmed');
  };
  setTimeout(configure, STATE_AFTER_MS);
  await deployment.startGateways(2);
  await bed.sleep(3_000);
  // Replicas write their entries again and again, with nothing but another `seq`.
  let seq = 1;
  const beats = setInterval(() => {
    seq++;
    deployment.replicas.forEach(each => each.register(seq));
  }, 1_200);
  deployment.cleanups.push(() => clearInterval(beats));
  let startedAt = Infinity;
  const takeUps = [];
  const begun = [];
  /** A caller that takes its stream up again after a broken connection or a refusal, within its time budget. */
  const follow = async index => {
    const firstAt = performance.now();
    let last = 0;
    let firstId;
    for (let attempt = 1; ; attempt++) {
      const attemptId = `draft-${index}-${attempt}`;
      const left = Math.round(BUDGET_MS - (performance.now() - firstAt));
      if (left <= 0) {
        return;
      }
      const gateway = deployment.gateways[(index + attempt) % 2];
      const isTakeUp = last > 0;
      const answer = await bed.call(gateway, {
        target: '/draft/1',
        attemptId,
        body: 'x'.repeat(200),
        deadlineMs: left,
        headers: {...headersOf(index), ...(isTakeUp ? {'Last-Event-Id': String(last), Resumes: firstId} : {})},
      });
      const pieces = replica.piecesOf(answer.body);
      const outcome = `${answer.status ?? answer.error}, ${pieces.length} pieces${pieces.length > 0 ? ` from ${pieces[0]} to ${pieces.at(-1)}` : ''}${answer.isWhole ? '' : ', broken off'}`;
      record.add(`${attemptId} ${isTakeUp ? `takes ${firstId} up after piece ${last}` : 'begins'} at ${gateway.name}: sent ${answer.sentAt}, ended ${answer.endedAt}: ${outcome}`);
      const isInTouch = answer.sentAt > startedAt + bed.BOUNDS.contactMs;
      if (isTakeUp && isInTouch) {
        takeUps.push({stream: firstId, goesOn: pieces.length > 0});
      } else if (!isTakeUp && isInTouch) {
        begun.push(pieces.length > 0);
      }
      if (pieces.length > 0) {
        firstId ??= attemptId;
        last = pieces.at(-1);
      }
      if (last >= PIECES) {
        return;
      }
      const retryAfter = Number(answer.headers?.['retry-after'] ?? 0.5);
      await bed.sleep(1_000 * Math.min(retryAfter, left / 3_000));
    }
  };
  const streams = Array.from({length: STREAMS}, (_, index) => follow(index));
  await bed.sleep(3_000);
  if (!bed.isCalm) {
    for (const gateway of deployment.gateways) {
      gateway.signal('SIGKILL');
    }
    await bed.sleep(DOWN_MS);
    deployment.gateways.forEach(gateway => gateway.start(false));
    await deployment.whenReady();
    startedAt = bed.now();
    record.add('both gateways are back');
    await bed.sleep(bed.BOUNDS.contactMs + 200);
  }
  // New streams, for comparison.
  streams.push(...Array.from({length: STREAMS}, (_, index) => follow(STREAMS + index)));
  await Promise.all(streams);
  const taken = new Map();
  takeUps.forEach(({stream, goesOn}) => taken.set(stream, taken.get(stream) === true || goesOn));
  const goOn = [...taken.values()].filter(Boolean).length;
  const begin = begun.filter(Boolean).length;
  record.add(`machines in touch: ${goOn} of ${taken.size} streams that callers took up went on; ${begin} of ${begun.length} new streams began`);
  const isBroken = taken.size >= 12 && goOn / taken.size < 0.5 * (begin / Math.max(1, begun.length));
  return isBroken ? [`LOST: ${goOn} of ${taken.size} streams that callers took up went on, though ${begin} of ${begun.length} new ones began`] : [];
});
