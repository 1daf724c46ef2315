import * as ava from 'ava';
import * as countingReplica from '../support/counting_replica';
import * as gatewayProgram from '../support/gateway_program';

const test = ava.default;

test.serial(
  'memory: a process tells its use of the heap and of the machine, and the size of its configuration',
  async t => {
    const gateway = await gatewayProgram.GatewayProgram.start(t);
    await gateway.untilLogged('"memory"', /heap_limit_bytes/);
    t.true(
      gateway.logLines.some(line => /"machine_bytes":178000000/.test(line)),
    );
    const metrics = await countingReplica.request(
      gateway.ports.metrics,
      '/metrics',
      {},
      '',
      5_000,
    );
    for (const part of ['heap', 'heap-limit', 'external', 'resident']) {
      const pattern = `gateway_memory_bytes\\{part="${part}"[^}]*\\} [1-9]`;
      t.regex(metrics!.body, new RegExp(pattern));
    }
    t.regex(
      metrics!.body,
      /gateway_configuration_size\{part="routes"[^}]*\} 2\n/,
    );
  },
);
