/** Many callers whose bodies of legal size stop short of their end. */
import * as ava from 'ava';
import * as crowd from '../support/crowd';
import * as gatewayProgram from '../support/gateway_program';

const test = ava.default;
const {MAX_BODY_BYTES} = gatewayProgram;
const KILOBYTE = 1_024;

const WITH_LENGTH = [`Content-Length: ${MAX_BODY_BYTES}`];
const CHUNKED = ['Transfer-Encoding: chunked'];
/** All of a body but its last byte. */
const SHORT_BODY = Buffer.alloc(MAX_BODY_BYTES - 1, 'b');

/** A chunk of the size, as it is sent. */
function chunk(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'c'.repeat(bytes)}\r\n`);
}

/** Chunks that make up almost a whole body, sent in parts of about 64 KiB. */
function* chunks(bytes: number): Iterable<Buffer> {
  const count = Math.floor((MAX_BODY_BYTES - 1) / bytes);
  const perPart = Math.max(1, Math.floor((64 * KILOBYTE) / bytes));
  const part = Buffer.concat(Array(perPart).fill(chunk(bytes)));
  for (let sent = 0; sent + perPart <= count; sent += perPart) {
    yield part;
  }
}

interface BodyCrowd {
  readonly title: string;
  readonly connections: number;
  readonly send: () => crowd.Sending;
}

const CROWDS: readonly BodyCrowd[] = [
  {
    title: 'at once',
    connections: 120,
    send: () => crowd.unfinished(WITH_LENGTH, () => [SHORT_BODY]),
  },
  {
    title: 'in pieces of 64 KiB',
    connections: 120,
    send: () =>
      crowd.unfinished(WITH_LENGTH, () =>
        crowd.pieces(SHORT_BODY, 64 * KILOBYTE),
      ),
  },
  {
    title: 'in pieces of 700 bytes',
    connections: 120,
    send: () =>
      crowd.unfinished(WITH_LENGTH, () =>
        crowd.pieces(SHORT_BODY.subarray(0, 2_000_000), 700),
      ),
  },
  {
    title: 'in chunks of 64 KiB',
    connections: 120,
    send: () => crowd.unfinished(CHUNKED, () => chunks(64 * KILOBYTE)),
  },
  {
    title: 'in chunks of 16 bytes',
    connections: 60,
    send: () => crowd.unfinished(CHUNKED, () => chunks(16)),
  },
  {
    title: 'in chunks of 1 byte',
    connections: 60,
    send: () => crowd.unfinished(CHUNKED, () => chunks(1)),
  },
];

for (const {title, connections, send} of CROWDS) {
  for (const returns of [false, true]) {
    const ending = returns ? ' by callers that come back' : '';
    test.serial(
      `clients: bodies sent ${title} and never ended${ending} leave a gateway alive and within its machine`,
      async t => {
        const gateway = await gatewayProgram.GatewayProgram.start(t);
        const sending = new crowd.Crowd({
          port: gateway.ports.callers,
          connections,
          send,
          returns,
          reads: true,
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
}
