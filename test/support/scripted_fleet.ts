/** Gateways before scripted engines, on the clock of a test: placements, measurements and messages, without sockets. */
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as placement from '../../src/gateway/common/placement';
import * as runTable from '../../src/gateway/common/run_table';
import * as measuredSpeeds from '../../src/gateway/common/speeds/measured_speeds';
import * as gatewayRecords from './gateway_records';
import * as scriptedEngine from './scripted_engine';

const MESSAGE_INTERVAL_MILLISECONDS = 100;
const CAPACITY_TOKENS = 26_870;
export const MAX_PAUSE_MILLISECONDS = 180;

/** One kind of requests. */
export interface ScriptedKind {
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly objectiveMilliseconds: number;
}

/** What happened to one request. */
export interface ScriptedOutcome {
  readonly kind: ScriptedKind;
  readonly engine: scriptedEngine.ScriptedEngine;
  readonly arrivedAt: number;
  firstEventAt: number;
  longestPause: number;
}

interface ScriptedGateway {
  readonly runs: runTable.RunTable;
  readonly speeds: measuredSpeeds.MeasuredSpeeds;
}

/** A reproducible sequence of numbers between 0 and 1. */
export function drawsFrom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    // The lowest bits of such a sequence repeat early.
    let mixed = state ^ (state >>> 15);
    mixed = Math.imul(mixed, 0x2c1b3c6d);
    mixed ^= mixed >>> 12;
    return (mixed >>> 0) / 2 ** 32;
  };
}

/** A deployment with one endpoint. */
export class ScriptedFleet {
  readonly outcomes: ScriptedOutcome[] = [];
  readonly gateways: ScriptedGateway[];
  readonly instances: readonly instanceTable.Instance[];
  /** Bytes of the field with speeds, over all digests. */
  speedBytes = 0;
  private readonly engines = new Map<string, scriptedEngine.ScriptedEngine>();
  private now = 0;
  private messageAt = 0;

  constructor(
    gatewayCount: number,
    speeds: readonly number[],
    isMeasuring: boolean,
    private readonly draw: () => number,
  ) {
    const records = speeds.map((speed, index) => {
      const id = `i-${index}`;
      this.engines.set(id, new scriptedEngine.ScriptedEngine(speed));
      return gatewayRecords.instanceRecord({
        id,
        address: `10.0.0.${index}:1`,
        dataCentre: 'a',
      });
    });
    this.instances = [
      ...new instanceTable.InstanceTable().replace(records, -60_000).added,
    ];
    this.gateways = Array.from({length: gatewayCount}, () => {
      const runs = new runTable.RunTable(isMeasuring);
      const measured = new measuredSpeeds.MeasuredSpeeds(runs, isMeasuring);
      return {runs, speeds: measured};
    });
  }

  /** Lets requests arrive for some time; `spellsPerSecond` instances have a slow spell. */
  run(
    milliseconds: number,
    kinds: readonly ScriptedKind[],
    spellsPerSecond = 0,
  ): void {
    const until = this.now + milliseconds;
    const arrivals = kinds.map(kind => this.now + this.gap(kind.perSecond));
    let spellAt = this.now + this.gap(spellsPerSecond);
    for (;;) {
      const engine = this.nextEngine();
      const arrival = Math.min(...arrivals);
      const next = Math.min(engine.nextAt, arrival, spellAt, this.messageAt);
      if (next > until) {
        this.now = until;
        return;
      }
      this.now = next;
      if (next === this.messageAt) {
        this.messageAt += MESSAGE_INTERVAL_MILLISECONDS;
        this.exchange();
      } else if (next === spellAt) {
        spellAt += this.gap(spellsPerSecond);
        const engines = [...this.engines.values()];
        const index = Math.floor(this.draw() * engines.length);
        engines[index].spellUntil = next + 600;
      } else if (next === arrival) {
        const index = arrivals.indexOf(arrival);
        arrivals[index] += this.gap(kinds[index].perSecond);
        this.arrive(kinds[index]);
      } else {
        engine.step();
      }
    }
  }

  private gap(perSecond: number): number {
    return perSecond > 0
      ? (-Math.log(1 - this.draw()) * 1_000) / perSecond
      : Infinity;
  }

  private nextEngine(): scriptedEngine.ScriptedEngine {
    let first: scriptedEngine.ScriptedEngine | undefined;
    for (const engine of this.engines.values()) {
      if (first === undefined || engine.nextAt < first.nextAt) {
        first = engine;
      }
    }
    return first!;
  }

  private exchange(): void {
    const digests = this.gateways.map(({runs, speeds}) => ({
      loads: runs.ownLoads(),
      speeds: speeds.speeds.toRelay(this.now),
    }));
    digests.forEach((digest, from) => {
      this.speedBytes += JSON.stringify(digest.speeds).length;
      this.gateways.forEach((gateway, to) => {
        if (from !== to) {
          gateway.runs.setPeerLoads(`g-${from}`, digest.loads, this.now);
          gateway.speeds.speeds.merge(digest.speeds, this.now);
        }
      });
    });
  }

  private arrive(kind: ScriptedKind): void {
    const index = Math.floor(this.draw() * this.gateways.length);
    const {runs, speeds} = this.gateways[index];
    const choice = placement.placeGeneration(
      this.instances,
      runs.view(),
      {
        dataCentre: 'a',
        excluded: new Set(),
        isAvailable: () => true,
        draw: this.draw,
        promptTokens: kind.promptTokens,
        expectedTokens: kind.outputTokens,
        capacityTokens: CAPACITY_TOKENS,
        remoteCostMilliseconds: 5,
        gatewayCount: this.gateways.length,
        softwareVersion: undefined,
        isCopy: false,
        outlook: speeds.outlook(
          'e',
          this.instances,
          {
            ...kind,
            expectedTokens: kind.outputTokens,
            tokensPerEvent: scriptedEngine.TOKENS_PER_EVENT,
            maxPauseMilliseconds: MAX_PAUSE_MILLISECONDS,
          },
          this.now,
        ),
      },
      this.now,
    );
    this.start(choice!.instance, kind, this.gateways[index]);
  }

  /** Starts a generation at the instance through the gateway. */
  start(
    instance: instanceTable.Instance,
    kind: ScriptedKind,
    {runs, speeds}: ScriptedGateway,
  ): void {
    const {id} = instance.record;
    const run: runTable.Run = {
      attemptId: '',
      instanceId: id,
      copyInstanceId: undefined,
      endpoint: 'e',
      promptTokens: kind.promptTokens,
      maxTokens: kind.outputTokens,
      expectedTokens: kind.outputTokens,
      tokensPerEvent: scriptedEngine.TOKENS_PER_EVENT,
      eventsDelivered: 0,
      hasStarted: false,
    };
    runs.add(run);
    const observer = speeds.observe(instance, run);
    const engine = this.engines.get(id)!;
    const outcome: ScriptedOutcome = {
      kind,
      engine,
      arrivedAt: this.now,
      firstEventAt: Infinity,
      longestPause: 0,
    };
    this.outcomes.push(outcome);
    let lastAt = 0;
    const onEvent = (now: number) => {
      if (run.hasStarted) {
        outcome.longestPause = Math.max(outcome.longestPause, now - lastAt);
        observer?.add(now - lastAt, 1, now);
      } else {
        outcome.firstEventAt = now;
      }
      lastAt = now;
      run.hasStarted = true;
      run.eventsDelivered++;
    };
    const {promptTokens, outputTokens} = kind;
    engine.add(
      {promptTokens, outputTokens, onEvent, onEnd: () => runs.remove(run)},
      this.now,
    );
  }
}
