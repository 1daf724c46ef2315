/**
 * Random mixes of callers that do not behave. The variable MIX_SEEDS names
 * other seeds, as first-last.
 */
import * as ava from 'ava';
import * as pureRand from 'pure-rand';
import * as countingReplica from '../support/counting_replica';
import * as crowd from '../support/crowd';
import * as gatewayProgram from '../support/gateway_program';

const test = ava.default;
const CONNECTIONS = 150;
const {MAX_BODY_BYTES} = gatewayProgram;
const [FIRST_SEED, LAST_SEED] = (process.env.MIX_SEEDS ?? '1-3')
  .split('-')
  .map(Number);
const BODY = Buffer.alloc(MAX_BODY_BYTES, 'b');

/** Draws numbers from 0 to below a bound. */
type Draw = (bound: number) => number;

function* requests(target: string, bodyBytes: number): Iterable<Buffer> {
  for (;;) {
    const lines = [`Content-Length: ${bodyBytes}`];
    yield Buffer.from(
      crowd.head(countingReplica.nextAttemptId(), lines, target),
    );
    yield BODY.subarray(0, bodyBytes);
  }
}

/** Ways of sending; each call of one gives another connection. */
const WAYS: readonly ((draw: Draw) => crowd.Sending)[] = [
  draw =>
    crowd.unfinished([`Content-Length: ${MAX_BODY_BYTES}`], () =>
      crowd.pieces(
        BODY.subarray(0, 1 + draw(MAX_BODY_BYTES - 1)),
        1_000 + draw(100_000),
      ),
    ),
  draw =>
    crowd.unfinished(['Transfer-Encoding: chunked'], () => {
      const size = 1 + draw(draw(2) === 0 ? 20 : 65_536);
      const chunk = `${size.toString(16)}\r\n${'c'.repeat(size)}\r\n`;
      const part = Buffer.from(chunk.repeat(Math.ceil(65_536 / chunk.length)));
      return Array<Buffer>(1 + draw(60)).fill(part);
    }),
  draw => ({parts: requests('/file/crowd', draw(200_000))}),
  () => ({parts: requests(countingReplica.LARGE_ANSWER_PATH, 0)}),
  () => ({parts: crowd.endlessly(Buffer.from('GET / HTTP/1.1\r\n\r\n'))}),
  draw => ({
    parts: [
      Buffer.from(`GET / HTTP/1.1\r\nX-Long: ${'h'.repeat(draw(60_000))}`),
    ],
  }),
  () => ({parts: []}),
  () =>
    crowd.unfinished(
      ['Content-Length: 0'],
      () => [],
      countingReplica.UNANSWERED_PATH,
    ),
];

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  test.serial(
    `clients: a mix of all ways with seed ${seed} leaves a gateway alive and within its machine`,
    async t => {
      const generator = pureRand.xoroshiro128plus(seed);
      const draw: Draw = bound =>
        pureRand.unsafeUniformIntDistribution(0, bound - 1, generator);
      const gateway = await gatewayProgram.GatewayProgram.start(t);
      const sending = new crowd.Crowd({
        port: gateway.ports.callers,
        connections: CONNECTIONS,
        send: () => WAYS[draw(WAYS.length)](draw),
        returns: true,
        reads: draw(2) === 0,
      });
      t.log(await sending.run(() => gateway.call()));
      await gateway.check();
      const seen = new Set(
        gateway.replica.requests.map(each => each.attemptId),
      );
      t.deepEqual(
        sending.refusedIds.filter(id => seen.has(id)),
        [],
      );
    },
  );
}
