/** What decoding a configuration file leaves out or replaces is reported with its place, and hostile text is survived. */
import * as ava from 'ava';
import * as configuration from '../../src/gateway/common/configuration';
import * as configurationFile from '../../src/platform/configuration_file';

const test = ava.default;

const ROUTE = {
  name: 'drafts',
  hostname: 'h.example',
  pathPrefix: '/drafts/',
  type: 'streaming',
  service: 'writers',
};
const SERVICE = {name: 'writers'};
const TENANT = {name: 'one', apiKeys: ['secret-1']};

interface Decoded {
  readonly value: configuration.Configuration | undefined;
  readonly issues: string[];
}

function decodeText(text: string): Decoded {
  const issues: string[] = [];
  const value = configurationFile
    .decodeConfigurationText(text, (place, message) =>
      issues.push(`${place}: ${message}`),
    )
    ._unsafeUnwrap();
  return {value, issues};
}

function decode(spec: unknown): Decoded {
  return decodeText(JSON.stringify({meta: {name: 'main'}, spec}));
}

const route = (change: object) => ({routes: [{...ROUTE, ...change}]});
const service = (change: object) => ({services: [{...SERVICE, ...change}]});
const tenant = (change: object) => ({tenants: [{...TENANT, ...change}]});

// One case for every field, so that a value that gateways would ignore in silence is reported.
for (const [change, ...expected] of [
  [
    route({hostname: undefined}),
    'route "drafts": hostname: saw nothing, expected a text; the entry is left out',
  ],
  [
    route({pathPrefix: ''}),
    'route "drafts": pathPrefix: saw an empty text, expected a text; the entry is left out',
  ],
  [
    route({type: 'stream'}),
    'route "drafts": type: saw "stream", expected one of idempotent, non_idempotent, streaming; the entry is left out',
  ],
  [
    route({type: 'constructor'}),
    'route "drafts": type: saw "constructor", expected one of idempotent, non_idempotent, streaming; the entry is left out',
  ],
  [
    route({name: 7}),
    'route "/drafts/": name: saw a number, expected a text; it is ignored',
  ],
  [
    route({timeoutMs: '5'}),
    'route "drafts": timeoutMs: saw a text, expected a number; 60000 is used',
  ],
  [
    route({timeoutMs: 500, sloMs: {}}),
    'route "drafts": sloMs: saw an object, expected a number; 500 is used',
  ],
  [
    route({itlTargetMs: []}),
    'route "drafts": itlTargetMs: saw a list, expected a number; 0 is used',
  ],
  [
    route({priority: true}),
    'route "drafts": priority: saw a boolean, expected a number; 0 is used',
  ],
  [
    route({attempts: 0}),
    'route "drafts": attempts: saw 0, expected at least 1; 1 is used',
  ],
  [
    route({public: 'yes'}),
    'route "drafts": public: saw a text, expected true or false; false is used',
  ],
  [
    route({affinity: 1}),
    'route "drafts": affinity: saw a number, expected true or false; false is used',
  ],
  [
    route({resumable: 1}),
    'route "drafts": resumable: saw a number, expected true or false; false is used',
  ],
  [
    route({service: 7}),
    'route "drafts": service: saw a number, expected a text; it is ignored',
  ],
  [
    route({split: {}}),
    'route "drafts": split: saw an object, expected a list; it is ignored',
  ],
  [
    route({split: [7, {service: 'writers', wt: '1'}]}),
    'route "drafts": split, entry 1: saw a number, expected an object; it is left out',
    'route "drafts": split, entry 2, wt: saw a text, expected a number; 0 is used',
  ],
  [
    route({regionsAllowed: 'south'}),
    'route "drafts": regionsAllowed: saw a text, expected a list; no region is allowed',
  ],
  [
    route({regionsAllowed: ['south', 7]}),
    'route "drafts": regionsAllowed, entry 2: saw a number, expected a text; it is left out',
  ],
  [
    {routes: {}},
    'configuration: routes: saw an object, expected a list; it is ignored',
  ],
  [
    {routes: [ROUTE, null]},
    'route (entry 2): saw nothing, expected an object; it is left out',
  ],
  [
    {routes: [{}]},
    'route (entry 1): hostname: saw nothing, expected a text; the entry is left out',
    'route (entry 1): pathPrefix: saw nothing, expected a text; the entry is left out',
    'route (entry 1): type: saw nothing, expected a text; the entry is left out',
  ],
  [
    service({name: ''}),
    'service (entry 1): name: saw an empty text, expected a text; the entry is left out',
  ],
  [
    service({healthPath: 7}),
    'service "writers": healthPath: saw a number, expected a text; it is ignored',
  ],
  [
    service({maxConns: '7'}),
    'service "writers": maxConns: saw a text, expected a number; 100 is used',
  ],
  [
    service({rampPerS: -5}),
    'service "writers": rampPerS: saw -5, expected at least 0; 0 is used',
  ],
  [
    service({warmupS: 7_200}),
    'service "writers": warmupS: saw 7200, expected at most 3600; 3600 is used',
  ],
  [
    service({runtime: 'engine'}),
    'service "writers": runtime: saw a text, expected an object; it is ignored',
  ],
  [
    service({runtime: {kvCap: '7', stride: 0}}),
    'service "writers": runtime, kvCap: saw a text, expected a number; 0 is used',
    'service "writers": runtime, stride: saw 0, expected at least 1; 1 is used',
  ],
  [
    tenant({name: undefined}),
    'customer (entry 1): name: saw nothing, expected a text; the entry is left out',
  ],
  [
    tenant({apiKeys: 'secret-1'}),
    'customer "one": apiKeys: saw a text, expected a list; it is ignored',
  ],
  [
    tenant({apiKeys: ['secret-1', 4711]}),
    'customer "one": apiKeys, entry 2: saw a number, expected a text; it is left out',
  ],
  [
    tenant({priority: '1'}),
    'customer "one": priority: saw a text, expected a number; it is ignored',
  ],
  [
    {tenants: {}},
    'configuration: tenants: saw an object, expected a list; it is ignored',
  ],
  [
    {limits: 7},
    'configuration: limits: saw a number, expected an object; it is ignored',
  ],
  [
    {limits: {maxHeaderBytes: '7'}},
    'configuration: limits, maxHeaderBytes: saw a text, expected a number; 16384 is used',
  ],
  [
    {version: '1'},
    'configuration: version: saw a text, expected a number; the configuration is not read',
  ],
] as const) {
  test(`configuration file: ${JSON.stringify(change)} is reported`, t => {
    const {issues} = decode({version: 1, ...change});
    t.deepEqual(issues, [...expected]);
    // Keys must not reach a terminal or a log, whatever is wrong with them.
    t.false(issues.some(each => /secret|4711/.test(each)));
  });
}

