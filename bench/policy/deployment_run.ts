/** One run of a workload on several replicas, on a simulated clock. */
import * as endpointTable from '../../src/decision/common/endpoint_table';
import * as lengthPredictor from '../../src/decision/common/length_predictor';
import * as placementSystem from '../../src/decision/common/placement_system';
import * as engineModel from '../../standins/engine_model';
import * as meters from './meter';
import * as policies from './policy';
import * as replicas from './replica';
import * as workloads from './workload';

const ENDPOINT = 'engines';
const WARM_UP_SECONDS = 60;
/** Time after the last arrival at which the run is stopped, in milliseconds. */
const DRAIN_LIMIT_MILLISECONDS = 3_600_000;
const MAX_PLACEMENTS = 2;

/** Faults of a run. */
export enum FaultName {
  None = 'none',
  EngineKilled = 'engine-killed',
  EngineReclaimed = 'engine-reclaimed',
  LateReports = 'late-reports',
  LengthChange = 'length-change',
}

/** Options of a run. */
export interface RunOptions {
  readonly workload: workloads.WorkloadOptions;
  readonly policy: policies.Policy;
  readonly engineParameters: engineModel.EngineParameters;
  readonly fault: FaultName;
}

interface PendingEvent {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** Priority queue of events by time; events of the same time keep their order. */
class EventQueue {
  private readonly heap: PendingEvent[] = [];
  private order = 0;
  now = 0;

  add(at: number, action: () => void): void {
    const event = {at, order: this.order++, action};
    const heap = this.heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(heap[index], heap[parent])) {
        return;
      }
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  run(until: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= until) {
      const event = this.pop();
      this.now = event.at;
      event.action();
    }
  }

  private pop(): PendingEvent {
    const heap = this.heap;
    const first = heap[0];
    const last = heap.pop()!;
    if (heap.length === 0) {
      return first;
    }
    heap[0] = last;
    for (let index = 0; ;) {
      const left = 2 * index + 1;
      if (left >= heap.length) {
        return first;
      }
      const right = left + 1;
      const child =
        right < heap.length && isEarlier(heap[right], heap[left])
          ? right
          : left;
      if (!isEarlier(heap[child], heap[index])) {
        return first;
      }
      [heap[index], heap[child]] = [heap[child], heap[index]];
      index = child;
    }
  }
}

function isEarlier(left: PendingEvent, right: PendingEvent): boolean {
  return (
    left.at < right.at || (left.at === right.at && left.order < right.order)
  );
}

/** Simulates a deployment under a workload. */
export class DeploymentRun {
  private readonly queue = new EventQueue();
  private readonly members: replicas.Replica[];
  private readonly table = new endpointTable.EndpointTable();
  private readonly placement: placementSystem.PlacementSystem;
  private readonly predictor = new lengthPredictor.LengthPredictor();
  private readonly meter: meters.PolicyMeter;
  private readonly requests: readonly workloads.WorkloadRequest[];
  /** Milliseconds until the last arrival. */
  private readonly duration: number;
  private nextIndex = 0;
  private jobCount = 0;

  constructor(private readonly options: RunOptions) {
    const {workload, policy, engineParameters} = options;
    const isChanging = options.fault === FaultName.LengthChange;
    const changeAtSecond = isChanging ? workload.seconds / 2 : 0;
    this.requests = workloads.makeWorkload({...workload, changeAtSecond});
    this.duration = this.requests[this.requests.length - 1].at;
    this.meter = new meters.PolicyMeter(WARM_UP_SECONDS * 1000, this.duration);
    this.placement = new placementSystem.PlacementSystem(
      policy.placementPolicy,
    );
    this.members = Array.from(
      {length: workloads.WORKLOADS[workload.name].replicas},
      (_, index) =>
        new replicas.Replica(
          `engine-${index}`,
          policy,
          engineParameters,
          this.meter,
          request => this.recordLength(request),
        ),
    );
    this.members.forEach(member => this.table.put(toEndpointInstance(member)));
  }

  /** Runs to the end and returns the measurements. */
  run(): meters.PolicyResult {
    for (const request of this.requests) {
      this.queue.add(request.at, () => this.arrive(request));
    }
    this.members.forEach(member => this.report(member));
    this.scheduleFault();
    this.queue.run(this.duration + DRAIN_LIMIT_MILLISECONDS);
    const preemptions = this.members.reduce(
      (sum, member) => sum + member.engine.preemptionCount,
      0,
    );
    const open = this.members.reduce(
      (sum, member) => sum + (member.isAlive ? member.openCount : 0),
      0,
    );
    return this.meter.result(preemptions, open);
  }

