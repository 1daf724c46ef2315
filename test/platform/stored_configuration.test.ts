import * as ava from 'ava';
import * as jsonSlices from '../../src/platform/json_slices';
import * as objectCodec from '../../src/platform/object_codec';
import * as storedConfiguration from '../../src/platform/stored_configuration';
import * as testGateway from '../support/test_gateway';

const test = ava.default;

function sliceOf(value: unknown): jsonSlices.JsonSlice {
  return jsonSlices.JsonSlice.of(Buffer.from(JSON.stringify(value)));
}

function objectOf(spec: unknown, name = 'main'): object {
  return {meta: {name, revision: 7}, spec};
}

function newestVersion(events: readonly unknown[]): number | undefined {
  const text = sliceOf(events);
  return storedConfiguration.decodeNewest(text, 'main')?.version;
}

const SPECS: Readonly<Record<string, unknown>> = {
  'a configuration': testGateway.configurationSpec(3),
  'one without customers': testGateway.configurationSpec(3, {
    tenants: undefined,
  }),
  'entries that are none': testGateway.configurationSpec(3, {
    routes: [7, null, [], {}, testGateway.route('/ä/', 'streaming', 's')],
    tenants: [{name: 'c', apiKeys: ['k', 1], regionsAllowed: []}],
  }),
  'lists that are none': {version: 3, routes: {}, services: 'a', tenants: 1},
  'no version': {routes: []},
  text: JSON.stringify(testGateway.configurationSpec(3)),
  'malformed text': '{"version": 3, "routes": [{]}',
  null: null,
};

for (const [title, spec] of Object.entries(SPECS)) {
  test(`stored configuration: read entry by entry it is the same as read whole: ${title}`, t => {
    const whole = objectCodec.decodeObject(objectOf(spec))!;
    for (const object of [objectOf(spec), JSON.stringify(objectOf(spec))]) {
      t.deepEqual(storedConfiguration.decodeStored(sliceOf(object)), {
        name: 'main',
        revision: 7,
        value: objectCodec.decodeConfiguration(whole),
      });
    }
  });
}

test('stored configuration: of several events the newest that has a configuration counts', t => {
  const event = (version: number) => ({
    object: objectOf(testGateway.configurationSpec(version)),
  });
  const events = [event(1), event(2), event(3)];
  t.is(newestVersion(events), 3);
  const deleted = {...event(4), deleted: true};
  const other = {object: objectOf(testGateway.configurationSpec(5), 'other')};
  const unreadable = [{object: objectOf('{')}, {object: 7}, {}, null, 7, []];
  t.is(newestVersion([...events, deleted, other, ...unreadable]), 3);
  t.is(newestVersion([deleted, other]), undefined);
  t.is(newestVersion([]), undefined);
});
