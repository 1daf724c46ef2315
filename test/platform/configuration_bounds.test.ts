/** Configurations that are larger than a gateway takes. */
import * as ava from 'ava';
import * as stateSource from '../../src/gateway/common/state_source';
import * as metadataStore from '../../src/platform/metadata_store';
import * as storeStandin from '../../standins/store_standin';
import * as largeConfiguration from '../support/large_configuration';

const test = ava.default;
const {SourceError} = stateSource;
const MAX_BYTES = 1_000_000;
const SMALL = {routes: 10, customers: 10};
const LARGE = [
  {routes: 3_000, customers: 10},
  {routes: 10, customers: 5_000},
];

async function start(t: ava.ExecutionContext) {
  const standin = new storeStandin.StoreStandin();
  const address = await standin.listen();
  let refusalCount = 0;
  const store = new metadataStore.MetadataStore({
    address,
    maxConfigurationBytes: MAX_BYTES,
    onDidRefuseConfiguration: () => refusalCount++,
  });
  t.teardown(() => {
    store.dispose();
    standin.close();
  });
  const put = (version: number, size: largeConfiguration.ConfigurationSize) =>
    standin.put(
      'config',
      'main',
      largeConfiguration.configurationSpec(version, size),
    );
  return {standin, store, put, refusals: () => refusalCount};
}

for (const size of LARGE) {
  test(`configuration bounds: one of ${size.routes} routes and ${size.customers} customers is not read, and a watch goes on with the next`, async t => {
    const {store, put, refusals} = await start(t);
    const first = put(1, SMALL);
    t.is((await store.readConfiguration())._unsafeUnwrap().value.version, 1);
    const second = put(2, size);
    const watched = (await store.watchConfiguration(first))._unsafeUnwrap();
    t.is(watched.value, undefined);
    t.is(watched.revision, second);
    t.is(refusals(), 1);
    const read = await store.readConfiguration();
    t.is(read._unsafeUnwrapErr(), SourceError.TooLarge);
    t.is(refusals(), 2);
    put(3, SMALL);
    const next = (await store.watchConfiguration(second))._unsafeUnwrap();
    t.is(next.value?.version, 3);
  });
}

test('configuration bounds: entries of which nothing is read count as well', async t => {
  const {standin, store} = await start(t);
  for (const list of ['routes', 'services', 'tenants']) {
    const entries = Array<object>(10_000).fill({});
    standin.put('config', 'main', {version: 1, [list]: entries});
    const read = await store.readConfiguration();
    t.is(read._unsafeUnwrapErr(), SourceError.TooLarge);
  }
});

test('configuration bounds: an answer beyond all bounds is too large, and none from a store that is away', async t => {
  const {standin, store, put} = await start(t);
  const first = put(1, SMALL);
  standin.put('config', 'main', {version: 2, note: 'n'.repeat(9_000_000)});
  const watched = await store.watchConfiguration(first);
  t.is(watched._unsafeUnwrapErr(), SourceError.TooLarge);
});
