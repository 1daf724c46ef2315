/** Shares of customers at an engine for 16 generations a second, played on explicit times. */
import * as ava from 'ava';
import * as admissionOutcomes from '../../../support/admission_outcomes';
import * as simulatedAdmission from '../../../support/simulated_admission';

const test = ava.default;
const {countServed, shareInTime} = admissionOutcomes;
const ENGINE = {gateways: 3, slots: 24, serviceMilliseconds: 1_500};
const CAPACITY_PER_SECOND = 16;
const LARGE: admissionOutcomes.Load = {customer: 'large', perSecond: 50};
const SMALL: admissionOutcomes.Load = {customer: 'small', perSecond: 3};
const END = 20_000;

/** Most generations that the engine begins in the time. */
function capacityOf(milliseconds: number): number {
  return (milliseconds * CAPACITY_PER_SECOND) / 1000;
}

interface ExchangeCase extends Pick<
  simulatedAdmission.SimulationOptions,
  'digestDelay' | 'isLost'
> {
  readonly title: string;
}

const EXCHANGES: readonly ExchangeCase[] = [
  {title: 'fresh digests'},
  {title: 'digests 0.7 s old', digestDelay: 700},
  {title: 'half of the digests lost', isLost: index => index % 2 === 1},
];

for (const {title, ...exchange} of EXCHANGES) {
  // Guards against a flood that takes the places of a small customer, and against places left empty for it.
  test(`admission: a small customer beside a flood is served, the flood gets the rest, with ${title}`, t => {
    const simulation = new simulatedAdmission.SimulatedAdmission({
      ...ENGINE,
      ...exchange,
    });
    simulation.run([LARGE, SMALL], END);
    const small = shareInTime(simulation.of('small'));
    const served = countServed(simulation.outcomes);
    t.log(`small ${small.toFixed(2)} in time, ${served} of ${capacityOf(END)}`);
    t.true(small >= 0.9);
    t.true(served >= 0.9 * capacityOf(END));
  });
}

// Guards against shares that depend on what a gateway remembers of before.
test('admission: a small customer is served after half of the gateways were restarted', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission({
    ...ENGINE,
    gateways: 4,
  });
  simulation.run([LARGE, SMALL], 8_000);
  simulation.restart(0);
  simulation.restart(1);
  const from = 8_000;
  const again = [LARGE, SMALL].map(each => ({...each, from}));
  simulation.run(again, END);
  t.true(shareInTime(simulation.of('small', from)) >= 0.9);
});

// Guards against room that is kept for gateways or customers that have no generations.
for (const gateways of [[0], [0, 1, 2]]) {
  test(`admission: a customer alone uses everything at ${gateways.length} of three gateways`, t => {
    const simulation = new simulatedAdmission.SimulatedAdmission(ENGINE);
    simulation.run([{...LARGE, gateways}], END);
    const served = countServed(simulation.outcomes);
    t.log(`${served} of ${capacityOf(END)}`);
    t.true(served >= 0.95 * capacityOf(END));
  });
}

// Guards against waits and refusals while nothing is scarce.
test('admission: below half of the capacity nothing waits, also in bursts', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission(ENGINE);
  simulation.run([{...LARGE, perSecond: 4}, SMALL], END);
  t.true(simulation.outcomes.every(each => each.startedAt === each.arrivedAt));
});

test('admission: two floods at different gateways get the same', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission(ENGINE);
  simulation.run(
    [
      {...LARGE, gateways: [0]},
      {customer: 'other', perSecond: 50, gateways: [1, 2]},
    ],
    END,
  );
  const first = countServed(simulation.of('large', 5_000));
  const second = countServed(simulation.of('other', 5_000));
  t.log(`${first} and ${second}`);
  t.true(Math.min(first, second) >= 0.8 * Math.max(first, second));
});

// Guards against credit from the time before: a newcomer would shut out others for seconds.
test('admission: a customer that arrives late gets its share, and leaves the others theirs', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission(ENGINE);
  simulation.run(
    [LARGE, {customer: 'late', perSecond: 50, from: 8_000}],
    12_000,
  );
  const large = countServed(simulation.of('large', 8_000));
  const late = countServed(simulation.of('late'));
  t.log(`large ${large}, late ${late}`);
  t.true(late >= 0.25 * (large + late));
  t.true(large >= 0.25 * (large + late));
});

// Guards against short urgent work that waits behind long work with the same engine.
test('admission: checks of 2,550 tokens start in time beside a flood of long drafts', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission({
    ...ENGINE,
    capacityTokens: 60_000,
  });
  simulation.run(
    [
      {
        customer: 'drafts',
        perSecond: 20,
        urgency: 2,
        objectiveMilliseconds: 4_006,
        promptTokens: 3_079,
        outputTokens: 748,
        serviceMilliseconds: 4_000,
      },
      {
        customer: 'checks',
        perSecond: 3,
        urgency: 0,
        objectiveMilliseconds: 1_504,
        promptTokens: 2_550,
        outputTokens: 8,
        serviceMilliseconds: 250,
      },
    ],
    END,
  );
  const share = shareInTime(simulation.of('checks'));
  t.log(
    `checks ${share.toFixed(2)}, drafts ${countServed(simulation.of('drafts'))}`,
  );
  t.true(share >= 0.9);
  t.true(countServed(simulation.of('drafts')) > 0);
});

// Guards against small generations that take each part of the room that a large one waits for.
for (const gateways of [1, 3]) {
  test(`admission: the largest tenth of the generations is not starved at ${gateways} gateways`, t => {
    const simulation = new simulatedAdmission.SimulatedAdmission({
      ...ENGINE,
      gateways,
      capacityTokens: 10_000,
    });
    const objectiveMilliseconds = 5_000;
    simulation.run(
      [
        {...LARGE, perSecond: 27, outputTokens: 400, objectiveMilliseconds},
        {
          ...LARGE,
          perSecond: 3,
          promptTokens: 3_000,
          outputTokens: 400,
          objectiveMilliseconds,
        },
      ],
      END,
    );
    const share = (isLarge: boolean) => {
      const all = simulation.outcomes.filter(
        ({load}) => (load.promptTokens !== undefined) === isLarge,
      );
      return countServed(all) / all.length;
    };
    t.log(`large ${share(true).toFixed(2)}, others ${share(false).toFixed(2)}`);
    t.true(share(true) >= 0.5 * share(false));
  });
}

// Guards against less urgent work that never starts beside urgent work that fills the engine.
test('admission: a less urgent customer gets a part beside urgent floods, by ageing', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission(ENGINE);
  simulation.run(
    [
      {...LARGE, urgency: 0},
      {...SMALL, urgency: 2, objectiveMilliseconds: 4_000},
    ],
    END,
  );
  t.true(shareInTime(simulation.of('small')) >= 0.5);
});

test('admission: a refusal comes within the share of the objective that may be waited', t => {
  const simulation = new simulatedAdmission.SimulatedAdmission(ENGINE);
  simulation.run([LARGE, SMALL], END);
  const waits = simulation.outcomes
    .filter(each => each.refusedAt !== undefined)
    .map(each => each.refusedAt! - each.arrivedAt);
  t.true(waits.length > 0);
  t.true(waits.every(wait => wait <= 650));
});
