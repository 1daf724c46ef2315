/** Plain calls before instances of which some are slow. */
import * as ava from 'ava';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as placement from '../../../../src/gateway/common/placement';
import * as runTable from '../../../../src/gateway/common/run_table';
import * as measuredSpeeds from '../../../../src/gateway/common/speeds/measured_speeds';
import * as gatewayRecords from '../../../support/gateway_records';
import * as scriptedFleet from '../../../support/scripted_fleet';

const test = ava.default;
const SLOTS = 6;
const MESSAGE_INTERVAL_MILLISECONDS = 500;

interface Answer {
  readonly at: number;
  readonly finish: () => void;
}

interface Gateway {
  readonly instances: readonly instanceTable.Instance[];
  readonly speeds: measuredSpeeds.MeasuredSpeeds;
}

/** Gateways that call a service whose instances take these times for an answer. */
class CalledService {
  /** Number of calls by instance. */
  readonly counts: number[];
  private readonly gateways: Gateway[];
  private readonly freeAt: number[][];
  private readonly draw = scriptedFleet.drawsFrom(3);
  private answers: Answer[] = [];
  private now = 0;
  private callAt = 0;
  private messageAt = 0;

  constructor(
    readonly times: number[],
    gatewayCount: number,
    isMeasuring = true,
  ) {
    this.counts = times.map(() => 0);
    this.freeAt = times.map(() => Array.from({length: SLOTS}, () => 0));
    const records = times.map((_, index) =>
      gatewayRecords.instanceRecord({
        id: `s-${index}`,
        dataCentre: index % 2 === 0 ? 'a' : 'b',
        slots: SLOTS,
      }),
    );
    this.gateways = Array.from({length: gatewayCount}, () => ({
      instances: [
        ...new instanceTable.InstanceTable().replace(records, 0).added,
      ],
      speeds: new measuredSpeeds.MeasuredSpeeds(
        new runTable.RunTable(),
        isMeasuring,
      ),
    }));
  }

  run(milliseconds: number, callsPerSecond: number): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += 1;
      const due = this.answers.filter(({at}) => at <= this.now);
      this.answers = this.answers.filter(({at}) => at > this.now);
      due.forEach(({finish}) => finish());
      if (this.now >= this.messageAt) {
        this.messageAt += MESSAGE_INTERVAL_MILLISECONDS;
        this.exchange();
      }
      for (; this.callAt <= this.now; this.callAt += 1_000 / callsPerSecond) {
        this.call();
      }
    }
  }

  private exchange(): void {
    const told = this.gateways.map(({speeds}) =>
      speeds.speeds.toRelay(this.now),
    );
    this.gateways.forEach(({speeds}, to) =>
      told.forEach((relayed, from) => {
        if (from !== to) {
          speeds.speeds.merge(relayed, this.now);
        }
      }),
    );
  }

  private call(): void {
    const index = Math.floor(this.draw() * this.gateways.length);
    const {instances, speeds} = this.gateways[index];
    const instance = placement.placeCall(
      instances,
      {
        dataCentre: index % 2 === 0 ? 'a' : 'b',
        excluded: new Set(),
        isAvailable: () => true,
        draw: this.draw,
        callOutlook: speeds.callOutlook('e', instances, this.now),
      },
      this.now,
    )!;
    const target = instances.indexOf(instance);
    this.counts[target]++;
    instance.openRequests++;
    const slots = this.freeAt[target];
    const slot = slots.indexOf(Math.min(...slots));
    // Times vary by a third, and one answer in twenty takes three times as long.
    const factor = (0.83 + this.draw() / 3) * (this.draw() < 0.05 ? 3 : 1);
    slots[slot] = Math.max(slots[slot], this.now) + this.times[target] * factor;
    const sentAt = this.now;
    this.answers.push({
      at: slots[slot],
      finish: () => {
        instance.openRequests--;
        speeds.recordAnswer(instance, this.now - sentAt, this.now);
      },
    });
  }
}

function shareOf(counts: readonly number[], index: number): number {
  return counts[index] / counts.reduce((left, right) => left + right, 0);
}

for (const [gatewayCount, callsPerSecond] of [
  [1, 50],
  [4, 60],
  [24, 79],
]) {
  test(`plain calls: with two of three instances ten times slower nine of ten calls go to the fast one, ${gatewayCount} gateways`, t => {
    const service = new CalledService([40, 400, 400], gatewayCount);
    service.run(30_000, callsPerSecond);
    const share = shareOf(service.counts, 0);
    t.true(share >= 0.9, `${share}`);
  });

  test(`plain calls: an instance that has become quick again is used within about 2 s, ${gatewayCount} gateways`, t => {
    const service = new CalledService([40, 400, 400], gatewayCount);
    service.run(10_000, callsPerSecond);
    service.times[1] = 40;
    service.run(2_500, callsPerSecond);
    service.counts.fill(0);
    service.run(2_000, callsPerSecond);
    const share = shareOf(service.counts, 1);
    t.true(share >= 0.25, `${share}`);
  });

  test(`plain calls: an instance that becomes ten times slower loses its calls within 2 s, ${gatewayCount} gateways`, t => {
    const service = new CalledService([40, 40, 40], gatewayCount);
    service.run(10_000, callsPerSecond);
    service.times[0] = 400;
    service.run(2_000, callsPerSecond);
    service.counts.fill(0);
    service.run(5_000, callsPerSecond);
    const share = shareOf(service.counts, 0);
    t.true(share <= 0.1, `${share}`);
  });
}

test('plain calls: instances that differ by chance alone share the calls, rather than all gateways choosing the same', t => {
  const service = new CalledService([40, 44, 42], 24);
  service.run(20_000, 79);
  const plain = new CalledService([40, 44, 42], 24, false);
  plain.run(20_000, 79);
  [0, 1, 2].forEach(index => {
    const difference =
      shareOf(service.counts, index) - shareOf(plain.counts, index);
    t.true(Math.abs(difference) < 0.1, `${difference}`);
  });
});
