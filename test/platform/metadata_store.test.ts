/** The client of the metadata store: lists, watches and failures. */
import * as ava from 'ava';
import * as stateSource from '../../src/gateway/common/state_source';
import * as metadataStore from '../../src/platform/metadata_store';
import * as storeStandin from '../../standins/store_standin';

const test = ava.default;
const {StoreFault} = storeStandin;
const {SourceError} = stateSource;

function entry(zone: string): object {
  return {
    service: 's',
    address: '10.0.0.1:80',
    zone,
    slots: 1,
    state: 'ready',
    seq: 1,
  };
}

async function start(t: ava.ExecutionContext) {
  const standin = new storeStandin.StoreStandin();
  const address = await standin.listen();
  const store = new metadataStore.MetadataStore({address});
  t.teardown(() => {
    store.dispose();
    standin.close();
  });
  return {standin, store};
}

test('store: a list of several pages is read completely', async t => {
  const {standin, store} = await start(t);
  for (let index = 0; index < 8; index++) {
    standin.put('servers', `i-${index}`, entry('a'));
  }
  const listed = (await store.listInstances())._unsafeUnwrap();
  t.is(listed.value.length, 8);
  t.is(listed.revision, 9);
});

test('store: a watch returns the changes since the revision', async t => {
  const {standin, store} = await start(t);
  standin.put('servers', 'i-1', entry('a'));
  const {revision} = (await store.listInstances())._unsafeUnwrap();
  const watched = store.watchInstances(revision);
  standin.put('servers', 'i-2', entry('b'));
  standin.remove('servers', 'i-1');
  const first = (await watched)._unsafeUnwrap();
  t.is(first.value[0].record?.dataCentre, 'b');
  const second = (await store.watchInstances(first.revision))._unsafeUnwrap();
  const removed = [...first.value, ...second.value].filter(
    change => change.record === undefined,
  );
  t.deepEqual(removed, [{id: 'i-1', record: undefined}]);
});

test('store: a watch from a revision before the history fails with HistoryLost', async t => {
  const {standin, store} = await start(t);
  standin.put('servers', 'i-1', entry('a'));
  standin.compact();
  const watched = await store.watchInstances(1);
  t.is(watched._unsafeUnwrapErr(), SourceError.HistoryLost);
});

for (const [fault, error] of [
  [StoreFault.Busy, SourceError.Busy],
  [StoreFault.Reset, SourceError.Unreachable],
  [StoreFault.Silent, SourceError.Unreachable],
  [StoreFault.Garbled, SourceError.Malformed],
] as const) {
  test(`store: while it is ${fault}, a read fails with ${error}`, async t => {
    const {standin, store} = await start(t);
    standin.put('config', 'main', {version: 1});
    standin.fault = fault;
    const read = await store.readConfiguration();
    t.is(read._unsafeUnwrapErr(), error);
  });
}

test('store: reading a configuration that was never written fails with Missing', async t => {
  const {store} = await start(t);
  const read = await store.readConfiguration();
  t.is(read._unsafeUnwrapErr(), SourceError.Missing);
});
