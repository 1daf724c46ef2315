/** Many callers that send requests ahead and do not read the answers. */
import * as ava from 'ava';
import * as countingReplica from '../support/counting_replica';
import * as crowd from '../support/crowd';
import * as gatewayProgram from '../support/gateway_program';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const CONNECTIONS = 150;
const REQUESTS_A_PART = 500;
const LARGE_BODY = 'b'.repeat(200_000);

/** The request many times over. */
function repeated(request: string): Iterable<Buffer> {
  return crowd.endlessly(Buffer.from(request.repeat(REQUESTS_A_PART)));
}

/** Requests with key, route and ids of their own. */
function* accepted(target: string, body: string): Iterable<Buffer> {
  for (;;) {
    const id = countingReplica.nextAttemptId();
    const lines = [`Content-Length: ${body.length}`];
    yield Buffer.from(crowd.head(id, lines, target) + body);
  }
}

interface AheadCrowd {
  readonly title: string;
  readonly parts: () => Iterable<Buffer>;
}

const CROWDS: readonly AheadCrowd[] = [
  {
    title: 'requests without a host',
    parts: () => repeated('GET / HTTP/1.1\r\n\r\n'),
  },
  {
    title: 'requests with a host alone',
    parts: () =>
      repeated(`GET /file/a HTTP/1.1\r\nHost: ${testGateway.HOST}\r\n\r\n`),
  },
  {
    title: 'requests with key and route',
    parts: () => accepted('/file/crowd', ''),
  },
  {
    title: 'requests with key, route and bodies of 200 kB',
    parts: () => accepted('/file/crowd', LARGE_BODY),
  },
  {
    title: 'requests for large answers',
    parts: () => accepted(countingReplica.LARGE_ANSWER_PATH, ''),
  },
];

for (const {title, parts} of CROWDS) {
  for (const returns of [false, true]) {
    const ending = returns ? ' by callers that come back' : '';
    test.serial(
      `clients: ${title} sent ahead${ending}, their answers unread, leave a gateway alive and within its machine`,
      async t => {
        const gateway = await gatewayProgram.GatewayProgram.start(t);
        const sending = new crowd.Crowd({
          port: gateway.ports.callers,
          connections: CONNECTIONS,
          send: () => ({parts: parts()}),
          returns,
        });
        t.log(await sending.run(() => gateway.call()));
        await gateway.check();
      },
    );
  }
}

test.serial(
  'clients: large answers that are asked for once and not read leave a gateway alive and within its machine',
  async t => {
    const gateway = await gatewayProgram.GatewayProgram.start(t);
    const sending = new crowd.Crowd({
      port: gateway.ports.callers,
      connections: CONNECTIONS,
      send: () =>
        crowd.unfinished(
          ['Content-Length: 0'],
          () => [],
          countingReplica.LARGE_ANSWER_PATH,
        ),
    });
    t.log(await sending.run(() => gateway.call()));
    await gateway.check();
  },
);