  private recordLength(request: workloads.WorkloadRequest): void {
    if (this.options.policy.learnsLengths) {
      this.predictor.record(
        request.customer,
        request.route,
        request.outputTokens,
      );
    }
  }

  private get reportLag(): number {
    return this.options.fault === FaultName.LateReports ? 2_000 : 50;
  }

  private scheduleFault(): void {
    const at = this.duration / 2;
    const member = this.members[0];
    if (this.options.fault === FaultName.EngineKilled) {
      this.queue.add(at, () => this.kill(member));
    }
    if (this.options.fault === FaultName.EngineReclaimed) {
      this.queue.add(at, () => (member.isLeaving = true));
      this.queue.add(at + 30_000, () => this.kill(member));
    }
  }

  /** Kills a replica: streams that have delivered tokens are lost, the others are placed again. */
  private kill(member: replicas.Replica): void {
    this.table.get(member.name)!.state = endpointTable.LinkState.Lost;
    for (const job of member.fail()) {
      if (job.meter.lastAt >= 0) {
        this.meter.lost++;
      } else {
        this.dispatch(job, new Set([member.name]));
      }
    }
  }

  private arrive(request: workloads.WorkloadRequest): void {
    const meter = new meters.RequestMeter(
      request.customer,
      request.requestClass,
      this.queue.now,
      request.outputTokens,
    );
    this.meter.recordRequest(meter);
    this.dispatch({id: `job-${this.jobCount++}`, request, meter}, new Set());
  }

  private dispatch(job: replicas.Job, excluded: Set<string>): void {
    for (let tries = 0; tries < MAX_PLACEMENTS; tries++) {
      const member = this.place(job, excluded);
      if (member === undefined) {
        break;
      }
      if (member.accept(job, this.queue.now) === undefined) {
        return this.startStepping(member);
      }
      excluded.add(member.name);
    }
    this.meter.refused++;
  }

  private place(
    job: replicas.Job,
    excluded: ReadonlySet<string>,
  ): replicas.Replica | undefined {
    const alive = this.members.filter(
      member =>
        member.isAlive && !member.isLeaving && !excluded.has(member.name),
    );
    if (this.options.policy.placement === policies.PlacementRule.RoundRobin) {
      return alive[this.nextIndex++ % alive.length];
    }
    if (this.options.policy.placement === policies.PlacementRule.FewestTokens) {
      return alive.reduce((best, member) =>
        member.outstandingTokens < best.outstandingTokens ? member : best,
      );
    }
    const {request} = job;
    const expectedTokens = this.options.policy.knowsLengths
      ? request.outputTokens
      : this.predictor
          .distribution(request.customer, request.route)
          .expectedRemaining(0, request.maxTokens);
    const placed = this.placement.place(
      this.table,
      {
        endpoints: [ENDPOINT],
        excluded,
        request,
        expectedTokens: this.options.policy.countsDispatched
          ? expectedTokens
          : 0,
      },
      this.queue.now,
    );
    return this.members.find(member => member.name === placed.row?.instance);
  }

  private startStepping(member: replicas.Replica): void {
    if (member.isStepping || !member.isAlive) {
      return;
    }
    member.isStepping = true;
    this.step(member);
  }

  private step(member: replicas.Replica): void {
    if (!member.isAlive) {
      return;
    }
    const milliseconds = member.step(this.queue.now);
    if (milliseconds === 0) {
      member.isStepping = false;
      return;
    }
    this.queue.add(this.queue.now + milliseconds, () => this.step(member));
  }

  /** Reads the load of a replica every second; the report arrives after a delay. */
  private report(member: replicas.Replica): void {
    const load = member.load();
    this.queue.add(this.queue.now + this.reportLag, () => {
      const instance = this.table.get(member.name)!;
      this.table.updateLoad(instance, load, this.queue.now);
    });
    const isOver = this.queue.now > this.duration && member.openCount === 0;
    if (!isOver && member.isAlive) {
      this.queue.add(this.queue.now + 1_000, () => this.report(member));
    }
  }
}

function toEndpointInstance(
  member: replicas.Replica,
): endpointTable.EndpointInstance {
  return {
    instance: member.name,
    endpoint: ENDPOINT,
    address: '',
    dataCentre: '',
    incarnation: '1',
    state: endpointTable.LinkState.Up,
    load: member.load(),
    loadAt: 0,
    dispatchedTokens: 0,
    isListedLeaving: false,
  };
}
