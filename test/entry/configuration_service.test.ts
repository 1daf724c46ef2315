import * as protobuf from '@bufbuild/protobuf';
import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as changeSystem from '../../src/decision/common/change_system';
import * as configurationService from '../../src/entry/node/configuration_service';
import * as operator from '../../src/protocol/generated/rhubarbvane/v1/operator_pb';
import * as memoryStore from '../support/memory_store';

const test = ava.default;
const {StoreFault} = memoryStore;
let clock: fakeTimers.Clock;
test.before(() => {
  clock = fakeTimers.install({now: Date.UTC(2026, 11, 4)});
});
test.after.always(() => {
  clock.uninstall();
});

async function settle<T>(promise: Promise<T>): Promise<T> {
  let isSettled = false;
  void promise.finally(() => (isSettled = true));
  for (let step = 0; step < 2_000 && !isSettled; step++) {
    await clock.tickAsync(20);
  }
  return promise;
}

function entryOn(store: memoryStore.MemoryStore) {
  return new configurationService.ConfigurationService(store, () => 2);
}

function modelChange(
  name: string,
  contextTokens: number,
  expectedVersion = 0,
): changeSystem.RequestedChange[] {
  const object = protobuf.create(operator.DeclaredObjectSchema, {
    kind: operator.ObjectKind.MODEL,
    name,
    spec: {case: 'model', value: {contextTokens, windDownAt: ''}},
  });
  return [{object, isRemoval: false, expectedVersion}];
}

function contextOf(
  service: configurationService.ConfigurationService,
  name: string,
): number | undefined {
  const object = service.table.get(operator.ObjectKind.MODEL, name);
  return object?.spec.case === 'model'
    ? object.spec.value.contextTokens
    : undefined;
}

test.serial(
  'of two concurrent changes one is committed and the other fails with the version in force',
  async t => {
    const store = new memoryStore.MemoryStore();
    const [first, second] = [entryOn(store), entryOn(store)];
    await settle(first.commit('change-0', modelChange('m', 1), false));
    await settle(second.refresh());
    const results = await settle(
      Promise.all([
        first.commit('change-1', modelChange('m', 10, 1), false),
        second.commit('change-2', modelChange('m', 20, 1), false),
      ]),
    );
    const failed = results.filter(result => result.isErr());
    t.is(failed.length, 1);
    const cause = failed[0]._unsafeUnwrapErr();
    t.is(cause.code, resultCode.ResultCode.Conflict);
    t.regex(cause.message, /expected version 1, version 2 is in force/);
    await settle(Promise.all([first.refresh(), second.refresh()]));
    t.is(contextOf(first, 'm'), contextOf(second, 'm'));
  },
);

interface CommitCase {
  readonly title: string;
  readonly faults: memoryStore.StoreFault[];
  readonly standing?: memoryStore.StoreFault;
  readonly code?: resultCode.ResultCode;
  /** Whether a repeated call finds that the first call was accepted. */
  readonly isRepeated: boolean;
}

const COMMIT_CASES: readonly CommitCase[] = [
  {title: 'nothing fails', faults: [], isRepeated: true},
  {
    title: 'the reply to the write is lost',
    faults: [StoreFault.None, StoreFault.ReplyLost],
    isRepeated: true,
  },
  {
    title: 'the write is dropped',
    faults: [StoreFault.None, StoreFault.Dropped],
    isRepeated: true,
  },
  {
    title: 'the store is down',
    faults: [],
    standing: StoreFault.Unreachable,
    code: resultCode.ResultCode.StoreUnavailable,
    isRepeated: false,
  },
  {
    title: 'the store goes down with the reply to a write that took effect',
    faults: [StoreFault.None, StoreFault.ReplyLost],
    standing: StoreFault.Unreachable,
    code: resultCode.ResultCode.ChangeOutcomeUnknown,
    isRepeated: true,
  },
  {
    title: 'the store goes down with a write that was dropped',
    faults: [StoreFault.None, StoreFault.Dropped],
    standing: StoreFault.Unreachable,
    code: resultCode.ResultCode.ChangeOutcomeUnknown,
    isRepeated: false,
  },
];

