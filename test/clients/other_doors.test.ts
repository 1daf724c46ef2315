/** Peers that do not behave at the addresses that are not for callers. */
import * as ava from 'ava';
import * as crowd from '../support/crowd';
import * as gatewayProgram from '../support/gateway_program';

const test = ava.default;
const CONNECTIONS = 150;
const REQUESTS_A_PART = 500;
const FEW_DESCRIPTORS = 600;
/** Descriptors that a machine keeps for files. */
const FILE_DESCRIPTORS = 200;

const DOORS = [
  {name: 'readiness', path: '/readyz'},
  {name: 'metrics', path: '/metrics'},
  {name: 'peers', path: '/v1/state'},
] as const;

for (const {name, path} of DOORS) {
  test.serial(
    `clients: requests sent ahead to the address of ${name}, their answers unread, leave a gateway alive and within its machine`,
    async t => {
      const gateway = await gatewayProgram.GatewayProgram.start(t);
      const request = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
      const part = Buffer.from(request.repeat(REQUESTS_A_PART));
      const sending = new crowd.Crowd({
        port: gateway.ports[name],
        connections: CONNECTIONS,
        send: () => ({parts: crowd.endlessly(part)}),
        returns: true,
      });
      t.log(await sending.run(() => gateway.call()));
      await gateway.check();
      t.is((await gateway.readReadiness())?.status, 200);
    },
  );

  test.serial(
    `clients: idle connections to the address of ${name} beyond the descriptors of a machine leave a gateway alive and within it`,
    async t => {
      const gateway = await gatewayProgram.GatewayProgram.start(t, {
        descriptors: FEW_DESCRIPTORS,
      });
      const sending = new crowd.Crowd({
        port: gateway.ports[name],
        connections: FEW_DESCRIPTORS,
        send: () => ({parts: []}),
      });
      t.log(await sending.run(() => gateway.call()));
      await gateway.check(FEW_DESCRIPTORS - FILE_DESCRIPTORS);
      t.is((await gateway.readReadiness())?.status, 200);
    },
  );
}
