/** Gateways that admit generations to one scripted engine, on explicit times. */
import * as customerWork from '../../src/gateway/common/admission/customer_work';
import * as demandTable from '../../src/gateway/common/admission/demand_table';
import * as generationGate from '../../src/gateway/common/admission/generation_gate';
import * as startForecast from '../../src/gateway/common/admission/start_forecast';
import * as generationQueue from '../../src/gateway/common/generation_queue';
import * as admissionOutcomes from './admission_outcomes';

export const STEP_MILLISECONDS = 10;
const CHECK_MILLISECONDS = 40;
const DIGEST_MILLISECONDS = 100;
const ENDPOINT = 'writers';
const ENGINE = 'i-1';

/** The engine and the exchange between gateways. */
export interface SimulationOptions {
  readonly gateways: number;
  readonly slots: number;
  readonly serviceMilliseconds: number;
  readonly capacityTokens?: number;
  /** Age of digests when they arrive, in milliseconds. */
  readonly digestDelay?: number;
  /** Whether the digest with the number is lost. */
  readonly isLost?: (index: number) => boolean;
}

interface Waiting extends generationQueue.WaitingGeneration {
  readonly outcome: admissionOutcomes.Outcome;
}

interface Run {
  readonly outcome: admissionOutcomes.Outcome;
  readonly waiting: Waiting;
  readonly gateway: Gateway;
  readonly sentAt: number;
  readonly runs: number;
  waited: number;
  endsAt: number;
}

interface Digest {
  readonly runs: number;
  readonly memoryTokens: number;
  readonly prefillTokens: number;
  readonly demand: demandTable.EndpointDemand[];
}

/** One gateway with its queue. */
class Gateway {
  readonly demand = new demandTable.DemandTable();
  readonly gate = new generationGate.GenerationGate(this.demand);
  readonly queue = new generationQueue.GenerationQueue<Waiting>();
  readonly peers = new Map<string, Digest>();

  constructor(readonly name: string) {}
}

/** Steps gateways and the engine. */
export class SimulatedAdmission {
  readonly outcomes: admissionOutcomes.Outcome[] = [];
  /** Time for which slots were empty while generations waited, in slot milliseconds. */
  wastedMilliseconds = 0;
  private now = 0;
  private gateways: Gateway[];
  private readonly runs = new Set<Run>();
  private readonly engineQueue: Run[] = [];
  private running: Run[] = [];
  private readonly inFlight: {at: number; from: string; digest: Digest}[] = [];
  private digestCount = 0;
  private gatewayCount = 0;

  constructor(private readonly options: SimulationOptions) {
    this.gateways = Array.from({length: options.gateways}, () =>
      this.newGateway(),
    );
  }

  /** Runs the loads until the time. */
  run(loads: readonly admissionOutcomes.Load[], until: number): void {
    const counts = loads.map(() => 0);
    for (; this.now < until; this.now += STEP_MILLISECONDS) {
      this.deliverDigests();
      this.endRuns();
      loads.forEach((load, index) => {
        const {from = 0, to = Infinity, perSecond} = load;
        const elapsed = Math.min(this.now, to) - from;
        const due = elapsed < 0 ? 0 : Math.floor((elapsed * perSecond) / 1000);
        for (; counts[index] < due; counts[index]++) {
          this.arrive(load, counts[index]);
        }
      });
      if (this.now % CHECK_MILLISECONDS === 0) {
        this.gateways.forEach(each => this.process(each));
      }
      if (this.now % DIGEST_MILLISECONDS === 0) {
        this.sendDigests();
      }
      const waiting = this.gateways.reduce(
        (sum, each) => sum + each.queue.length,
        0,
      );
      const empty = this.options.slots - this.running.length;
      this.wastedMilliseconds += Math.min(empty, waiting) * STEP_MILLISECONDS;
    }
  }

  /** Replaces the gateway by one that knows nothing; its runs go on. */
  restart(index: number): void {
    this.gateways[index].queue
      .entries()
      .forEach(each => (each.outcome.refusedAt = this.now));
    this.gateways[index] = this.newGateway();
  }

  /** Outcomes of a customer that arrived from the time on. */
  of(customer: string, from = 0): admissionOutcomes.Outcome[] {
    return this.outcomes.filter(
      each => each.load.customer === customer && each.arrivedAt >= from,
    );
  }

  private newGateway(): Gateway {
    return new Gateway(`gateway-${++this.gatewayCount}`);
  }

