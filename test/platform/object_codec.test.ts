/** Decoding of the store's objects, including malformed ones of other writers. */
import * as ava from 'ava';
import * as configuration from '../../src/gateway/common/configuration';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as fieldReader from '../../src/platform/field_reader';
import * as objectCodec from '../../src/platform/object_codec';

const test = ava.default;
const ENTRY = {
  service: 'writers',
  address: '10.0.0.1:80',
  zone: 'a',
  slots: 24,
  state: 'ready',
  warmLeftMs: 20,
  version: 'v1.2',
  born: 1_700_000_000_000,
  seq: 3,
};

function decode(spec: unknown): instanceTable.InstanceRecord | undefined {
  const stored = objectCodec.decodeObject({
    meta: {name: 'i-1', revision: 4},
    spec,
  });
  return stored && objectCodec.decodeInstance(stored);
}

test('registration: a complete entry decodes to an instance', t => {
  t.deepEqual(decode(ENTRY), {
    id: 'i-1',
    endpoint: 'writers',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    state: instanceTable.InstanceState.Ready,
    slots: 24,
    warmUpMilliseconds: 20,
    warmUpRevision: 4,
    startedAt: 1_700_000_000_000,
    softwareVersion: 'v1.2',
  });
});

for (const slots of [0, -3, '24', null]) {
  test(`registration: an entry with ${JSON.stringify(slots)} slots has one`, t => {
    t.is(decode({...ENTRY, slots})?.slots, 1);
  });
}

for (const [title, spec] of [
  ['no service', {...ENTRY, service: undefined}],
  ['a service of another type', {...ENTRY, service: 7}],
  ['no address', {...ENTRY, address: undefined}],
  ['an invalid address', {...ENTRY, address: 'replica-1'}],
  ['the port 0', {...ENTRY, address: '10.0.0.1:0'}],
  ['a port below 0', {...ENTRY, address: '10.0.0.1:-1'}],
  ['the port 99999', {...ENTRY, address: '10.0.0.1:99999'}],
  ['an IP out of range', {...ENTRY, address: '10.0.0.256:80'}],
  ['an unknown state', {...ENTRY, state: 'resting'}],
  // Looked up in an object, the name of a prototype member would be a state.
  ['the state "constructor"', {...ENTRY, state: 'constructor'}],
  ['a list', [1, 2]],
  ['null', null],
  ['bytes that are not JSON', '{"service": "wri'],
] as const) {
  test(`registration: an entry with ${title} decodes to no instance`, t => {
    t.is(decode(spec), undefined);
  });
}

for (const value of [undefined, null, 1, 'x', [], {}, {meta: {}}, {meta: 1}]) {
  test(`store: ${JSON.stringify(value)} is not an object of the store`, t => {
    t.is(objectCodec.decodeObject(value), undefined);
  });
}

test('configuration: without a listener no message is built, so that a million wrong values do not block a gateway', t => {
  const reader = new fieldReader.FieldReader(
    {texts: [7], split: [{wt: 'x'}], flag: 1, number: 'x'},
    () => {
      t.fail();
      return '';
    },
    undefined,
  );
  t.is(reader.report, undefined);
  t.deepEqual(reader.texts('texts'), []);
  t.is(reader.flag('flag'), false);
  t.is(reader.number('number'), 0);
  const [part] = reader.objects('split');
  t.is(part.report, undefined);
  t.is(part.number('wt'), 0);
});

test('configuration: unreadable routes are left out and the others kept', t => {
  const good = {
    name: 'r',
    hostname: 'H.example',
    pathPrefix: '/a/',
    type: 'streaming',
    split: [{service: 's', wt: 90}],
    timeoutMs: 5,
    resumable: true,
  };
  const stored = objectCodec.decodeObject({
    meta: {name: 'main', revision: 1},
    spec: {
      version: 3,
      routes: [
        {},
        null,
        good,
        {...good, type: 'other'},
        {...good, type: 'constructor'},
      ],
    },
  })!;
  const decoded = objectCodec.decodeConfiguration(stored)!;
  t.is(decoded.routes.length, 1);
  const [route] = decoded.routes;
  t.is(route.host, 'h.example');
  t.is(route.kind, configuration.RequestKind.Streaming);
  t.deepEqual(route.endpoints, [{endpoint: 's', weight: 90}]);
  t.is(decoded.customers, undefined);
});

for (const [value, expected] of [
  [undefined, undefined],
  [null, undefined],
  [
    ['south', 'north'],
    ['south', 'north'],
  ],
  // A route or tenant without homes may say so by an empty list.
  [[], undefined],
  [['south', 7], ['south']],
  ['south', []],
] as const) {
  test(`configuration: regionsAllowed ${JSON.stringify(value)} of a route and a tenant allows ${expected === undefined ? 'all regions' : JSON.stringify(expected)}`, t => {
    const stored = objectCodec.decodeObject({
      meta: {name: 'main', revision: 1},
      spec: {
        version: 3,
        routes: [
          {
            hostname: 'h.example',
            pathPrefix: '/a/',
            type: 'streaming',
            regionsAllowed: value,
          },
        ],
        tenants: [{name: 'customer', apiKeys: ['k'], regionsAllowed: value}],
      },
    })!;
    const decoded = objectCodec.decodeConfiguration(stored)!;
    t.deepEqual(decoded.routes[0].allowedRegions, expected);
    t.deepEqual(decoded.customers![0].allowedRegions, expected);
  });
}

for (const [warmLeftMs, expected] of [
  [-1, 0],
  [NaN, 0],
  [Infinity, 0],
  ['20', 0],
  [null, 0],
  [1e9, 3_600_000],
] as const) {
  // A time without end would keep an instance at its ramp for good.
  test(`registration: ${JSON.stringify(warmLeftMs)} (${String(warmLeftMs)}) milliseconds to warm up are read as ${expected}`, t => {
    t.is(decode({...ENTRY, warmLeftMs})!.warmUpMilliseconds, expected);
  });
}

for (const [title, fields, expected] of [
  ['a ramp', {rampPerS: 5, warmupS: 8}, [5, 8_000]],
  ['no ramp', {}, [0, 0]],
  ['a negative ramp', {rampPerS: -5, warmupS: -1}, [0, 0]],
  ['texts', {rampPerS: '5', warmupS: '8'}, [0, 0]],
] as const) {
  // A wrong ramp would hold instances back that take every request.
  test(`configuration: a service with ${title} is decoded`, t => {
    const decoded = objectCodec.decodeConfiguration({
      name: 'main',
      revision: 1,
      spec: {version: 1, services: [{name: 'writers', ...fields}]},
    });
    const [endpoint] = decoded!.endpoints;
    t.deepEqual(
      [endpoint.rampRequestsPerSecond, endpoint.warmUpMilliseconds],
      [...expected],
    );
  });
}
