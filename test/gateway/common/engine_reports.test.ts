/** Engine reports that this gateway or its peers read. */
import * as ava from 'ava';
import * as engineReports from '../../../src/gateway/common/engine_reports';

const test = ava.default;

test('reports: the newest one is used, whoever read it, until it is stale', t => {
  const reports = new engineReports.EngineReports();
  reports.addOwn('i-1', {queuedRuns: 3, memoryTokens: 20_000, at: 1_000});
  reports.addRelayed([['i-1', 9, 30_000, 500]], 1_200);
  t.is(reports.get('i-1', 1_300)?.queuedRuns, 3);
  reports.addRelayed([['i-1', 0, 10_000, 100]], 1_500);
  t.is(reports.get('i-1', 1_600)?.queuedRuns, 0);
  t.is(reports.get('i-1', 3_500), undefined);
});

test('reports: only own ones are relayed, with their age', t => {
  const reports = new engineReports.EngineReports();
  reports.addOwn('i-1', {queuedRuns: 1, memoryTokens: 20_000, at: 1_000});
  reports.addOwn('i-2', {queuedRuns: 2, memoryTokens: 10_000, at: 1_100});
  reports.addRelayed([['i-2', 4, 15_000, 0]], 1_200);
  t.deepEqual(reports.toRelay(1_400), [['i-1', 1, 20_000, 400]]);
  t.deepEqual(reports.toRelay(9_000), []);
});
