import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as customerLimits from '../../src/decision/common/customer_limits';
import * as endpointTable from '../../src/decision/common/endpoint_table';
import * as placementSystem from '../../src/decision/common/placement_system';
import * as retryBudget from '../../src/decision/common/retry_budget';
import * as routeSystem from '../../src/decision/common/route_system';
import * as generationRequest from '../../src/protocol/common/generation_request';
import * as linkMessages from '../../src/protocol/common/link_messages';

const test = ava.default;

test('retries are limited to a share of successes', t => {
  const budget = new retryBudget.RetryBudget();
  let retries = 0;
  for (let request = 0; request < 1_000; request++) {
    budget.recordSuccess('customer');
    retries += budget.tryAcquire(['customer']) ? 1 : 0;
  }
  t.true(retries <= 10 + 1_000 * 0.1);
  const failing = new retryBudget.RetryBudget();
  const allowed = Array.from({length: 100}, () =>
    failing.tryAcquire(['customer']),
  );
  t.is(allowed.filter(Boolean).length, 10);
});

test('a customer is limited by outstanding tokens, and admitted when it has none', t => {
  const limits = new customerLimits.CustomerLimits();
  t.is(limits.admit('c', 5_000, 1_000, 1), undefined);
  const refusal = limits.admit('c', 10, 1_000, 1);
  t.is(refusal?.workState, resultCode.WorkState.NotRun);
  t.is(limits.admit('other', 10, 1_000, 1), undefined);
  limits.release('c', 5_000);
  t.is(limits.admit('c', 10, 1_000, 1), undefined);
  t.is(limits.size, 2);
});

test('a wind-down takes effect at its date', t => {
  const date = '2027-01-31T12:00:00Z';
  const at = Date.parse(date);
  t.false(routeSystem.isWoundDown(date, at - 1));
  t.true(routeSystem.isWoundDown(date, at));
  t.false(routeSystem.isWoundDown('', at));
});

function loadOf(
  changes: Partial<linkMessages.LoadReport> = {},
): linkMessages.LoadReport {
  return {
    running: 0,
    waiting: 0,
    memoryPressure: 0,
    outstandingTokens: 0,
    isLeaving: false,
    isEndpointAlive: true,
    revision: 1,
    ...changes,
  };
}

function tableOf(
  ...loads: linkMessages.LoadReport[]
): endpointTable.EndpointTable {
  const table = new endpointTable.EndpointTable();
  loads.forEach((load, index) =>
    table.put({
      instance: `i-${index}`,
      endpoint: 'e',
      address: '',
      dataCentre: '',
      incarnation: 'x',
      state: endpointTable.LinkState.Up,
      load,
      loadAt: 0,
      dispatchedTokens: 0,
      isListedLeaving: false,
    }),
  );
  return table;
}

function place(
  system: placementSystem.PlacementSystem,
  table: endpointTable.EndpointTable,
  prompt = 'x',
  excluded: string[] = [],
): string | undefined {
  const request = {
    prompt,
    promptTokens: prompt.length / 4,
    requestClass: generationRequest.RequestClass.Draft,
  };
  const wanted = {
    endpoints: ['e'],
    excluded: new Set(excluded),
    request,
    expectedTokens: 500,
  };
  return system.place(table, wanted, 0).row?.instance;
}

function makeSystem(): placementSystem.PlacementSystem {
  return new placementSystem.PlacementSystem(
    placementSystem.DEFAULT_PLACEMENT_POLICY,
  );
}

test('work handed over between load reports is counted', t => {
  const table = tableOf(loadOf(), loadOf(), loadOf());
  const system = makeSystem();
  const chosen = Array.from({length: 30}, () => place(system, table));
  for (const instance of ['i-0', 'i-1', 'i-2']) {
    t.is(chosen.filter(name => name === instance).length, 10);
  }
});

test('work with a shared prefix is placed on the same instance until load outweighs it', t => {
  const table = tableOf(loadOf(), loadOf());
  const system = makeSystem();
  const prompt = 'shared template '.repeat(500);
  const first = place(system, table, prompt);
  for (const row of table.all()) {
    table.updateLoad(row, loadOf(), 0);
  }
  t.is(place(system, table, prompt), first);
  const other = [...table.all()].find(row => row.instance !== first)!;
  table.updateLoad(table.get(first!)!, loadOf({outstandingTokens: 50_000}), 0);
  t.is(place(system, table, prompt), other.instance);
});

for (const [title, load] of [
  ['leaving', loadOf({isLeaving: true})],
  ['without a live endpoint', loadOf({isEndpointAlive: false})],
] as const) {
  test(`an instance that is ${title} gets no work`, t => {
    const table = tableOf(load, loadOf({outstandingTokens: 1e6}));
    const system = makeSystem();
    t.is(place(system, table), 'i-1');
    t.is(place(system, table, 'x', ['i-1']), undefined);
  });
}
