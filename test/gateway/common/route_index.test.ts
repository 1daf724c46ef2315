/** Which route and endpoint a request has. */
import * as ava from 'ava';
import * as configuration from '../../../src/gateway/common/configuration';
import * as routeIndex from '../../../src/gateway/common/route_index';

const test = ava.default;

function route(
  pathPrefix: string,
  endpoints: readonly configuration.WeightedEndpoint[] = [],
): configuration.Route {
  return {
    name: pathPrefix,
    host: 'h.example',
    pathPrefix,
    kind: configuration.RequestKind.Idempotent,
    timeoutMilliseconds: 1,
    objectiveMilliseconds: 1,
    maxPauseMilliseconds: 0,
    priority: 0,
    endpoints,
    attempts: 1,
    isPublic: false,
    isGeneration: false,
    isResumable: false,
  };
}

const INDEX = new routeIndex.RouteIndex({
  version: 1,
  routes: [route('/a/'), route('/a/b/'), route('/c/')],
  endpoints: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
});

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

test('routes: a split draws endpoints by weight, and never one without weight', t => {
  const split = route('/s/', [
    {endpoint: 'none', weight: 0},
    {endpoint: 'most', weight: 90},
    {endpoint: 'few', weight: 10},
  ]);
  const draws = Array.from({length: 100}, (_, index) =>
    routeIndex.drawEndpoint(split, index / 100),
  );
  t.is(draws.filter(each => each === 'most').length, 90);
  t.is(draws.filter(each => each === 'few').length, 10);
});
