import * as ava from 'ava';
import * as neverthrow from 'neverthrow';
import * as rxjs from 'rxjs';
import * as metrics from '../../src/base/node/metrics';
import * as entryMetrics from '../../src/entry/node/entry_metrics';
import * as linkManager from '../../src/entry/node/link_manager';
import * as membership from '../../src/entry/node/membership';
import * as trafficMetrics from '../../src/protocol/node/traffic_metrics';
import * as freePorts from '../../standins/free_ports';
import * as instanceList from '../../src/storage/common/instance_list';

const test = ava.default;

function side(instance: string, address: string): instanceList.InstanceRecord {
  return {
    instance,
    role: instanceList.InstanceRole.Side,
    endpoint: 'engine',
    dataCentre: 'dc1',
    address,
    isLeaving: false,
  } as instanceList.InstanceRecord;
}

class FixedList extends instanceList.InstanceList {
  constructor(private readonly records: instanceList.InstanceRecord[]) {
    super();
  }

  async read() {
    return neverthrow.ok(this.records);
  }
}

test('an entry that was ready stays ready while a link to a new instance opens', async t => {
  const address = `127.0.0.1:${await freePorts.freeStreamPort()}`;
  const first = side('side-0', address);
  const registry = new metrics.MetricsRegistry({});
  const members = new membership.Membership(new FixedList([first]));
  const links = new linkManager.LinkManager(
    {
      entry: 'entry-0',
      entryAddress: () => '127.0.0.1:1',
      dataCentre: 'dc1',
      token: 'token',
      linksPerEndpoint: 4,
      revision: () => 1,
    },
    members,
    new trafficMetrics.TrafficMetrics(registry),
    new entryMetrics.EntryMetrics(registry),
  );
  t.false(links.hasTriedInitialLinks, 'the list was not read yet');
  const failed = rxjs.firstValueFrom(links.onDidReceiveEvent);
  await members.start();
  t.false(links.hasTriedInitialLinks, 'the first link was not tried yet');
  await failed;
  t.true(links.hasTriedInitialLinks);

  members.applyRemoteView({
    readAt: Date.now() + 1,
    hash: 'two instances',
    instances: [first, side('side-1', address)],
  });
  t.true(links.hasTriedInitialLinks, 'a link to a new instance is opening');

  links.dispose();
  members.dispose();
});
