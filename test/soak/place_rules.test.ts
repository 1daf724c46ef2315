/** The checks of evacuated data centres and cold replicas report broken rules, and no permitted behaviour. */
import * as ava from 'ava';
import * as placeRules from '../../soak/place_rules';
import * as requestHistory from '../../soak/request_history';
import * as runRules from '../../soak/run_rules';

const test = ava.default;
const {RequestKind} = requestHistory;
const LIMIT = requestHistory.EVACUATION_LIMIT_MILLISECONDS;
const EVACUATED_AT = 10_000;
const REOPENED_AT = 18_000;

/** History with one request that reached a replica of a data centre that was evacuated for some time. */
function evacuationHistory(at: number): requestHistory.RequestHistory {
  const history = new requestHistory.RequestHistory();
  history.places.recordReplica('r1', 'b');
  const end = history.places.beginEvacuation('b', EVACUATED_AT);
  end(REOPENED_AT);
  history.recordSent('a', RequestKind.Read, 'key', 'gateway-1');
  history.recordRun('a', 'r1', at, runRules.RunOrigin.New);
  return history;
}

for (const [title, at, expected] of [
  ['after the bound is a violation', EVACUATED_AT + LIMIT + 1, ['evacuated']],
  ['within the bound is allowed', EVACUATED_AT + LIMIT, []],
  ['after the order was withdrawn is allowed', REOPENED_AT + 1, []],
] as const) {
  test(`soak: a request in an evacuated data centre ${title}`, t => {
    const violations = evacuationHistory(at).violations();
    t.deepEqual(
      violations.map(({promise}) => promise),
      [...expected],
    );
  });
}

test('soak: a request in an evacuated data centre is allowed after a fault of its gateway, and not after one of another', t => {
  const at = EVACUATED_AT + LIMIT + 1;
  const history = evacuationHistory(at);
  history.beginFault('gateway-2', EVACUATED_AT)(at - 1);
  t.is(history.violations().length, 1);
  history.beginFault('gateway-1', EVACUATED_AT)(at - 1);
  t.deepEqual(history.violations(), []);
});

for (const [count, expected] of [
  [12, []],
  [13, ['cold']],
] as const) {
  test(`soak: ${count} requests in a second at a replica that is cold with a ramp of 5 a second`, t => {
    const rules = new placeRules.PlaceRules();
    rules.recordCold('r1', 5, 0, 4_000);
    const requests = Array.from({length: count}, (_, index) => ({
      attempt: String(index),
      replica: 'r1',
      at: 3_000 + index * 70,
      isBoundBy: () => false,
    }));
    const late = requests.map(each => ({...each, at: each.at + 4_000}));
    t.deepEqual(
      rules.violations([...requests, ...late]).map(({promise}) => promise),
      [...expected],
    );
  });
}
