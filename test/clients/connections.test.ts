/** Many callers whose requests never begin, or whose heads never end. */
import * as ava from 'ava';
import * as countingReplica from '../support/counting_replica';
import * as crowd from '../support/crowd';
import * as gatewayProgram from '../support/gateway_program';

const test = ava.default;
/** Descriptors of the machine in the test of idle connections. */
const FEW_DESCRIPTORS = 600;
/** Descriptors that a machine keeps for files. */
const FILE_DESCRIPTORS = 200;
const HEAD_CROWD = 2_000;
const LONG_HEADER = `X-Long: ${'h'.repeat(60_000)}`;

test.serial(
  'clients: idle connections beyond the descriptors of a machine leave a gateway alive and within it',
  async t => {
    const descriptors = FEW_DESCRIPTORS - FILE_DESCRIPTORS;
    const gateway = await gatewayProgram.GatewayProgram.start(t, {
      descriptors: FEW_DESCRIPTORS,
    });
    const sending = new crowd.Crowd({
      port: gateway.ports.callers,
      connections: FEW_DESCRIPTORS,
      send: () => ({parts: []}),
    });
    t.log(await sending.run(() => gateway.call()));
    await gateway.check(descriptors);
  },
);

test.serial(
  'clients: connections for requests under way beyond the descriptors of a machine leave a gateway alive and within it',
  async t => {
    const descriptors = FEW_DESCRIPTORS - FILE_DESCRIPTORS;
    const gateway = await gatewayProgram.GatewayProgram.start(t, {
      descriptors: FEW_DESCRIPTORS,
    });
    const sending = new crowd.Crowd({
      port: gateway.ports.callers,
      connections: descriptors,
      send: () =>
        crowd.unfinished(
          ['Content-Length: 0'],
          () => [],
          countingReplica.UNANSWERED_PATH,
        ),
    });
    t.log(await sending.run(() => gateway.call()));
    await gateway.check(descriptors);
  },
);

test.serial(
  'clients: heads that stop short leave a gateway alive and within its machine',
  async t => {
    const gateway = await gatewayProgram.GatewayProgram.start(t);
    const unfinishedHead = Buffer.from(
      crowd.head('0000000000000000', [LONG_HEADER]).trimEnd(),
    );
    const sending = new crowd.Crowd({
      port: gateway.ports.callers,
      connections: HEAD_CROWD,
      send: () => ({parts: [unfinishedHead]}),
      returns: true,
    });
    t.log(await sending.run(() => gateway.call()));
    await gateway.check();
  },
);

for (const [title, line] of [
  ['chunk extensions', '1;'],
  ['trailers', '1\r\nc\r\n0\r\nX-Trailer: '],
]) {
  test.serial(
    `clients: ${title} without end leave a gateway alive and within its machine`,
    async t => {
      const gateway = await gatewayProgram.GatewayProgram.start(t);
      const sending = new crowd.Crowd({
        port: gateway.ports.callers,
        connections: 60,
        send: () =>
          crowd.unfinished(['Transfer-Encoding: chunked'], function* () {
            yield Buffer.from(line);
            yield* crowd.endlessly(Buffer.alloc(16_384, 'e'));
          }),
        returns: true,
      });
      t.log(await sending.run(() => gateway.call()));
      await gateway.check();
    },
  );
}
