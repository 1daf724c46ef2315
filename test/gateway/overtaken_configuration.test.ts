/** What a gateway answers while peers have a later configuration than it has. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;

for (const [title, path, key] of [
  ['unknown route', '/added-later/', testGateway.KEY],
  ['unknown key', '/read/a', 'key-added-later'],
] as const) {
  test(`overtaken configuration: a request with an ${title} is refused as not run, not denied`, async t => {
    const gateway = await testGateway.TestGateway.start(t, {
      'i-1': ['ledger', replicaStandin.succeed('read')],
    });
    const options = {headers: {Authorization: `Bearer ${key}`}};
    const {configuration} = gateway.process.state;
    configuration.recordAnnouncement(2, performance.now());
    const refused = await gateway.call(path, options);
    t.is(refused.status, 503);
    t.truthy(refused.headers['retry-after']);
    gateway.store.put('config', 'main', testGateway.configurationSpec(2));
    await gateway.until(() => configuration.version === 2);
    const denied = await gateway.call(path, options);
    t.true([401, 404].includes(denied.status));
  });
}
