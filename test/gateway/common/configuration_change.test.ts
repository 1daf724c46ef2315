/** Changes that lead from one version of the configuration to another. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as activeConfiguration from '../../../src/gateway/common/active_configuration';
import * as configuration from '../../../src/gateway/common/configuration';
import * as configurationChange from '../../../src/gateway/common/configuration_change';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;

/** Configurations whose lists share entries, in any order and also twice. */
const CONFIGURATIONS = fastCheck
  .record({
    routes: fastCheck.array(
      fastCheck.tuple(fastCheck.nat(6), fastCheck.nat(2)),
    ),
    endpoints: fastCheck.array(fastCheck.nat(4)),
    customers: fastCheck.option(fastCheck.array(fastCheck.nat(4)), {
      nil: undefined,
    }),
  })
  .map(({routes, endpoints, customers}) => ({
    routes: routes.map(([name, priority]) =>
      gatewayRecords.route(`/${name}/`, {priority}),
    ),
    endpoints: endpoints.map(index => ({
      name: `endpoint-${index}`,
      healthPath: '/healthz',
      maxConnections: 1,
    })),
    customers: customers?.map(index => ({
      name: `customer-${index}`,
      keys: [`key-${index}`],
    })),
  }));

/** What arrives of a value that is sent as JSON. */
function transmit<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

/** A configuration of many routes, with one priority for one of them. */
function manyRoutes(version: number, priority: number) {
  const routes = Array.from({length: 3_000}, (_, index) =>
    gatewayRecords.route(`/${index}/`, {
      priority: index === 1_500 ? priority : 0,
    }),
  );
  return gatewayRecords.configurationOf({version, routes});
}

test('configuration change: any version is restored from an earlier one and the change', t => {
  fastCheck.assert(
    fastCheck.property(CONFIGURATIONS, CONFIGURATIONS, (first, second) => {
      const earlier = gatewayRecords.configurationOf({...first, version: 1});
      const later = gatewayRecords.configurationOf({...second, version: 2});
      const shared = configurationChange.shareUnchanged(earlier, later);
      t.deepEqual(shared, later);
      const change = configurationChange.describe(earlier, shared);
      const applied = configurationChange.apply(earlier, transmit(change));
      t.deepEqual(transmit(applied), transmit(later));
    }),
  );
});

test('configuration change: one changed route of 3,000 gives a change of less than a thousand bytes', t => {
  const earlier = manyRoutes(1, 0);
  const later = configurationChange.shareUnchanged(earlier, manyRoutes(2, 1));
  const change = configurationChange.describe(earlier, later);
  t.true(JSON.stringify(change).length < 1_000);
});

for (const [title, routes] of [
  ['behind the end', [{from: 2, count: 2}]],
  ['before the start', [{from: -1, count: 1}]],
  ['of negative number', [{from: 1, count: -1}]],
] as const) {
  test(`configuration change: entries ${title} of the earlier version are not applied`, t => {
    const prefixes = ['/a/', '/b/', '/c/'];
    const earlier = gatewayRecords.configurationOf({
      routes: prefixes.map(prefix => gatewayRecords.route(prefix)),
    });
    const change: configurationChange.ConfigurationChange = {
      fromVersion: 1,
      version: 2,
      routes,
      endpoints: [],
      limits: earlier.limits,
    };
    t.is(configurationChange.apply(earlier, change), undefined);
    t.is(
      configurationChange.apply({...earlier, version: 3}, change),
      undefined,
    );
  });
}

function activeWith(
  ...versions: readonly configuration.Configuration[]
): activeConfiguration.ActiveConfiguration {
  const active = new activeConfiguration.ActiveConfiguration();
  versions.forEach(version => active.activate(version));
  return active;
}

test('active configuration: peers with an earlier version get a change, those with the latest nothing, others the whole', t => {
  const active = activeWith(manyRoutes(1, 0), manyRoutes(4, 1));
  t.is(active.updateFor(1).configurationChange?.version, 4);
  t.deepEqual(active.updateFor(4), {});
  t.is(active.updateFor(2).configuration?.version, 4);
  t.is(active.updateFor(undefined).configuration?.version, 4);
  const peer = activeWith(manyRoutes(1, 0));
  const value = peer.resolve(transmit(active.updateFor(1)));
  t.deepEqual(transmit(value), transmit(manyRoutes(4, 1)));
});

test('active configuration: versions of an earlier era of the store are not changed', t => {
  const active = activeWith(manyRoutes(1, 0), manyRoutes(4, 1));
  const update = active.updateFor(1);
  active.enterEra();
  t.is(active.updateFor(1).configuration?.version, 4);
  t.is(active.changeableVersion, undefined);
  t.is(active.resolve(update), undefined);
});

test('active configuration: a hundred versions later the whole configuration is needed', t => {
  const active = activeWith(manyRoutes(1, 0));
  for (let version = 2; version <= 101; version++) {
    active.activate(gatewayRecords.configurationOf({version}));
  }
  t.is(active.updateFor(1).configuration?.version, 101);
});

test('active configuration: it is overtaken until the version of a peer arrives, for five seconds at most', t => {
  const active = activeWith(gatewayRecords.configurationOf({version: 2}));
  active.recordAnnouncement(2, 0);
  t.false(active.isOvertaken(0));
  active.recordAnnouncement(3, 0);
  t.true(active.isOvertaken(5_000));
  t.false(active.isOvertaken(5_001));
  active.recordAnnouncement(3, 6_000);
  t.true(active.isOvertaken(6_000));
  active.activate(gatewayRecords.configurationOf({version: 3}));
  t.false(active.isOvertaken(6_000));
});

test('active configuration: a version of an earlier era that arrives late is not changed, so that no change applies to another base', t => {
  const active = activeWith(manyRoutes(1, 0));
  active.enterEra();
  active.activate(manyRoutes(4, 1), false);
  t.is(active.version, 4);
  t.is(active.changeableVersion, undefined);
  const other = activeWith(manyRoutes(4, 2), manyRoutes(5, 2));
  t.is(active.resolve(other.updateFor(4)), undefined);
});

test('active configuration: versions announced in an earlier era do not hide those of the current one', t => {
  const active = activeWith(gatewayRecords.configurationOf({version: 2}));
  active.recordAnnouncement(9, 0);
  active.enterEra();
  t.false(active.isOvertaken(0));
  active.recordAnnouncement(3, 6_000);
  t.true(active.isOvertaken(6_000));
});
