import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as resultCode from '../../src/base/common/result_code';
import * as admissionSystem from '../../src/decision/common/admission_system';
import * as attemptTable from '../../src/decision/common/attempt_table';
import * as memoryForecast from '../../src/decision/common/memory_forecast';
import * as lengthPredictor from '../../src/decision/common/length_predictor';
import * as generationRequest from '../../src/protocol/common/generation_request';

const test = ava.default;
const {RequestClass} = generationRequest;
const ENGINE = {capacityTokens: 10_000, tokensPerSecond: 1_000};

/** Distribution in which all outputs have the same length. */
class FixedLength extends lengthPredictor.LengthDistribution {
  constructor(private readonly length: number) {
    super();
  }

  survival(length: number): number {
    return length < this.length ? 1 : 0;
  }
}

interface Work {
  readonly id: string;
  readonly customer?: string;
  readonly requestClass?: generationRequest.RequestClass;
  readonly promptTokens?: number;
  readonly length?: number;
  readonly arrivedAt?: number;
  readonly isSuspect?: boolean;
}

function requestOf(work: Work): generationRequest.GenerationRequest {
  return {
    customer: work.customer ?? 'c',
    route: 'r',
    model: 'm',
    prompt: work.id,
    promptTokens: work.promptTokens ?? 100,
    maxTokens: 100_000,
    requestClass: work.requestClass ?? RequestClass.Draft,
    fingerprint: work.id,
    isSuspect: work.isSuspect ?? false,
    weight: 1,
  };
}

class Bench {
  readonly table = new attemptTable.AttemptTable();
  readonly system: admissionSystem.AdmissionSystem;

  constructor(policy: Partial<admissionSystem.AdmissionPolicy> = {}) {
    this.system = new admissionSystem.AdmissionSystem({
      ...admissionSystem.DEFAULT_ADMISSION_POLICY,
      ...policy,
    });
  }

  add(...works: Work[]): void {
    for (const work of works) {
      const distribution = new FixedLength(work.length ?? 100);
      this.table.add(
        work.id,
        requestOf(work),
        distribution,
        'link',
        work.arrivedAt ?? 0,
      );
    }
  }

  /** Admits and starts attempts; returns their ids in order. */
  admit(now = 0): string[] {
    const admitted = this.system.admit(this.table, ENGINE, now);
    for (const attempt of admitted) {
      attempt.state = attemptTable.AttemptState.Running;
    }
    return admitted.map(attempt => attempt.id);
  }
}

test('quick work is admitted before drafts that arrived earlier', t => {
  const bench = new Bench();
  bench.add(
    {id: 'draft', arrivedAt: 0},
    {id: 'quick', arrivedAt: 5, requestClass: RequestClass.Quick},
  );
  t.deepEqual(bench.admit(10), ['quick', 'draft']);
});

test('a draft that has waited longer than the limit is admitted first', t => {
  const bench = new Bench({draftPatienceMilliseconds: 1_000});
  bench.add(
    {id: 'draft', arrivedAt: 0},
    {id: 'quick', arrivedAt: 5, requestClass: RequestClass.Quick},
  );
  t.deepEqual(bench.admit(2_000), ['draft', 'quick']);
});

test('work waits when its final memory would not fit', t => {
  const bench = new Bench();
  bench.add({id: 'a', length: 6_000}, {id: 'b', length: 6_000});
  t.deepEqual(bench.admit(), ['a']);
  t.deepEqual(bench.admit(), []);
});

test('quick work is admitted while a long draft has to wait', t => {
  const bench = new Bench();
  bench.add({id: 'a', length: 8_000}, {id: 'b', length: 8_000});
  bench.admit();
  bench.add({id: 'quick', length: 10, requestClass: RequestClass.Quick});
  t.deepEqual(bench.admit(), ['quick']);
});

test('an empty engine accepts even work that is forecast not to fit', t => {
  const bench = new Bench();
  bench.add({id: 'huge', length: 50_000});
  t.deepEqual(bench.admit(), ['huge']);
});

test('a prompt prefix shared by several attempts is counted once', t => {
  const bench = new Bench();
  const shared = 't'.repeat(4 * 4_096);
  for (const id of ['a', 'b', 'c']) {
    const request = {
      ...requestOf({id}),
      prompt: shared + id,
      promptTokens: 4_097,
    };
    bench.table.add(id, request, new FixedLength(50), 'link', 0);
  }
  t.deepEqual(bench.admit(), ['a', 'b', 'c']);
});

