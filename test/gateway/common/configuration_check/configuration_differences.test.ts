/** Differences of two configurations in words. */
import * as ava from 'ava';
import * as configuration from '../../../../src/gateway/common/configuration';
import * as configurationDifferences from '../../../../src/gateway/common/configuration_check/configuration_differences';
import * as findings from '../../../../src/gateway/common/configuration_check/findings';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {route} = gatewayRecords;

const ROUTE = route('/a/', {
  name: 'a',
  endpoints: [
    {endpoint: 'x', weight: 1},
    {endpoint: 'y', weight: 2},
  ],
});
const ENGINE = {
  memoryTokens: 10,
  canMoveRuns: true,
  canBackUpRuns: false,
  tokensPerEvent: 4,
};
const ENDPOINT = {name: 'x', healthPath: '/h', maxConnections: 1};
const CUSTOMER = {name: 'c', keys: ['secret-1', 'secret-2']};
const BASE = gatewayRecords.configurationOf({
  routes: [ROUTE],
  endpoints: [ENDPOINT],
  customers: [CUSTOMER],
});

function compare(
  before: configuration.Configuration,
  after: configuration.Configuration,
): string[] {
  const differences =
    new findings.BoundedList<configurationDifferences.Difference>(1_000);
  configurationDifferences.compareConfigurations(before, after, differences);
  return differences.items.map(({place, message}) => `${place}: ${message}`);
}

const routes = (change: Partial<configuration.Route>) => ({
  routes: [{...ROUTE, ...change}],
});
const endpoints = (change: Partial<configuration.Endpoint>) => ({
  endpoints: [{...ENDPOINT, ...change}],
});
const customers = (change: Partial<configuration.Customer>) => ({
  customers: [{...CUSTOMER, ...change}],
});
const limits = (change: Partial<configuration.RequestLimits>) => ({
  limits: {...BASE.limits, ...change},
});

type Case = readonly [
  change: Partial<configuration.Configuration>,
  ...expected: readonly string[],
];

// One case for every property, so that a change of none goes unnoticed.
const CASES: readonly Case[] = [
  [{}],
  [{version: 2}, 'configuration: version changed from 1 to 2'],
  [
    {customers: undefined},
    'configuration: keys required changed from yes to no',
    'customer "c": removed',
  ],
  [{routes: []}, 'route "a": removed'],
  [{routes: [ROUTE, route('/b/')]}, 'route "/b/": added'],
  [{endpoints: []}, 'service "x": removed'],
  [
    {customers: [CUSTOMER, {name: '__proto__', keys: ['k']}]},
    'customer "__proto__": added',
  ],
  [
    routes({host: 'other'}),
    'route "a": host changed from "h.example" to "other"',
  ],
  [routes({pathPrefix: '/c/'}), 'route "a": path changed from "/a/" to "/c/"'],
  [
    routes({kind: configuration.RequestKind.Streaming}),
    'route "a": kind changed from idempotent to streaming',
  ],
  [
    routes({timeoutMilliseconds: 9}),
    'route "a": timeout changed from 1 ms to 9 ms',
  ],
  [
    routes({objectiveMilliseconds: 9}),
    'route "a": objective changed from 1 ms to 9 ms',
  ],
  [
    routes({maxPauseMilliseconds: 180}),
    'route "a": longest pause changed from none to 180 ms',
  ],
  [routes({priority: 2}), 'route "a": urgency changed from 0 to 2'],
  [
    routes({endpoints: [{endpoint: 'x', weight: 3}]}),
    'route "a": services changed from "x" weight 1, "y" weight 2 to "x" weight 3',
  ],
  [routes({endpoints: [...ROUTE.endpoints].reverse()})],
  [routes({attempts: 2}), 'route "a": attempts changed from 1 to 2'],
  [routes({isPublic: true}), 'route "a": public changed from no to yes'],
  [
    routes({isGeneration: true}),
    'route "a": generation changed from no to yes',
  ],
  [routes({isResumable: true}), 'route "a": resumable changed from no to yes'],
  [
    routes({allowedRegions: ['south', 'north']}),
    'route "a": allowed regions changed from all to "north", "south"',
  ],
  [
    routes({allowedRegions: []}),
    'route "a": allowed regions changed from all to none',
  ],
  [
    endpoints({healthPath: '/i'}),
    'service "x": health path changed from "/h" to "/i"',
  ],
  [
    endpoints({maxConnections: 2}),
    'service "x": connections changed from 1 to 2',
  ],
  [
    endpoints({rampRequestsPerSecond: 5}),
    'service "x": ramp changed from 0 requests/s to 5 requests/s',
  ],
  [endpoints({rampRequestsPerSecond: 0, warmUpMilliseconds: 0})],
  [
    endpoints({warmUpMilliseconds: 8}),
    'service "x": warm-up changed from 0 ms to 8 ms',
  ],
  [
    endpoints({engine: ENGINE}),
    'service "x": engine memory changed from none to 10 tokens',
    'service "x": moves of runs changed from none to yes',
    'service "x": backups of runs changed from none to no',
    'service "x": tokens in an event changed from none to 4',
  ],
  [
    customers({keys: ['secret-2', 'secret-3', 'secret-4']}),
    'customer "c": keys changed: 2 added, 1 removed',
  ],
  [customers({keys: ['secret-2', 'secret-1']})],
  [customers({priority: 0}), 'customer "c": urgency changed from none to 0'],
  [
    customers({allowedRegions: ['north']}),
    'customer "c": allowed regions changed from all to "north"',
  ],
  [
    limits({maxHeaderBytes: 2}),
    'limits: bound for headers changed from 1 bytes to 2 bytes',
  ],
  [
    limits({maxBodyBytes: 2}),
    'limits: bound for bodies changed from 1 bytes to 2 bytes',
  ],
  [
    limits({headerTimeoutMilliseconds: 2}),
    'limits: timeout of headers changed from 1 ms to 2 ms',
  ],
  [
    limits({idleTimeoutMilliseconds: 2}),
    'limits: idle timeout changed from 1 ms to 2 ms',
  ],
];

for (const [change, ...expected] of CASES) {
  test(`configuration differences: ${JSON.stringify(change)} gives ${expected.length} differences in words`, t => {
    t.deepEqual(compare(BASE, {...BASE, ...change}), expected);
  });
}

test('configuration differences: entries of one name are compared in their order', t => {
  const second = {...ROUTE, pathPrefix: '/b/'};
  const before = {...BASE, routes: [ROUTE, second, {...ROUTE, priority: 1}]};
  const after = {...BASE, routes: [ROUTE, {...second, attempts: 2}]};
  t.deepEqual(compare(before, after), [
    'route "a" (number 3 of this name): removed',
    'route "a" (number 2 of this name): attempts changed from 1 to 2',
  ]);
});

test('configuration differences: a value that is too long is not shown, and its difference is', t => {
  const many = Array.from({length: 100}, (_, index) => `region-${index}`);
  t.deepEqual(compare(BASE, {...BASE, ...routes({allowedRegions: many})}), [
    'route "a": allowed regions changed, too long to show',
  ]);
});

test('configuration differences: names that differ behind the part that findings show are different', t => {
  const long = 'x'.repeat(150);
  const before = {...BASE, ...routes({host: `${long}1`})};
  const after = {...BASE, ...routes({host: `${long}2`})};
  t.deepEqual(compare(before, after), [
    `route "a": host changed from "${long}1" to "${long}2"`,
  ]);
});
