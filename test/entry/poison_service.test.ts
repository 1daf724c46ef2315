import * as ava from 'ava';
import * as poisonTable from '../../src/decision/common/poison_table';
import * as poisonService from '../../src/entry/node/poison_service';

const test = ava.default;
const {Suspicion} = poisonTable;

function connectedPair() {
  const first = new poisonService.PoisonService();
  const second = new poisonService.PoisonService();
  first.setSender(async crashReports => second.merge(crashReports));
  second.setSender(async crashReports => first.merge(crashReports));
  return [first, second];
}

test('two crashes reported by two entries make both entries refuse the request', async t => {
  const [first, second] = connectedPair();
  await first.reportCrashes('engine-0', [
    {death: 'd', fingerprints: ['p', 'q']},
  ]);
  t.is(second.suspicion('p'), Suspicion.Suspect);
  await second.reportCrashes('engine-1', [{death: 'd', fingerprints: ['p']}]);
  t.is(first.suspicion('p'), Suspicion.Blocked);
  t.is(second.suspicion('p'), Suspicion.Blocked);
  t.is(first.suspicion('q'), Suspicion.Suspect);
});

test('one crash reported twice, or by two entries, counts once', async t => {
  const [first, second] = connectedPair();
  const crash = {death: 'd', fingerprints: ['p']};
  await first.reportCrashes('engine-0', [crash]);
  await first.reportCrashes('engine-0', [crash]);
  await second.reportCrashes('engine-0', [crash]);
  t.is(first.suspicion('p'), Suspicion.Suspect);
});

test('completion clears a suspected request, but not one that is refused', async t => {
  const service = new poisonService.PoisonService();
  await service.reportCrashes('engine-0', [
    {death: 'd', fingerprints: ['p', 'q']},
  ]);
  service.clearSuspicion('q');
  t.is(service.suspicion('q'), Suspicion.None);
  await service.reportCrashes('engine-1', [{death: 'e', fingerprints: ['p']}]);
  service.clearSuspicion('p');
  t.is(service.suspicion('p'), Suspicion.Blocked);
});

test('reporting a crash waits until the other entries have the report', async t => {
  const service = new poisonService.PoisonService();
  let hasSent = false;
  service.setSender(async () => {
    await Promise.resolve();
    hasSent = true;
  });
  await service.reportCrashes('engine-0', [{death: 'd', fingerprints: ['p']}]);
  t.true(hasSent);
});