test('one suspect runs at a time', t => {
  const bench = new Bench();
  bench.add({id: 'a', isSuspect: true}, {id: 'b', isSuspect: true}, {id: 'c'});
  t.deepEqual(bench.admit(), ['a', 'c']);
  t.deepEqual(bench.admit(), []);
});

test('a small customer is not starved by a large one', t => {
  const bench = new Bench({maxRunning: 4});
  bench.add(
    ...Array.from({length: 20}, (_, index) => ({
      id: `large-${index}`,
      customer: 'large',
      arrivedAt: index,
    })),
  );
  bench.admit();
  for (const attempt of bench.table.running()) {
    bench.system.charge(attempt, 500);
    bench.table.end(attempt, attemptTable.AttemptState.Completed, 1);
  }
  bench.add({id: 'small', customer: 'small', arrivedAt: 100});
  t.is(bench.admit(200)[0], 'small');
});

test('work that would wait too long is refused as not run, with a time to retry', t => {
  const bench = new Bench({quickWaitLimitMilliseconds: 1_000});
  bench.add(
    ...Array.from({length: 30}, (_, index) => ({
      id: `q-${index}`,
      requestClass: RequestClass.Quick,
    })),
  );
  const request = requestOf({id: 'late', requestClass: RequestClass.Quick});
  const refusal = bench.system.refuse(request, bench.table, ENGINE);
  t.is(refusal?.workState, resultCode.WorkState.NotRun);
  t.true((refusal?.retryAfterSeconds ?? 0) > 0);
});

test('with known lengths the memory is never exceeded while all attempts run (compared with a step-by-step sum)', t => {
  const works = fastCheck.array(
    fastCheck.record({
      promptTokens: fastCheck.integer({min: 1, max: 2_000}),
      length: fastCheck.integer({min: 1, max: 4_000}),
    }),
    {minLength: 2, maxLength: 30},
  );
  fastCheck.assert(
    fastCheck.property(works, list => {
      const bench = new Bench();
      bench.add(...list.map((work, index) => ({...work, id: `w-${index}`})));
      bench.admit();
      const running = bench.table.running();
      if (running.length < 2) {
        return true;
      }
      const sizeAt = (step: number) =>
        running.reduce((sum, attempt) => {
          const work = list[Number(attempt.id.slice(2))];
          return sum + (step < work.length ? work.promptTokens + step : 0);
        }, 0);
      // Between two horizons each generation may grow beyond the forecast.
      const missed = (step: number) =>
        step - (memoryForecast.HORIZONS.findLast(at => at <= step) ?? 0);
      return Array.from({length: 4_000}, (_, step) => step).every(
        step =>
          sizeAt(step) <= ENGINE.capacityTokens + running.length * missed(step),
      );
    }),
    {seed: 20261204},
  );
  t.pass();
});

test('the predictor agrees with the empirical distribution after enough observations', t => {
  const predictor = new lengthPredictor.LengthPredictor();
  const lengths = Array.from(
    {length: 2_000},
    (_, index) => 50 + ((index * 7_919) % 400),
  );
  lengths.forEach(length => predictor.record('c', 'r', length));
  const distribution = predictor.distribution('c', 'r');
  for (const length of [60, 150, 300, 420]) {
    const counted =
      lengths.filter(seen => seen > length).length / lengths.length;
    t.true(
      Math.abs(distribution.survival(length, 0) - counted) < 0.1,
      `at ${length}`,
    );
  }
});

test('counting running outputs prevents short ones from biasing the prediction', t => {
  const biased = new lengthPredictor.LengthPredictor();
  const fair = new lengthPredictor.LengthPredictor();
  for (let index = 0; index < 50; index++) {
    biased.record('c', 'r', 20);
    fair.record('c', 'r', 20);
    fair.advance('c', 'r', 0, 1_000);
  }
  const remaining = (predictor: lengthPredictor.LengthPredictor) =>
    predictor.distribution('c', 'r').expectedRemaining(0, 10_000);
  t.true(remaining(fair) > 4 * remaining(biased));
});