test('configuration file: nothing is reported of a complete configuration, with null for what is absent', t => {
  const {value, issues} = decode({
    version: 1,
    routes: [{...ROUTE, regionsAllowed: null, split: null, priority: null}],
    services: [{...SERVICE, runtime: null}],
    tenants: [{...TENANT, priority: null}],
    limits: null,
  });
  t.deepEqual(issues, []);
  t.is(value!.routes.length, 1);
  t.is(value!.customers!.length, 1);
});

for (const [title, text] of [
  ['the spec alone', '{"version": 3}'],
  [
    'an object',
    '{"meta": {"name": "main", "revision": 7}, "spec": {"version": 3}}',
  ],
  [
    'an object with its spec as text',
    '{"meta": {"name": "main"}, "spec": "{\\"version\\": 3}"}',
  ],
] as const) {
  test(`configuration file: ${title} is read`, t => {
    const {value, issues} = decodeText(text);
    t.is(value?.version, 3);
    t.deepEqual(issues, []);
  });
}

for (const [text, expected] of [
  ['7', 'configuration: expected a JSON object'],
  ['[]', 'configuration: expected a JSON object'],
  ['null', 'configuration: expected a JSON object'],
  [
    '{"spec": {"version": 3}}',
    'object: meta, name: expected a text; the object is not read',
  ],
  [
    '{"meta": {"name": "main"}, "spec": "{"}',
    'configuration: expected a JSON object',
  ],
  // JSON may set the prototype's name as a field; a fallback to it would hide that the fields are missing.
  [
    '{"__proto__": {"version": 3}}',
    'configuration: version: saw nothing, expected a number; the configuration is not read',
  ],
] as const) {
  test(`configuration file: ${text} is no configuration`, t => {
    const {value, issues} = decodeText(text);
    t.is(value, undefined);
    t.deepEqual(issues, [expected]);
  });
}

test('configuration file: an object that gateways do not read is reported', t => {
  const text = '{"meta": {"name": "mian"}, "spec": {"version": 3}}';
  t.deepEqual(decodeText(text).issues, [
    'object: meta, name: expected "main"; gateways read no other object',
  ]);
});

for (const text of ['', '{"version": 3', '\u0000', '\ufeff{}', 'routes = 7']) {
  test(`configuration file: ${JSON.stringify(text)} is refused as not JSON`, t => {
    const decoded = configurationFile.decodeConfigurationText(text, () =>
      t.fail(),
    );
    t.true(decoded.isErr());
  });
}

test('configuration file: lists nested a million levels deep are survived', t => {
  const nested = '['.repeat(1_000_000) + ']'.repeat(1_000_000);
  const {issues} = decodeText(
    `{"version": 1, "routes": [${nested}], "limits": ${nested}}`,
  );
  t.is(issues.length, 2);
});

test('configuration file: names of the prototype are ordinary names', t => {
  const {value, issues} = decodeText(
    '{"version": 1, "services": [{"name": "__proto__"}], "tenants": [{"name": "constructor", "apiKeys": ["toString"]}]}',
  );
  t.deepEqual(issues, []);
  t.is(value!.endpoints[0].name, '__proto__');
  t.is(value!.customers![0].name, 'constructor');
});
