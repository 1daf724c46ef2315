/** Who reads evacuations while the gateways that watch the store are of an older build. */
import * as ava from 'ava';
import * as evacuationDuty from '../../../../src/gateway/common/availability/evacuation_duty';

const test = ava.default;
const COUNT = 21;
const names = Array.from({length: COUNT}, (_, index) => `gateway-${index}`);

/** Lets each gateway hear all others at the time. */
function meet(duties: evacuationDuty.EvacuationDuty[], now: number): void {
  duties.forEach((duty, own) =>
    names.forEach((name, index) => {
      if (index !== own) {
        duty.recordPeer(name, false, now);
      }
    }),
  );
}

function create(): evacuationDuty.EvacuationDuty[] {
  return names.map(name => new evacuationDuty.EvacuationDuty(name, 0));
}

test('evacuation duty: while a watching gateway tells of evacuations, no other reads them', t => {
  const duty = new evacuationDuty.EvacuationDuty('gateway-1', 0);
  for (let now = 0; now < 20_000; now += 800) {
    duty.recordPeer('watcher', true, now);
    t.false(duty.isSubstitute(now + 799));
  }
});

test('evacuation duty: if those that watch are of an older build, three of many others read, so that calls do not grow with the fleet', t => {
  const duties = create();
  meet(duties, 1_000);
  t.is(duties.filter(duty => duty.isSubstitute(1_000)).length, 0);
  meet(duties, 3_000);
  t.is(duties.filter(duty => duty.isSubstitute(3_000)).length, 3);
});

test('evacuation duty: when those three end, others take their place', t => {
  const duties = create();
  meet(duties, 3_000);
  const rest = duties.filter(duty => !duty.isSubstitute(3_000));
  t.is(rest.length, COUNT - 3);
  const restNames = names.filter((_, index) => rest.includes(duties[index]));
  rest.forEach(duty =>
    restNames.forEach(name => duty.recordPeer(name, false, 14_000)),
  );
  t.is(rest.filter(duty => duty.isSubstitute(14_000)).length, 3);
});

test('evacuation duty: substitutes stop when a watching gateway tells of evacuations', t => {
  const duties = create();
  meet(duties, 3_000);
  duties.forEach(duty => duty.recordPeer('watcher', true, 3_100));
  t.is(duties.filter(duty => duty.isSubstitute(3_200)).length, 0);
});
