/** Findings of the check of a configuration: each alone, and none without a cause. */
import * as ava from 'ava';
import * as configuration from '../../../../src/gateway/common/configuration';
import * as configurationCheck from '../../../../src/gateway/common/configuration_check/configuration_check';
import * as findings from '../../../../src/gateway/common/configuration_check/findings';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {route} = gatewayRecords;
const {RequestKind} = configuration;

const ENDPOINTS = [{endpoint: 'ledger', weight: 1}];
const LEDGER = {name: 'ledger', healthPath: '/healthz', maxConnections: 1};
const READS = route('/reads/', {name: 'reads', endpoints: ENDPOINTS});
const CUSTOMER = {name: 'one', keys: ['secret-1']};

function clean(
  overrides: Partial<configuration.Configuration> = {},
): configuration.Configuration {
  return gatewayRecords.configurationOf({
    routes: [READS],
    endpoints: [LEDGER],
    customers: [CUSTOMER],
    ...overrides,
  });
}

/** Findings as lines. */
function check(overrides: Partial<configuration.Configuration> = {}): string[] {
  const found = new findings.FindingList(1_000);
  configurationCheck.checkConfiguration(clean(overrides), found);
  return found.items.map(
    ({severity, place, message}) => `${severity}: ${place}: ${message}`,
  );
}

function routes(
  ...overrides: readonly Partial<configuration.Route>[]
): Partial<configuration.Configuration> {
  return {routes: overrides.map(each => ({...READS, ...each}))};
}

function limits(
  overrides: Partial<configuration.RequestLimits>,
): Partial<configuration.Configuration> {
  return {limits: {...clean().limits, ...overrides}};
}

type Case = readonly [
  title: string,
  overrides: Partial<configuration.Configuration>,
  expected: string,
];

const CASES: readonly Case[] = [
  [
    'a route with the same host and path as another',
    routes({}, {name: 'hidden'}),
    'warning: route "hidden": can never match: route "reads" has the same host and path',
  ],
  [
    'a route of the same name, host and path as another',
    routes({}, {}),
    'warning: route "reads" (number 2 of this name): can never match: route "reads" has the same host and path',
  ],
  [
    'a path that does not begin with a slash',
    routes({pathPrefix: 'reads/'}),
    'warning: route "reads": can never match: no path of a request begins with "reads/"',
  ],
  [
    'a path with a query',
    routes({pathPrefix: '/reads?a/'}),
    'warning: route "reads": can never match: no path of a request begins with "/reads?a/"',
  ],
  [
    'a path with a blank at its end',
    routes({pathPrefix: '/reads/ '}),
    'warning: route "reads": can never match: no path of a request begins with "/reads/ "',
  ],
  [
    'a path with letters that are not encoded',
    routes({pathPrefix: '/caf\u00e9/'}),
    'warning: route "reads": can never match: no path of a request begins with "/caf\u00e9/"',
  ],
  [
    'a split without weight',
    routes({endpoints: [{endpoint: 'ledger', weight: 0}]}),
    'warning: route "reads": can never reach a service: the weights of its split select none',
  ],
  [
    'a split with weights whose total is infinite',
    routes({
      endpoints: [
        {endpoint: 'ledger', weight: Number.MAX_VALUE},
        {endpoint: 'ledger', weight: Number.MAX_VALUE},
      ],
    }),
    'warning: route "reads": can never reach a service: the weights of its split select none',
  ],
  [
    'a split with a negative weight alone',
    routes({endpoints: [{endpoint: 'ledger', weight: -1}]}),
    'warning: route "reads": can never reach a service: the weights of its split select none',
  ],
  [
    'a service that does not exist',
    routes({endpoints: [...ENDPOINTS, {endpoint: 'legder', weight: 1}]}),
    'error: route "reads": service "legder" does not exist',
  ],
  [
    'a service named after a prototype member',
    routes({endpoints: [{endpoint: 'constructor', weight: 1}]}),
    'error: route "reads": service "constructor" does not exist',
  ],
  [
    'no service',
    routes({endpoints: []}),
    'error: route "reads": names no service',
  ],
  [
    'two services of one name',
    {endpoints: [LEDGER, {...LEDGER, maxConnections: 2}]},
    'warning: service "ledger": can never be used: service "ledger" (number 2 of this name) replaces it',
  ],
  [
    'a key that two customers hold',
    {customers: [CUSTOMER, {name: 'two', keys: ['secret-2', 'secret-1']}]},
    'error: customer "one": customer "two" holds 1 of its keys too and gets their requests',
  ],
  [
    'a customer without keys',
    {customers: [CUSTOMER, {name: 'two', keys: []}]},
    'warning: customer "two": can never match: it has no keys',
  ],
  [
    'an allowed region of a route that no customer allows',
    {
      ...routes({allowedRegions: ['south', 'north']}),
      customers: [{...CUSTOMER, allowedRegions: ['south']}],
    },
    'warning: route "reads": allowed region "north" can never be used: no customer allows it',
  ],
  [
    'an allowed region of a customer that no route allows',
    {
      ...routes({allowedRegions: ['south']}),
      customers: [{...CUSTOMER, allowedRegions: ['south', 'north']}],
    },
    'warning: customer "one": allowed region "north" can never be used: no route that needs a key allows it',
  ],
  [
    'an objective beyond the timeout',
    routes({objectiveMilliseconds: 5_000, timeoutMilliseconds: 2_000}),
    'warning: route "reads": the objective of 5000 ms is beyond the timeout of 2000 ms',
  ],
  [
    'a timeout of 0',
    routes({objectiveMilliseconds: 0, timeoutMilliseconds: 0}),
    'error: route "reads": a timeout of 0 ms fails every request',
  ],
  [
    'two attempts of requests that may run once',
    routes({attempts: 2, kind: RequestKind.NonIdempotent}),
    'warning: route "reads": of 2 attempts only one is used: the route is neither idempotent nor resumable',
  ],
  [
    'two attempts of a stream that is not resumable',
    routes({attempts: 2, kind: RequestKind.Streaming}),
    'warning: route "reads": of 2 attempts only one is used: the route is neither idempotent nor resumable',
  ],
  [
    'a warm-up with a ramp of 0',
    {
      endpoints: [
        {...LEDGER, warmUpMilliseconds: 8_000, rampRequestsPerSecond: 0},
      ],
    },
    'warning: service "ledger": a warm-up of 8000 ms with a ramp of 0 limits no cold instance',
  ],
  [
    'a bound of 0 for headers',
    limits({maxHeaderBytes: 0}),
    'error: limits: a bound of 0 bytes for headers refuses every request',
  ],
  [
    'a negative bound for bodies',
    limits({maxBodyBytes: -1}),
    'error: limits: a bound of -1 bytes for bodies refuses every request with a body',
  ],
];

