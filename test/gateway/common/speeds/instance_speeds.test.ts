/** Estimates of many gateways: merged, told and forgotten. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as instanceSpeeds from '../../../../src/gateway/common/speeds/instance_speeds';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const SEED = 20_261_204;

function makeInstances(count: number): instanceTable.Instance[] {
  const records = Array.from({length: count}, (_, index) =>
    gatewayRecords.instanceRecord({id: `i-${index}`, startedAt: 7}),
  );
  return [...new instanceTable.InstanceTable().replace(records, 0).added];
}

test('instance speeds: estimates of many gateways give the same result in any order, or gateways would place differently for good', t => {
  const relayed = fastCheck.tuple(
    fastCheck.constantFrom('i-1/7', 'i-2/7', 'i-3/7'),
    fastCheck.integer({min: 10, max: 300}),
    fastCheck.nat(50),
  );
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(relayed, {maxLength: 20}),
      fastCheck.infiniteStream(fastCheck.nat()),
      (messages, keys) => {
        const shuffled = messages
          .map(message => ({message, key: keys.next().value as number}))
          .sort((left, right) => left.key - right.key)
          .map(({message}) => message);
        const [first, second] = [messages, shuffled].map(order => {
          const speeds = new instanceSpeeds.InstanceSpeeds();
          order.forEach(each => speeds.merge([each], 10_000));
          return ['i-1/7', 'i-2/7', 'i-3/7'].map(life =>
            speeds.get(life, 10_000),
          );
        });
        t.deepEqual(first, second);
      },
    ),
    {seed: SEED},
  );
});

test('instance speeds: an estimate that is not renewed expires, so that an instance is measured again', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  speeds.setOwn('i-1/7', 0.7, 0);
  speeds.merge([['i-2/7', 80, 100]], 0);
  t.is(speeds.get('i-1/7', 60_000), 0.7);
  t.is(speeds.get('i-1/7', 60_001), undefined);
  t.is(speeds.get('i-2/7', 49_000), 0.8);
  t.is(speeds.get('i-2/7', 50_001), undefined);
});

test('instance speeds: the next incarnation of an instance does not inherit a speed', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  speeds.setOwn('i-1/7', 0.7, 0);
  t.is(speeds.get('i-1/8', 1), undefined);
});

test('instance speeds: peers are told an estimate for some seconds, and again only if it changes or after 10 s, to keep digests small', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  const tellingAt = (now: number, speed: number) => {
    speeds.setOwn('i-1/7', speed, now);
    return speeds.toRelay(now).length > 0;
  };
  t.true(tellingAt(0, 1));
  t.true(tellingAt(2_000, 1.02));
  t.false(tellingAt(3_000, 1.02));
  t.true(tellingAt(4_000, 0.6));
  t.false(tellingAt(7_000, 0.6));
  t.true(tellingAt(14_200, 0.6));
});

test('instance speeds: what a peer has just told is not told again, since all gateways received it', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  speeds.merge([['i-1/7', 100, 3]], 1_000);
  speeds.setOwn('i-1/7', 1.03, 1_200);
  t.deepEqual(speeds.toRelay(1_200), []);
  speeds.setOwn('i-1/7', 0.5, 1_400);
  t.deepEqual(speeds.toRelay(1_500), [['i-1/7', 50, 1]]);
});

test('instance speeds: a digest has at most 48 estimates, however many instances are measured', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  for (let index = 0; index < 2_000; index++) {
    speeds.setOwn(`i-${index}/7`, 1, 0);
  }
  t.is(speeds.toRelay(0).length, 48);
  t.true(speeds.size <= 4_096);
});

test('instance speeds: instances differ only beyond what measurements of equal ones do', t => {
  const instances = makeInstances(3);
  const summary = (values: readonly number[]) => {
    const speeds = new instanceSpeeds.InstanceSpeeds();
    values.forEach((value, index) => speeds.setOwn(`i-${index}/7`, value, 0));
    return speeds.summary('e', instances, 0);
  };
  t.false(summary([]).isUneven);
  t.false(summary([0.5]).isUneven);
  t.false(summary([0.95, 1, 1.08]).isUneven);
  t.true(summary([0.6, 1, 1.6]).isUneven);
  t.is(summary([0.6, 1.6, 1]).median, 1);
});

test('instance speeds: answer times that vary by chance are not told again and again, which would fill the digests', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  let told = 0;
  for (let now = 0; now < 10_000; now += 100) {
    speeds.recordAnswer('i-1/7', 45 + (now % 700) / 100, now);
    told += speeds.toRelay(now).length;
  }
  t.true(told <= 27, `${told}`);
});

test('instance speeds: a single slow answer changes nothing, three change the estimate, and peers that know more confirm the first', t => {
  const speeds = new instanceSpeeds.InstanceSpeeds();
  const answer = (milliseconds: number, now: number) => {
    speeds.recordAnswer('i-1/7', milliseconds, now);
    return speeds.answerTime('i-1/7', now);
  };
  [40, 41, 42, 40].forEach((time, index) => answer(time, index));
  t.true(answer(400, 10)! < 50);
  t.true(answer(400, 20)! < 50);
  t.is(answer(400, 30), 400);
  [40, 40, 40, 40].forEach((time, index) => answer(time, 40 + index));
  speeds.merge([['i-1/7', 25, 0]], 100);
  t.is(answer(410, 110), 410);
});
