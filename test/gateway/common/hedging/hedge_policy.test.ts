/** Whether and when a call is hedged. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as configuration from '../../../../src/gateway/common/configuration';
import * as hedgePolicy from '../../../../src/gateway/common/hedging/hedge_policy';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const {HedgePolicy} = hedgePolicy;
const ROUTE = gatewayRecords.route('/read/', {
  attempts: 2,
  objectiveMilliseconds: 200,
});
const TARGET = {endpoint: 'e', slots: 24, gateways: 1};

/** A policy with a number of requests that were answered after the time. */
function policyWith(
  answers: number,
  milliseconds = 100,
  maxShare = 0.05,
): hedgePolicy.HedgePolicy {
  const policy = new HedgePolicy(maxShare);
  for (let count = 0; count < answers; count++) {
    policy.recordRequest(0);
    policy.recordAnswer(ROUTE.name, milliseconds, 0);
  }
  return policy;
}

test('hedges: the delay is the 95th percentile of the answer times', t => {
  t.is(policyWith(20).delayFor(ROUTE, 0), 100);
});

test('hedges: the delay is at least a fifth of the objective', t => {
  t.is(policyWith(20, 5).delayFor(ROUTE, 0), 40);
});

test('hedges: with fewer than 20 answers there is none', t => {
  t.is(policyWith(19).delayFor(ROUTE, 0), undefined);
});

for (const [title, overrides] of [
  [
    'not idempotent',
    {kind: configuration.RequestKind.NonIdempotent, attempts: 2},
  ],
  ['streaming', {kind: configuration.RequestKind.Streaming, isResumable: true}],
  ['allowed one attempt', {attempts: 1}],
] as const) {
  test(`hedges: a route that is ${title} has none`, t => {
    const route = {...ROUTE, ...overrides};
    t.is(policyWith(100).delayFor(route, 0), undefined);
  });
}

test('hedges: no more than the share of the requests of a sliding window', t => {
  const event = fastCheck.record({
    pause: fastCheck.integer({min: 0, max: 200}),
    wantsHedge: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(event, {minLength: 1_000, maxLength: 3_000}),
      events => {
        const policy = new HedgePolicy(0.05);
        const requests: number[] = [];
        const hedges: number[] = [];
        let now = 0;
        for (const {pause, wantsHedge} of events) {
          now += pause;
          policy.recordRequest(now);
          requests.push(now);
          if (wantsHedge && policy.mayHedge(TARGET, now)) {
            policy.recordHedge(now);
            hedges.push(now);
          }
        }
        t.true(hedges.length > 0);
        // The last twentieth of the window is counted in steps.
        for (const end of hedges) {
          const countSince = (times: number[], milliseconds: number) =>
            times.filter(at => at > end - milliseconds && at <= end).length;
          t.true(
            countSince(hedges, 57_000) <= 0.05 * countSince(requests, 60_000),
          );
        }
      },
    ),
    {seed: 13, numRuns: 20},
  );
});

test('hedges: the share is that of the last minute, not of an earlier one', t => {
  const policy = policyWith(40);
  t.true(policy.mayHedge(TARGET, 0));
  policy.recordHedge(0);
  policy.recordHedge(0);
  t.false(policy.mayHedge(TARGET, 0));
  t.false(policy.mayHedge(TARGET, 61_000));
  for (let count = 0; count < 20; count++) {
    policy.recordRequest(61_000);
  }
  t.true(policy.mayHedge(TARGET, 61_000));
});

test('hedges: none while more than three quarters of the slots are open', t => {
  const policy = policyWith(100);
  for (let count = 0; count < 18; count++) {
    policy.recordOpen('e', 1, 0);
  }
  t.true(policy.mayHedge(TARGET, 0));
  policy.recordOpen('e', 1, 0);
  t.false(policy.mayHedge(TARGET, 0));
  t.true(policy.mayHedge({...TARGET, endpoint: 'f'}, 0));
  policy.recordOpen('e', -1, 1);
  t.true(policy.mayHedge(TARGET, 1));
});

test('hedges: none while the requests of other gateways are expected to fill the slots', t => {
  const policy = policyWith(100);
  policy.recordOpen('e', 1, 0);
  t.true(policy.mayHedge({...TARGET, gateways: 24}, 100));
  t.false(policy.mayHedge({...TARGET, gateways: 24}, 20_000));
});

test('hedges: none after the policy is stopped', t => {
  const policy = policyWith(100);
  policy.stop();
  t.false(policy.mayHedge(TARGET, 0));
});

function instanceOf(
  overrides: Partial<instanceTable.InstanceRecord> = {},
): instanceTable.Instance {
  const table = new instanceTable.InstanceTable();
  return table.replace([gatewayRecords.instanceRecord(overrides)], 0).added[0];
}

test('hedges: a cold instance gets none until it is warm', t => {
  const instance = instanceOf({warmUpMilliseconds: 5_000});
  t.false(hedgePolicy.isHedgeTarget(instance, 4_999));
  t.true(hedgePolicy.isHedgeTarget(instance, 5_000));
});

test('hedges: an instance whose last request failed gets none', t => {
  const instance = instanceOf();
  t.true(hedgePolicy.isHedgeTarget(instance, 1));
  instanceTable.recordOutcome(instance, true, 1);
  t.false(hedgePolicy.isHedgeTarget(instance, 2));
  instanceTable.recordOutcome(instance, false, 2);
  t.true(hedgePolicy.isHedgeTarget(instance, 3));
});