for (const {title, faults, standing, code, isRepeated} of COMMIT_CASES) {
  test.serial(
    `a change that is repeated is committed once when ${title}`,
    async t => {
      const store = new memoryStore.MemoryStore();
      const service = entryOn(store);
      store.faults = [...faults];
      store.defaultFault = standing ?? StoreFault.None;
      const first = await settle(
        service.commit('change-1', modelChange('m', 5), false),
      );
      t.is(first.isErr() ? first.error.code : undefined, code);
      store.defaultFault = StoreFault.None;
      const repeat = await settle(
        entryOn(store).commit('change-1', modelChange('m', 5), false),
      );
      t.deepEqual(repeat._unsafeUnwrap(), {
        revision: 1,
        isRepeated,
        isChanged: true,
      });
      t.is(store.objects.get('configuration/head')!.at(-1)!.version, 1);
    },
  );
}

test.serial('a stale read never lowers the revision', async t => {
  const store = new memoryStore.MemoryStore();
  const service = entryOn(store);
  await settle(service.commit('change-1', modelChange('m', 1), false));
  await settle(service.commit('change-2', modelChange('m', 2, 1), false));
  store.faults = [StoreFault.Stale, StoreFault.Stale];
  await settle(service.refresh());
  t.is(service.table.revision, 2);
  t.is(contextOf(service, 'm'), 2);
  store.faults = [StoreFault.Stale];
  const result = await settle(
    service.commit('change-3', modelChange('m', 3, 2), false),
  );
  t.is(result._unsafeUnwrap().revision, 3);
});

test.serial(
  'a peer with an outdated table cannot restore an old revision',
  async t => {
    const store = new memoryStore.MemoryStore();
    const [fresh, outdated] = [entryOn(store), entryOn(store)];
    await settle(fresh.commit('change-1', modelChange('m', 1), false));
    await settle(outdated.refresh());
    await settle(fresh.commit('change-2', modelChange('m', 2, 1), false));
    t.false(fresh.applySync(outdated.table.changesSince(0, false), 0));
    t.is(contextOf(fresh, 'm'), 2);
    t.true(outdated.applySync(fresh.table.changesSince(1, false), 1));
    t.is(contextOf(outdated, 'm'), 2);
  },
);

test.serial(
  'a new process gets its configuration from a peer while the store is down',
  async t => {
    const store = new memoryStore.MemoryStore();
    const peer = entryOn(store);
    await settle(peer.commit('change-1', modelChange('m', 7), false));
    store.defaultFault = StoreFault.Unreachable;
    const started = entryOn(store);
    t.false(await settle(started.refresh()));
    t.true(started.applySync(peer.table.changesSince(0, false), 0));
    t.is(contextOf(started, 'm'), 7);
  },
);

test.serial(
  'a long history is compacted and can still be read completely',
  async t => {
    const store = new memoryStore.MemoryStore();
    const service = entryOn(store);
    for (let index = 0; index < 300; index++) {
      const name = `m-${index % 150}`;
      const version = Number(
        service.table.get(operator.ObjectKind.MODEL, name)?.version ?? 0,
      );
      const change = modelChange(name, index + 1, version);
      (
        await settle(service.commit(`change-${index}`, change, false))
      )._unsafeUnwrap();
    }
    const late = entryOn(store);
    t.true(await settle(late.refresh()));
    t.is(late.table.revision, 300);
    t.deepEqual(late.table.snapshot(), service.table.snapshot());
    const bytes = store.objects.get('configuration/head')!.at(-1)!.value.length;
    t.true(bytes < 1024 * 1024);
  },
);

test.serial(
  'a change that equals the configuration in force changes nothing',
  async t => {
    const store = new memoryStore.MemoryStore();
    const service = entryOn(store);
    await settle(service.commit('change-1', modelChange('m', 1), false));
    const again = await settle(
      service.commit('change-2', modelChange('m', 1, 1), false),
    );
    t.false(again._unsafeUnwrap().isChanged);
    t.is(service.table.revision, 1);
  },
);
