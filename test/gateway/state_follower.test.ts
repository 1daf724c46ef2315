/** The state in force at a gateway, for any order of answers from the store and peers. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as neverthrow from 'neverthrow';
import * as jsonLog from '../../src/base/node/json_log';
import * as configuration from '../../src/gateway/common/configuration';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as memberTable from '../../src/gateway/common/fleet/member_table';
import * as peerDigest from '../../src/gateway/common/fleet/peer_digest';
import * as stateSource from '../../src/gateway/common/state_source';
import * as watcherElection from '../../src/gateway/common/fleet/watcher_election';
import * as stateFollower from '../../src/gateway/node/state_follower';
import * as gatewayRecords from '../support/gateway_records';

const test = ava.default;
const SEED = 20_261_204;

/** Key 'key-n' is in force in version n alone. */
function version(value: number): configuration.Configuration {
  return gatewayRecords.configurationOf({
    version: value,
    customers: [{name: 'customer', keys: [`key-${value}`]}],
  });
}

/** A source whose reads of the configuration return `next`; its watches stay open without a result. */
class ScriptedSource extends stateSource.StateSource {
  next: neverthrow.Result<
    stateSource.Snapshot<configuration.Configuration>,
    stateSource.SourceError
  > = neverthrow.err(stateSource.SourceError.Missing);

  async readConfiguration() {
    return this.next;
  }

  watchConfiguration(): stateSource.SourceResult<
    stateSource.Snapshot<configuration.Configuration | undefined>
  > {
    return new Promise(() => undefined);
  }

  async listInstances(): stateSource.SourceResult<
    stateSource.Snapshot<instanceTable.InstanceRecord[]>
  > {
    return neverthrow.err(stateSource.SourceError.Unreachable);
  }

  watchInstances(): stateSource.SourceResult<
    stateSource.Snapshot<stateSource.InstanceChange[]>
  > {
    return new Promise(() => undefined);
  }

  async listEvacuations(): ReturnType<
    stateSource.StateSource['listEvacuations']
  > {
    return neverthrow.ok({revision: 1, value: []});
  }

  watchEvacuations(): ReturnType<stateSource.StateSource['watchEvacuations']> {
    return new Promise(() => undefined);
  }
}

function createFollower(source: ScriptedSource): stateFollower.StateFollower {
  const members = new memberTable.MemberTable(
    {ip: '10.0.0.1', name: 'gateway-1', isWide: false},
    [],
  );
  return new stateFollower.StateFollower(
    source,
    new watcherElection.WatcherElection(members),
    new jsonLog.JsonLog({}, '/dev/null'),
  );
}

function peerState(
  value: configuration.Configuration | undefined,
): peerDigest.PeerState {
  return {
    configurationRevision: value?.version ?? 0,
    configuration: value,
    instancesPosition: 0,
    instances: [],
  };
}

test('follower: after any sequence of reads and peer states, the newest version seen is in force and no key of another one', async t => {
  const step = fastCheck.record({
    from: fastCheck.constantFrom('store', 'peer', 'empty-peer', 'store-error'),
    version: fastCheck.integer({min: 1, max: 30}),
    error: fastCheck.constantFrom(...Object.values(stateSource.SourceError)),
  });
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(step, {maxLength: 40}),
      async steps => {
        const source = new ScriptedSource();
        const follower = createFollower(source);
        let newest = 0;
        for (const {from, version: offered, error} of steps) {
          if (from === 'peer') {
            follower.applyPeerState(peerState(version(offered)), 'peer');
          } else if (from === 'empty-peer') {
            follower.applyPeerState(peerState(undefined), 'peer');
          } else {
            source.next =
              from === 'store'
                ? neverthrow.ok({revision: offered, value: version(offered)})
                : neverthrow.err(error);
            await follower.readConfiguration();
          }
          const isOffered = from === 'store' || from === 'peer';
          newest = isOffered ? Math.max(newest, offered) : newest;
          const isInForce = (key: number) =>
            follower.routes?.findCustomer(`key-${key}`) !== undefined;
          const inForce = Array.from({length: 31}, (_, key) => key).filter(
            isInForce,
          );
          const expected = newest === 0 ? [] : [newest];
          if (
            follower.configurationVersion !== newest ||
            inForce.join() !== expected.join()
          ) {
            return false;
          }
        }
        return true;
      },
    ),
    {seed: SEED, numRuns: 200},
  );
  t.pass();
});

test('follower: a peer confirms only the version that is in force here', async t => {
  const source = new ScriptedSource();
  const follower = createFollower(source);
  source.next = neverthrow.ok({revision: 2, value: version(2)});
  await follower.readConfiguration();
  const now = performance.now() + 10_000;
  follower.confirmConfiguration(3, now - 100);
  t.true(follower.configurationAge(now) > 9_000);
  follower.confirmConfiguration(2, now - 100);
  t.is(Math.round(follower.configurationAge(now)), 100);
});

test('follower: before the first answer of the source there is no age to tell peers', t => {
  const follower = createFollower(new ScriptedSource());
  t.is(follower.sourceAge(5_000), undefined);
});

/** Answers with scripted lists and changes of instances; calls beyond the script are never answered. */
class InstanceSource extends ScriptedSource {
  constructor(
    private readonly lists: Awaited<
      ReturnType<stateSource.StateSource['listInstances']>
    >[],
    private readonly changes: Awaited<
      ReturnType<stateSource.StateSource['watchInstances']>
    >[],
  ) {
    super();
  }

  override async listInstances() {
    return this.lists.shift() ?? super.listInstances();
  }

  override async watchInstances() {
    return this.changes.shift() ?? super.watchInstances();
  }
}

test('follower: an instance that leaves shortly after an outage of the store is removed when the grace period ends, although nothing else changes', async t => {
  const record = gatewayRecords.instanceRecord({id: 'i-1'});
  const listed = neverthrow.ok({revision: 2, value: [record]});
  const source = new InstanceSource(
    [listed, listed],
    [
      neverthrow.err(stateSource.SourceError.Unreachable),
      neverthrow.ok({revision: 3, value: [{id: 'i-1', record: undefined}]}),
    ],
  );
  source.next = neverthrow.ok({revision: 1, value: version(1)});
  const follower = createFollower(source);
  t.teardown(() => follower.dispose());
  follower.start();
  while (follower.instances.size === 0) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  // The expiry of the grace period keeps no process alive by itself.
  const keepAlive = setInterval(() => undefined, 100);
  t.teardown(() => clearInterval(keepAlive));
  while (follower.instances.size > 0) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  t.is(follower.instances.get('i-1'), undefined);
});
