/** Placement of long and short streams on engines of different speed. */
import * as ava from 'ava';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as placement from '../../../../src/gateway/common/placement';
import * as runTable from '../../../../src/gateway/common/run_table';
import * as measuredSpeeds from '../../../../src/gateway/common/speeds/measured_speeds';
import * as gatewayRecords from '../../../support/gateway_records';
import * as scriptedFleet from '../../../support/scripted_fleet';

const test = ava.default;
const NOW = 1_000;
const CAPACITY_TOKENS = 26_870;

interface Kind {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly objectiveMilliseconds: number;
}

const DRAFT: Kind = {
  promptTokens: 3_079,
  expectedTokens: 748,
  objectiveMilliseconds: 4_006,
};
const CHECK: Kind = {
  promptTokens: 2_550,
  expectedTokens: 8,
  objectiveMilliseconds: 1_504,
};

type Loads = ReadonlyMap<string, runTable.InstanceLoad>;

/** Engines of these speeds, and the gateway that has measured them. */
class Engines {
  readonly instances: readonly instanceTable.Instance[];
  private readonly measured = new measuredSpeeds.MeasuredSpeeds(
    new runTable.RunTable(true),
    true,
  );

  constructor(speeds: readonly (number | undefined)[]) {
    const records = speeds.map((_, index) =>
      gatewayRecords.instanceRecord({id: `i-${index}`, dataCentre: 'a'}),
    );
    this.instances = [
      ...new instanceTable.InstanceTable().replace(records, -60_000).added,
    ];
    this.instances.forEach(({record}, index) => {
      const speed = speeds[index];
      if (speed !== undefined) {
        const life = instanceTable.lifeOf(record);
        this.measured.speeds.setOwn(life, speed, NOW);
      }
    });
  }

  place(
    kind: Kind,
    loads: Loads = new Map(),
    options: {gatewayCount?: number; draw?: () => number} = {},
  ): string | undefined {
    const outlook = this.measured.outlook(
      'e',
      this.instances,
      {...kind, tokensPerEvent: 4, maxPauseMilliseconds: 180},
      NOW,
    );
    return this.choose(kind, loads, {...options, outlook});
  }

  /** As `place`, without measured speeds. */
  choose(
    kind: Kind,
    loads: Loads,
    options: Partial<placement.GenerationRequest>,
  ): string | undefined {
    const choice = placement.placeGeneration(
      this.instances,
      loads,
      {
        ...kind,
        dataCentre: 'a',
        excluded: new Set(),
        isAvailable: () => true,
        draw: () => 0.5,
        capacityTokens: CAPACITY_TOKENS,
        remoteCostMilliseconds: 5,
        gatewayCount: 4,
        softwareVersion: undefined,
        isCopy: false,
        ...options,
      },
      NOW,
    );
    return choice?.instance.record.id;
  }
}

/** Load of an engine with running drafts. */
function drafts(count: number, prefillTokens = 0): runTable.InstanceLoad {
  return {
    runs: count,
    longRuns: count,
    memoryTokens: count * 3_827,
    prefillTokens,
  };
}

test('placement by speed: a draft goes to a fast instance with room although slow ones are idle, where it would pause too long', t => {
  const engines = new Engines([0.6, 0.8, 1.3]);
  const loads = new Map([['i-2', drafts(4)]]);
  t.is(engines.place(DRAFT, loads), 'i-2');
});

test('placement by speed: a draft goes to a slow instance if all fast ones are full, rather than to one that would preempt', t => {
  const engines = new Engines([0.6, 0.8, 1.3]);
  const loads = new Map([['i-2', drafts(7)]]);
  t.is(engines.place(DRAFT, loads), 'i-1');
});

test('placement by speed: a draft goes to a slow instance if only such are left', t => {
  t.is(new Engines([0.6, 0.65, 0.8]).place(DRAFT), 'i-2');
});

test('placement by speed: a check goes to a slow instance without drafts, since its prompt would stall drafts elsewhere', t => {
  const engines = new Engines([0.6, 0.8, 1.3]);
  const loads = new Map([
    ['i-1', drafts(3)],
    ['i-2', drafts(4)],
  ]);
  t.is(engines.place(CHECK, loads), 'i-0');
});

test('placement by speed: a check does not queue behind prompts of a slow instance beyond its objective', t => {
  const engines = new Engines([0.6, 1.3]);
  const loads = new Map([
    ['i-0', {runs: 3, longRuns: 0, memoryTokens: 7_600, prefillTokens: 7_600}],
    ['i-1', drafts(4)],
  ]);
  t.is(engines.place(CHECK, loads), 'i-1');
});

test('placement by speed: an instance that runs at a sixth gets neither kind while others have room', t => {
  const engines = new Engines([0.17, 1, 1.3]);
  const loads = new Map([
    ['i-1', drafts(3)],
    ['i-2', drafts(3)],
  ]);
  t.not(engines.place(DRAFT, loads), 'i-0');
  t.not(engines.place(CHECK, loads), 'i-0');
});

test('placement by speed: an instance of unknown speed counts as one of median speed, so that it is measured', t => {
  const engines = new Engines([0.6, undefined, 1.2, 1.3]);
  const loads = new Map([
    ['i-2', drafts(4)],
    ['i-3', drafts(4)],
  ]);
  t.is(engines.place(DRAFT, loads), 'i-1');
});

test('placement by speed: with equal speeds the choices are those without any', t => {
  const engines = new Engines(Array.from({length: 12}, () => 0.7));
  const draw = scriptedFleet.drawsFrom(5);
  for (let round = 0; round < 300; round++) {
    const loads = new Map(
      engines.instances.map(
        ({record}) =>
          [
            record.id,
            drafts(Math.floor(draw() * 7), Math.floor(draw() * 3) * 2_550),
          ] as const,
      ),
    );
    for (const kind of [DRAFT, CHECK]) {
      for (const gatewayCount of [4, 24]) {
        const seed = round * 7 + gatewayCount;
        t.is(
          engines.place(kind, loads, {
            gatewayCount,
            draw: scriptedFleet.drawsFrom(seed),
          }),
          engines.choose(kind, loads, {
            gatewayCount,
            draw: scriptedFleet.drawsFrom(seed),
          }),
        );
      }
    }
  }
});

test('placement by speed: many gateways find the few fast instances of a large fleet, and do not all choose the same', t => {
  const speeds = Array.from({length: 320}, (_, index) =>
    index % 16 === 0 ? 1.4 : 0.7,
  );
  const engines = new Engines(speeds);
  const draw = scriptedFleet.drawsFrom(9);
  const counts = new Map<string, number>();
  for (let index = 0; index < 200; index++) {
    const id = engines.place(DRAFT, new Map(), {gatewayCount: 330, draw})!;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.true([...counts.keys()].every(id => Number(id.slice(2)) % 16 === 0));
  t.true(Math.max(...counts.values()) <= 200 / 5);
});