  private arrive(load: admissionOutcomes.Load, index: number): void {
    const {gateways = this.gateways.map((_, position) => position)} = load;
    const gateway = this.gateways[gateways[index % gateways.length]];
    const outcome: admissionOutcomes.Outcome = {
      load,
      arrivedAt: this.now,
      startedAt: undefined,
      firstEventAt: undefined,
      refusedAt: undefined,
    };
    this.outcomes.push(outcome);
    const {work} = gateway.demand.of(ENDPOINT);
    work.recordArrival(load.customer, this.now);
    const cost: customerWork.GenerationCost = {
      promptTokens: load.promptTokens ?? 100,
      expectedTokens: load.outputTokens ?? 100,
      capacityTokens: this.options.capacityTokens ?? Infinity,
      slots: this.options.slots,
      readTokensPerMillisecond: 7,
    };
    const waiting: Waiting = {
      outcome,
      urgency: load.urgency ?? 1,
      arrivedAt: this.now,
      objectiveMilliseconds: load.objectiveMilliseconds ?? 1_000,
      competitor: {
        endpoint: ENDPOINT,
        customer: load.customer,
        work,
        cost,
        expectedWork: customerWork.workOf(cost, this.serviceOf(load)),
        firstArrivedAt: undefined,
        lacksRoom: false,
      },
    };
    if (!gateway.queue.add(waiting)) {
      outcome.refusedAt = this.now;
    }
    this.process(gateway);
    this.refuseByForecast(gateway, waiting);
  }

  private refuseByForecast(gateway: Gateway, waiting: Waiting): void {
    const {queue, demand} = gateway;
    if (!queue.entries().includes(waiting)) {
      return;
    }
    const {now} = this;
    const table = demand.of(ENDPOINT);
    const {customer} = waiting.competitor!;
    const wait = startForecast.expectedWait({
      ...this.placesOf(gateway, waiting, this.viewOf(gateway)),
      ahead: queue.countAhead(waiting, now),
      share: table.work.deficit(customer, now) > 0 ? 1 : table.ownShare(now),
    });
    if (
      wait !== undefined &&
      wait > generationQueue.latestStart(waiting) - now
    ) {
      queue.remove(waiting);
      waiting.outcome.refusedAt = now;
    }
  }

  private placesOf(
    gateway: Gateway,
    {competitor}: Waiting,
    view: Omit<Digest, 'demand'>,
  ): generationGate.Places {
    const {slots, capacityTokens = Infinity} = this.options;
    const {promptTokens, expectedTokens} = competitor!.cost;
    const meanSize =
      view.runs === 0
        ? promptTokens + expectedTokens
        : view.memoryTokens / view.runs;
    const usableTokens = capacityTokens * generationQueue.MAX_MEMORY_SHARE;
    const freeTokens = usableTokens - view.memoryTokens;
    return {
      places: Math.min(slots, Math.floor(usableTokens / meanSize)),
      taken: view.runs,
      ownRuns: this.ownLoad(gateway).runs,
      freeTokens: new Map([[ENGINE, freeTokens]]),
      servedMilliseconds: gateway.gate.ceilings.servedMilliseconds(ENGINE),
    };
  }

  private serviceOf(load: admissionOutcomes.Load): number {
    return load.serviceMilliseconds ?? this.options.serviceMilliseconds;
  }

  private process(gateway: Gateway): void {
    const {now} = this;
    const {refused} = gateway.queue.step(now, waiting => {
      const held = this.check(gateway, waiting);
      waiting.competitor!.lacksRoom = held !== undefined;
      if (held === undefined) {
        this.start(gateway, waiting);
      }
      return held === undefined;
    });
    refused.forEach(each => (each.outcome.refusedAt = now));
    const counts = new Map<number, [number, number, number]>();
    for (const {urgency, competitor} of gateway.queue.entries()) {
      const count = counts.get(urgency) ?? [urgency, 0, 0];
      count[1]++;
      const {work, customer} = competitor!;
      count[2] += work.deficit(customer, now) > 0 ? 1 : 0;
      counts.set(urgency, count);
    }
    gateway.demand.setOwnWaiting(new Map([[ENDPOINT, [...counts.values()]]]));
  }