for (const [title, overrides, expected] of CASES) {
  // Guards against a finding that is missed, and against others that follow from the same cause.
  test(`configuration check: ${title} is the only finding`, t => {
    t.deepEqual(check(overrides), [expected]);
  });
}

const CLEAN: readonly (readonly [
  title: string,
  overrides: Partial<configuration.Configuration>,
])[] = [
  ['one route, service and customer', {}],
  ['nothing', {routes: [], endpoints: [], customers: undefined}],
  ['no keys', {customers: undefined}],
  [
    'a path inside of another one',
    routes({}, {name: 'inner', pathPrefix: '/reads/inner/'}),
  ],
  [
    'the same path at another host',
    routes({}, {name: 'other', host: 'other.example'}),
  ],
  ['an absolute URI as path', routes({pathPrefix: 'http://h.example/'})],
  ['the asterisk of OPTIONS as path', routes({pathPrefix: '*'})],
  [
    'a part of a split without weight',
    routes({endpoints: [...ENDPOINTS, {endpoint: 'ledger', weight: 0}]}),
  ],
  [
    'two attempts of a resumable stream',
    routes({attempts: 2, kind: RequestKind.Streaming, isResumable: true}),
  ],
  [
    'a key twice at one customer',
    {customers: [{name: 'one', keys: ['a', 'a']}]},
  ],
  [
    'a region of a public route that no customer allows',
    {
      routes: [
        READS,
        {
          ...READS,
          pathPrefix: '/o/',
          isPublic: true,
          allowedRegions: ['north'],
        },
      ],
      customers: [{...CUSTOMER, allowedRegions: ['south']}],
    },
  ],
  [
    'a region of a route that a customer without a list allows',
    {
      ...routes({allowedRegions: ['north']}),
      customers: [
        {...CUSTOMER, allowedRegions: ['north']},
        {name: 'two', keys: ['secret-2']},
      ],
    },
  ],
  [
    'lists that have a region in common with one route or customer each',
    {
      routes: [
        {...READS, allowedRegions: ['south']},
        {...READS, pathPrefix: '/n/', name: 'n', allowedRegions: ['north']},
      ],
      customers: [
        {...CUSTOMER, allowedRegions: ['north']},
        {name: 'two', keys: ['secret-2'], allowedRegions: ['south']},
      ],
    },
  ],
  [
    'a warm-up with a ramp',
    {
      endpoints: [
        {...LEDGER, warmUpMilliseconds: 8_000, rampRequestsPerSecond: 5},
      ],
    },
  ],
];

for (const [title, overrides] of CLEAN) {
  // A check that reports what is right would be ignored.
  test(`configuration check: nothing is found in a configuration with ${title}`, t => {
    t.deepEqual(check(overrides), []);
  });
}

for (const [version, count] of [
  [2, 1],
  [3, 1],
  [4, 0],
] as const) {
  // Gateways keep the version in force silently if the new one is not above it.
  test(`configuration check: version ${version} after version 3 has ${count} findings`, t => {
    const found = new findings.FindingList(10);
    configurationCheck.checkVersion(
      clean({version}),
      clean({version: 3}),
      found,
    );
    t.is(found.warningCount, count);
  });
}

test('configuration check: a customer without keys sends no requests, so its regions use none of a route', t => {
  const found = check({
    ...routes({allowedRegions: ['south', 'north']}),
    customers: [
      {...CUSTOMER, allowedRegions: ['south']},
      {name: 'two', keys: []},
    ],
  });
  t.true(
    found.includes(
      'warning: route "reads": allowed region "north" can never be used: no customer allows it',
    ),
  );
});
