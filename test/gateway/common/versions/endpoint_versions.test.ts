/** Versions that may have begun a stream. */
import * as ava from 'ava';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as endpointVersions from '../../../../src/gateway/common/versions/endpoint_versions';
import * as streamVersions from '../../../../src/gateway/common/versions/stream_versions';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const LIFETIME = streamVersions.STREAM_LIFETIME_MILLISECONDS;

/** Instances of the endpoint `e` with these versions. */
function instancesOf(
  ...versions: (string | undefined)[]
): Iterable<instanceTable.Instance> {
  const table = new instanceTable.InstanceTable();
  const records = versions.map((softwareVersion, index) =>
    gatewayRecords.instanceRecord({id: `i-${index}`, softwareVersion}),
  );
  table.replace(records, 0);
  return table.all();
}

test('endpoint versions: a single version is the only one that may have begun a stream', t => {
  const versions = new endpointVersions.EndpointVersions();
  t.is(versions.soleVersion('e', 0), undefined);
  versions.update(instancesOf('v1', 'v1'), 0);
  // Another version may have left just before this gateway started.
  t.is(versions.soleVersion('e', LIFETIME), undefined);
  t.is(versions.soleVersion('e', LIFETIME + 1), 'v1');
  t.is(versions.soleVersion('e', 10 * LIFETIME), 'v1');
});

test('endpoint versions: a version that has left counts as long as its streams may be resumed', t => {
  const versions = new endpointVersions.EndpointVersions();
  versions.update(instancesOf('v1'), 0);
  versions.update(instancesOf('v2'), 5 * LIFETIME);
  t.true(versions.isMixed('e', 6 * LIFETIME));
  t.is(versions.soleVersion('e', 6 * LIFETIME), undefined);
  t.is(versions.soleVersion('e', 6 * LIFETIME + 1), 'v2');
});

test('endpoint versions: the second version is announced once', t => {
  const versions = new endpointVersions.EndpointVersions();
  const mixed: string[] = [];
  versions.onDidMix.subscribe(endpoint => mixed.push(endpoint));
  versions.update(instancesOf('v1'), 0);
  versions.update(instancesOf('v1', 'v2'), 1);
  versions.update(instancesOf('v1', 'v2', 'v2'), 2);
  t.deepEqual(mixed, ['e']);
});

test('endpoint versions: an unknown version is no other one', t => {
  const versions = new endpointVersions.EndpointVersions();
  versions.update(instancesOf('v1', undefined), 0);
  t.true(versions.isMixed('e', 0));
});