  private check(
    gateway: Gateway,
    waiting: Waiting,
  ): generationGate.HoldReason | undefined {
    const {slots, capacityTokens = Infinity} = this.options;
    const {competitor, arrivedAt} = waiting;
    const {promptTokens, expectedTokens} = competitor!.cost;
    const view = this.viewOf(gateway);
    return gateway.gate.check(
      {
        endpoint: ENDPOINT,
        customer: competitor!.customer,
        urgency: waiting.urgency,
        promptTokens,
        memoryTokens: promptTokens + expectedTokens,
        waitedMilliseconds: this.now - arrivedAt,
        objectiveAt: arrivedAt + waiting.objectiveMilliseconds,
        isAged: generationQueue.isAged(waiting, this.now),
      },
      {
        id: ENGINE,
        slots,
        ...view,
        memoryShare:
          (view.memoryTokens + promptTokens + expectedTokens) / capacityTokens,
        queuedRuns: undefined,
      },
      () => this.placesOf(gateway, waiting, view),
      this.now,
    );
  }

  private start(gateway: Gateway, waiting: Waiting): void {
    const {customer, work, expectedWork} = waiting.competitor!;
    work.recordStart(customer, expectedWork, this.now);
    gateway.gate.recordStart(ENDPOINT);
    const run: Run = {
      outcome: waiting.outcome,
      waiting,
      gateway,
      sentAt: this.now,
      runs: this.viewOf(gateway).runs,
      waited: 0,
      endsAt: Infinity,
    };
    run.outcome.startedAt = this.now;
    this.runs.add(run);
    this.engineQueue.push(run);
    this.fillSlots();
  }

  private fillSlots(): void {
    while (
      this.running.length < this.options.slots &&
      this.engineQueue.length > 0
    ) {
      const run = this.engineQueue.shift()!;
      const {sentAt, runs, gateway, outcome} = run;
      outcome.firstEventAt = this.now;
      run.endsAt = this.now + this.serviceOf(outcome.load);
      run.waited = gateway.gate.ceilings.recordFirstEvent(
        ENGINE,
        this.now - sentAt,
        {runs, sentAt, slots: this.options.slots},
        this.now,
      );
      this.running.push(run);
    }
  }

  private endRuns(): void {
    const ended = this.running.filter(each => each.endsAt <= this.now);
    this.running = this.running.filter(each => each.endsAt > this.now);
    for (const run of ended) {
      const {gateway, sentAt, waited} = run;
      this.runs.delete(run);
      gateway.gate.recordEnd(ENDPOINT);
      const served = this.now - sentAt - waited;
      gateway.gate.ceilings.recordEnd(ENGINE, served, this.now);
    }
    this.fillSlots();
    new Set(ended.map(each => each.gateway)).forEach(each =>
      this.process(each),
    );
  }

  private ownLoad(gateway: Gateway): Omit<Digest, 'demand'> {
    const own = [...this.runs].filter(each => each.gateway === gateway);
    const sum = (amount: (run: Run) => number) =>
      own.reduce((total, each) => total + amount(each), 0);
    const cost = ({waiting}: Run) => waiting.competitor!.cost;
    return {
      runs: own.length,
      memoryTokens: sum(
        run => cost(run).promptTokens + cost(run).expectedTokens,
      ),
      prefillTokens: sum(run =>
        run.outcome.firstEventAt === undefined ? cost(run).promptTokens : 0,
      ),
    };
  }

  private viewOf(gateway: Gateway): Omit<Digest, 'demand'> {
    const total = this.ownLoad(gateway);
    return [...gateway.peers.values()].reduce(
      (sum, each) => ({
        runs: sum.runs + each.runs,
        memoryTokens: sum.memoryTokens + each.memoryTokens,
        prefillTokens: sum.prefillTokens + each.prefillTokens,
      }),
      total,
    );
  }

  private sendDigests(): void {
    const {digestDelay = 0, isLost = () => false} = this.options;
    for (const gateway of this.gateways) {
      if (!isLost(this.digestCount++)) {
        const demand = gateway.demand.toRelay(this.now);
        const digest = {...this.ownLoad(gateway), demand};
        const at = this.now + digestDelay;
        this.inFlight.push({at, from: gateway.name, digest});
      }
    }
  }

  private deliverDigests(): void {
    while (this.inFlight.length > 0 && this.inFlight[0].at <= this.now) {
      const {from, digest} = this.inFlight.shift()!;
      for (const gateway of this.gateways) {
        if (gateway.name !== from) {
          gateway.peers.set(from, digest);
          gateway.demand.setPeerDemand(from, digest.demand, this.now);
        }
      }
    }
  }
}
