/** Lookup of the route and endpoint of a request. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as routeIndex from '../../../src/gateway/common/route_index';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;

const INDEX = new routeIndex.RouteIndex(
  gatewayRecords.configurationOf({
    routes: ['/a/', '/a/b/', '/c/'].map(prefix => gatewayRecords.route(prefix)),
  }),
);

for (const [host, path, expected] of [
  ['h.example', '/a/b/c', '/a/b/'],
  ['h.example', '/a/x', '/a/'],
  ['H.Example', '/a/x', '/a/'],
  ['h.example', '/a', undefined],
  ['h.example', '/ab/', undefined],
  ['other.example', '/a/x', undefined],
] as const) {
  test(`routes: ${host}${path} has ${expected ?? 'no route'}`, t => {
    t.is(INDEX.findRoute(host, path)?.pathPrefix, expected);
  });
}

test('routes: endpoints are chosen in proportion to their weight, and never one without weight', t => {
  const endpoints = [
    {endpoint: 'none', weight: 0},
    {endpoint: 'most', weight: 90},
    {endpoint: 'few', weight: 10},
  ];
  const split = gatewayRecords.route('/s/', {endpoints});
  const draws = Array.from({length: 100}, (_, index) =>
    routeIndex.drawEndpoint(split, index / 100),
  );
  t.is(draws.filter(each => each === 'most').length, 90);
  t.is(draws.filter(each => each === 'few').length, 10);
});

for (const [version, hasAllowedRegions, otherVersion, otherHas, expected] of [
  [2, true, 1, true, true],
  [2, true, 2, true, true],
  [2, true, 3, true, false],
  [2, true, 3, undefined, false],
  [2, undefined, 2, undefined, true],
  [2, undefined, 2, true, false],
  [2, true, 2, undefined, true],
  [2, undefined, 1, true, true],
] as const) {
  test(`routes: version ${version} ${hasAllowedRegions ? 'with' : 'without'} regions is ${expected ? '' : 'not '}as new as ${otherVersion} ${otherHas ? 'with' : 'without'} them`, t => {
    const index = new routeIndex.RouteIndex(
      gatewayRecords.configurationOf({version, hasAllowedRegions}),
    );
    const other = gatewayRecords.configurationOf({
      version: otherVersion,
      hasAllowedRegions: otherHas,
    });
    t.is(index.isAsNewAs(other), expected);
  });
}

test('routes: the most urgent generations of an endpoint are those of any route that leads to it', t => {
  const endpoints = [{endpoint: 'writers', weight: 1}];
  const index = new routeIndex.RouteIndex(
    gatewayRecords.configurationOf({
      routes: [
        gatewayRecords.route('/a/', {
          endpoints,
          isGeneration: true,
          priority: 2,
        }),
        gatewayRecords.route('/b/', {
          endpoints,
          isGeneration: true,
          priority: 1,
        }),
        gatewayRecords.route('/c/', {
          endpoints,
          isGeneration: false,
          priority: 0,
        }),
      ],
    }),
  );
  t.is(index.mostUrgentGeneration('writers'), 1);
  t.is(index.mostUrgentGeneration('other'), Infinity);
});

test('routes: no draw returns an endpoint exactly if canDrawEndpoint says so, also with negative and infinite weights', t => {
  const weight = fastCheck.oneof(
    fastCheck.integer({min: -3, max: 3}),
    fastCheck.constant(Number.MAX_VALUE),
  );
  const draws = Array.from({length: 1_000}, (_, index) => index / 1_000);
  fastCheck.assert(
    fastCheck.property(fastCheck.array(weight, {maxLength: 5}), weights => {
      const split = gatewayRecords.route('/', {
        endpoints: weights.map((each, index) => ({
          endpoint: `${index}`,
          weight: each,
        })),
      });
      t.is(
        routeIndex.canDrawEndpoint(split),
        draws.some(draw => routeIndex.drawEndpoint(split, draw) !== undefined),
      );
    }),
  );
});

test('routes: a route is hidden exactly if no path, its own prefix included, is looked up as this route', t => {
  const segment = fastCheck.constantFrom('/', '/a/', '/a/b/', '/ab/', 'a');
  const host = fastCheck.constantFrom('h.example', 'i.example');
  const routes = fastCheck.array(
    fastCheck.record({host, pathPrefix: segment}),
    {maxLength: 12},
  );
  const paths = [
    '/',
    '/a/',
    '/a/b/',
    '/a/b/c',
    '/ab/',
    '/ab/c',
    '/c',
    'a',
    'ab',
  ];
  fastCheck.assert(
    fastCheck.property(routes, entries => {
      const index = new routeIndex.RouteIndex(
        gatewayRecords.configurationOf({
          routes: entries.map((each, number) =>
            gatewayRecords.route(each.pathPrefix, {
              host: each.host,
              name: `${number}`,
            }),
          ),
        }),
      );
      const hidden = index.hiddenRoutes();
      for (const route of index.configuration.routes) {
        const isFound = paths.some(
          path => index.findRoute(route.host, path) === route,
        );
        const found = hidden.find(each => each.route === route);
        t.is(found === undefined, isFound);
        if (found !== undefined) {
          t.is(
            index.findRoute(route.host, route.pathPrefix),
            found.hidingRoute,
          );
        }
      }
    }),
  );
});
