/** Speeds measured from the events of scripted engines. */
import * as ava from 'ava';
import * as speedMeter from '../../../../src/gateway/common/speeds/speed_meter';
import * as scriptedEngine from '../../../support/scripted_engine';

const test = ava.default;
const OUTPUT_TOKENS = 748;

/** An engine with three long streams, each of which is followed by another, whose events one meter gets. */
class MeasuredEngine {
  readonly meter = new speedMeter.SpeedMeter();
  readonly engine: scriptedEngine.ScriptedEngine;
  private readonly read = (now: number) => this.addPrompt(now);
  private promptAt: number;

  constructor(
    speed: number,
    private readonly promptIntervalMilliseconds: number,
  ) {
    this.engine = new scriptedEngine.ScriptedEngine(speed);
    this.promptAt = promptIntervalMilliseconds;
    [0, 1, 2].forEach(() => this.addStream(0));
  }

  runUntil(time: number): void {
    while (Math.min(this.engine.nextAt, this.promptAt) <= time) {
      if (this.promptAt <= this.engine.nextAt) {
        this.read(this.promptAt);
        this.promptAt += this.promptIntervalMilliseconds;
      } else {
        this.engine.step();
      }
    }
  }

  private addPrompt(now: number): void {
    this.engine.add(
      {
        promptTokens: 2_550,
        outputTokens: 8,
        onEvent: () => undefined,
        onEnd: () => undefined,
      },
      now,
    );
  }

  private addStream(now: number): void {
    let lastAt = 0;
    this.engine.add(
      {
        promptTokens: 512,
        outputTokens: OUTPUT_TOKENS,
        onEvent: at => {
          if (lastAt > 0) {
            const runs = () => this.engine.runCount;
            const {TOKENS_PER_EVENT} = scriptedEngine;
            this.meter.add(at - lastAt, TOKENS_PER_EVENT, runs, at);
          }
          lastAt = at;
        },
        onEnd: at => this.addStream(at),
      },
      now,
    );
  }
}

function isNear(measured: number | undefined, speed: number): boolean {
  return measured !== undefined && Math.abs(measured / speed - 1) <= 0.1;
}

for (const speed of [0.6, 1, 1.6]) {
  test(`speed meter: a speed of ${speed} is found beside prompts and slow spells, which must not count as a lower speed`, t => {
    const measured = new MeasuredEngine(speed, 1_000);
    for (let time = 2_500; time <= 20_000; time += 100) {
      if (time % 4_000 === 0) {
        measured.engine.spellUntil = time + 600;
      }
      measured.runUntil(time);
      const found = measured.meter.speed;
      t.true(isNear(found, speed), `${found} after ${time} ms`);
    }
  });
}

test('speed meter: one second of events of a single stream gives an estimate, as a new instance is to be judged by its first stream', t => {
  const measured = new MeasuredEngine(0.8, 5_000);
  measured.runUntil(1_300);
  t.true(isNear(measured.meter.speed, 0.8));
});

for (const [from, to] of [
  [1.2, 0.4],
  [1.2, 0.2],
  [0.4, 1.2],
]) {
  test(`speed meter: a lasting change from ${from} to ${to} is found within 2 s, or a failing instance would get streams for longer`, t => {
    const measured = new MeasuredEngine(from, 1_500);
    measured.runUntil(10_000);
    t.true(isNear(measured.meter.speed, from));
    measured.engine.speed = to;
    measured.runUntil(12_000);
    t.true(isNear(measured.meter.speed, to), `${measured.meter.speed}`);
  });
}

test('speed meter: events from before a long silence do not count, since the instance may have changed', t => {
  const measured = new MeasuredEngine(1.5, 5_000);
  measured.runUntil(4_000);
  t.true(isNear(measured.meter.speed, 1.5));
  measured.meter.add(40, 4, () => 3, 100_000);
  t.is(measured.meter.speed, undefined);
});
