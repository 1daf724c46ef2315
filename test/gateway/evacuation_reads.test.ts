/** Which calls a gateway makes for evacuations after each answer of the store. */
import * as ava from 'ava';
import * as neverthrow from 'neverthrow';
import * as jsonLog from '../../src/base/node/json_log';
import * as metrics from '../../src/base/node/metrics';
import * as peerDigest from '../../src/gateway/common/fleet/peer_digest';
import * as stateSource from '../../src/gateway/common/state_source';
import * as storeEra from '../../src/gateway/common/store_era';
import * as evacuationFollower from '../../src/gateway/node/evacuation_follower';
import * as gatewayMetrics from '../../src/gateway/node/gateway_metrics';

const test = ava.default;
const {SourceError} = stateSource;
const ZONE = 'galle';

type ListResult = Awaited<
  ReturnType<stateSource.StateSource['listEvacuations']>
>;
type WatchResult = Awaited<
  ReturnType<stateSource.StateSource['watchEvacuations']>
>;

/** Answers calls for evacuations from two scripts; a call beyond its script is never answered. */
class ScriptedSource extends stateSource.StateSource {
  readonly calls: string[] = [];

  constructor(
    private readonly lists: ListResult[],
    private readonly watches: WatchResult[] = [],
  ) {
    super();
  }

  listEvacuations(): Promise<ListResult> {
    this.calls.push('list');
    return answerWith(this.lists.shift());
  }

  watchEvacuations(revision: number): Promise<WatchResult> {
    this.calls.push(`watch ${revision}`);
    return answerWith(this.watches.shift());
  }

  readConfiguration(): ReturnType<
    stateSource.StateSource['readConfiguration']
  > {
    return new Promise(() => undefined);
  }

  watchConfiguration(): ReturnType<
    stateSource.StateSource['watchConfiguration']
  > {
    return new Promise(() => undefined);
  }

  listInstances(): ReturnType<stateSource.StateSource['listInstances']> {
    return new Promise(() => undefined);
  }

  watchInstances(): ReturnType<stateSource.StateSource['watchInstances']> {
    return new Promise(() => undefined);
  }
}

function answerWith<T>(result: T | undefined): Promise<T> {
  return result === undefined
    ? new Promise(() => undefined)
    : Promise.resolve(result);
}

function listed(revision: number, ...value: string[]): ListResult {
  return neverthrow.ok({revision, value});
}

function changed(
  revision: number,
  ...value: stateSource.EvacuationChange[]
): WatchResult {
  return neverthrow.ok({revision, value});
}

function create(
  t: ava.ExecutionContext,
  source: ScriptedSource,
  isWatching = true,
) {
  const duty = {isWatching, era: new storeEra.StoreEra()};
  const registry = new metrics.MetricsRegistry({});
  const follower = new evacuationFollower.EvacuationFollower(
    5_000,
    'gateway-1',
    source,
    duty,
    new gatewayMetrics.GatewayMetrics(registry),
    new jsonLog.JsonLog({}, '/dev/null'),
  );
  t.teardown(() => follower.dispose());
  return {follower, duty, registry};
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

function digest(
  evacuated: peerDigest.PeerDigest['evacuated'],
): peerDigest.PeerDigest {
  return {
    name: 'gateway-2',
    stateAddress: '',
    configurationVersion: 1,
    instancesPosition: 1,
    isSourceAway: false,
    sourceAgeMilliseconds: 0,
    loads: {},
    crashes: [],
    peers: [],
    evacuated,
  };
}

test('evacuation reads: after the list each watch begins where the answer before ended', async t => {
  const source = new ScriptedSource(
    [listed(3)],
    [changed(9), changed(11, {dataCentre: ZONE, isEvacuated: true})],
  );
  const {follower, registry} = create(t, source);
  follower.start();
  await until(() => source.calls.length === 4);
  t.deepEqual(source.calls, ['list', 'watch 3', 'watch 9', 'watch 11']);
  t.deepEqual(follower.toRelay(), [11, [ZONE]]);
  const text = await registry.render();
  t.regex(text, /rhubarbvane_gateway_evacuated_data_centres(\{.*\})? 1/);
});

for (const error of Object.values(SourceError)) {
  test(`evacuation reads: after a watch that fails with ${error} the evacuations are listed again`, async t => {
    const source = new ScriptedSource(
      [listed(3, ZONE), listed(8)],
      [neverthrow.err(error)],
    );
    const {follower} = create(t, source);
    follower.start();
    await until(() => source.calls.length === 4);
    t.deepEqual(source.calls, ['list', 'watch 3', 'list', 'watch 8']);
    t.deepEqual(follower.toRelay(), [8, []]);
  });
}

test('evacuation reads: while the store refuses all calls, the last set stays and calls become rare', async t => {
  const busy = neverthrow.err(SourceError.Busy);
  const source = new ScriptedSource(
    [listed(3, ZONE), ...Array.from({length: 100}, () => busy)],
    [busy],
  );
  const {follower} = create(t, source);
  follower.start();
  await new Promise(resolve => setTimeout(resolve, 1_000));
  t.true(source.calls.length <= 10);
  t.deepEqual(follower.toRelay(), [3, [ZONE]]);
});

test('evacuation reads: what a peer told is the start of the next watch, and an older answer of the store changes nothing', async t => {
  const source = new ScriptedSource([listed(3, ZONE)]);
  const {follower} = create(t, source);
  follower.applyDigest(digest([7, []]), 0);
  follower.start();
  await until(() => source.calls.length === 2);
  t.deepEqual(source.calls, ['list', 'watch 7']);
  t.deepEqual(follower.toRelay(), [7, []]);
});

test('evacuation reads: a gateway that does not watch calls nothing, and lists when it has to watch', async t => {
  const source = new ScriptedSource([listed(3, ZONE)]);
  const {follower, duty} = create(t, source, false);
  follower.start();
  for (let count = 0; count < 5; count++) {
    follower.applyDigest(digest([1, []]), performance.now());
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  t.deepEqual(source.calls, []);
  duty.isWatching = true;
  await until(() => source.calls.length === 2);
  t.deepEqual(source.calls, ['list', 'watch 3']);
});

test('evacuation reads: only what this gateway read itself is told to peers at once, so that a change does not make all gateways begin rumors', async t => {
  const source = new ScriptedSource(
    [listed(3)],
    [changed(9, {dataCentre: ZONE, isEvacuated: true})],
  );
  const {follower} = create(t, source);
  let count = 0;
  follower.onDidReadChange.subscribe(() => count++);
  follower.start();
  await until(() => source.calls.length === 3);
  t.is(count, 1);
  follower.applyDigest(digest([12, []]), 0);
  t.deepEqual(follower.toRelay(), [12, []]);
  t.is(count, 1);
});

test('evacuation reads: the state of a peer with malformed or no evacuations changes nothing', t => {
  const {follower} = create(t, new ScriptedSource([]));
  for (const evacuated of [undefined, null, [1], [1, 'x'], ['1', []], {}]) {
    follower.applyPeerState(
      {
        configurationRevision: 0,
        configuration: undefined,
        instancesPosition: 0,
        instances: [],
        evacuated: evacuated as peerDigest.PeerState['evacuated'],
      },
      'gateway-2',
    );
  }
  t.is(follower.toRelay(), undefined);
});
