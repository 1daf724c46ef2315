/** Large configurations in quick succession beside ordinary callers, in a process with the flags of deployments. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as gatewayProgram from '../support/gateway_program';
import * as largeConfiguration from '../support/large_configuration';

const test = ava.default;
const CHANGE_MILLISECONDS = 250;
const RUN_MILLISECONDS = 8_000;
const STREAMS = 100;
const SIZES: readonly largeConfiguration.ConfigurationSize[] = [
  {routes: 44, customers: 24},
  {routes: 2_800, customers: 24},
  {routes: 6_000, customers: 24},
  {routes: 6_000, customers: 2_000},
  {routes: 20_000, customers: 10_000},
];

for (const size of SIZES) {
  const {routes, customers} = size;
  test.serial(
    `large configurations: a gateway with ${routes} routes and ${customers} customers that change four times a second lives within its machine and answers all`,
    async t => {
      const gateway = await gatewayProgram.GatewayProgram.start(t, {
        configuration: largeConfiguration.configurationSpec(1, size),
      });
      const writer = new replicaStandin.ReplicaStandin(
        'i-2',
        largeConfiguration.streamSlowly,
      );
      const address = await writer.listen();
      t.teardown(() => writer.close());
      gateway.store.put(
        'servers',
        'i-2',
        platformObjects.registrationSpec('writers', address),
      );
      await gateway.untilLogged('instances-changed', /"i-2"/);
      let version = 1;
      const changes = setInterval(() => {
        version++;
        gateway.store.put(
          'config',
          'main',
          largeConfiguration.configurationSpec(version, size),
        );
      }, CHANGE_MILLISECONDS);
      t.teardown(() => clearInterval(changes));
      const callers = new largeConfiguration.OrdinaryCallers(
        gateway.ports.callers,
        STREAMS,
      );
      await callers.run(RUN_MILLISECONDS);
      clearInterval(changes);
      t.log(`${callers.failures.length} of ${callers.sentCount} failed`);
      t.deepEqual(callers.failures.slice(0, 3), []);
      await gateway.check();
    },
  );
}

test.serial(
  'large configurations: one that the heap has no room for is not taken, and the one in force stays until the next',
  async t => {
    const small = {routes: 10, customers: 10};
    const gateway = await gatewayProgram.GatewayProgram.start(t, {
      configuration: largeConfiguration.configurationSpec(1, small),
    });
    const put = (version: number, size: largeConfiguration.ConfigurationSize) =>
      gateway.store.put(
        'config',
        'main',
        largeConfiguration.configurationSpec(version, size),
      );
    put(2, {routes: 10, customers: 75_000});
    await gateway.untilLogged('configuration-too-large', /max_bytes/);
    const answer = await gateway.call('/read/a', '');
    t.is(answer?.status, 200);
    put(3, {routes: 50, customers: 10});
    await gateway.untilLogged(
      'configuration-in-force',
      /"version":3,"previous":1/,
    );
    await gateway.check();
  },
);
