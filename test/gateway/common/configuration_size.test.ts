import * as ava from 'ava';
import * as configurationSize from '../../../src/gateway/common/configuration_size';
import * as objectCodec from '../../../src/platform/object_codec';
import * as testGateway from '../../support/test_gateway';

const test = ava.default;

function sizeOf(overrides: object): configurationSize.ConfigurationSize {
  const spec = testGateway.configurationSpec(1, overrides);
  const stored = {name: 'main', revision: 1, spec};
  return configurationSize.measure(objectCodec.decodeConfiguration(stored)!);
}

test('configuration size: routes, customers and their texts count', t => {
  const none = sizeOf({routes: [], tenants: []});
  t.deepEqual(none, configurationSize.NO_CONFIGURATION);
  const some = sizeOf({
    routes: [testGateway.route('/a/', 'idempotent', 'ledger')],
    tenants: [{name: 'c', apiKeys: ['key', 'key-2'], regionsAllowed: ['r']}],
  });
  t.is(some.routes, 1);
  t.is(some.customers, 1);
  const texts = ['route/a/', testGateway.HOST, '/a/', 'ledger'];
  t.is(some.textLength, [...texts, 'c', 'key', 'key-2', 'r'].join('').length);
  t.true(some.memoryBytes > some.textLength);
});

test('configuration size: a configuration without customers is measured', t => {
  t.is(sizeOf({tenants: undefined}).customers, 0);
});
