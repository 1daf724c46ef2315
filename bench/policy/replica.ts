/** One endpoint instance on the simulated clock: the product's admission in front of the engine model. */
import * as failure from '../../src/base/common/failure';
import * as admissionSystem from '../../src/decision/common/admission_system';
import * as attemptTable from '../../src/decision/common/attempt_table';
import * as lengthPredictor from '../../src/decision/common/length_predictor';
import * as throughputMeter from '../../src/decision/common/throughput_meter';
import * as generationRequest from '../../src/protocol/common/generation_request';
import * as linkMessages from '../../src/protocol/common/link_messages';
import * as engineModel from '../../standins/engine_model';
import * as meters from './meter';
import * as policies from './policy';
import * as workloads from './workload';

const PAGE_CHARACTERS = 64;

/** A request at a replica. */
export interface Job {
  readonly id: string;
  readonly request: workloads.WorkloadRequest;
  readonly meter: meters.RequestMeter;
}

/** Runs jobs on one engine. */
export class Replica {
  readonly engine: engineModel.EngineModel;
  readonly table = new attemptTable.AttemptTable();
  isAlive = true;
  isLeaving = false;
  isStepping = false;
  private readonly admission: admissionSystem.AdmissionSystem;
  private readonly throughput = new throughputMeter.ThroughputMeter();
  private readonly predictor = new lengthPredictor.LengthPredictor();
  private readonly jobs = new Map<string, Job>();

  constructor(
    readonly name: string,
    private readonly policy: policies.Policy,
    private readonly engineParameters: engineModel.EngineParameters,
    private readonly meter: meters.PolicyMeter,
    private readonly onDidFinish: (request: workloads.WorkloadRequest) => void,
  ) {
    this.engine = new engineModel.EngineModel(engineParameters);
    this.admission = new admissionSystem.AdmissionSystem(policy.admission);
  }

  /** Accepts a job, or returns the failure that refuses it. */
  accept(job: Job, now: number): failure.Failure | undefined {
    const request = toGenerationRequest(job.request);
    if (this.policy.refusesRequests) {
      const cause = this.admission.refuse(
        request,
        this.table,
        this.engineView(),
      );
      if (cause !== undefined) {
        return cause;
      }
    }
    this.jobs.set(job.id, job);
    this.table.add(job.id, request, this.distribution(job.request), '', now);
    return undefined;
  }

  /** Runs one step that begins now; returns its duration, 0 when there is nothing to do. */
  step(now: number): number {
    this.admit(now);
    const result = this.engine.step();
    const end = now + result.milliseconds;
    for (const sequence of result.produced) {
      const job = this.jobs.get(sequence.run)!;
      const attempt = this.table.get(sequence.run)!;
      attempt.tokens.push('');
      const {customer, route} = job.request;
      const length = attempt.tokens.length;
      this.predictor.advance(customer, route, length - 1, length);
      this.admission.charge(attempt, 1);
      this.meter.recordToken(job.meter, end);
    }
    this.throughput.add(
      result.produced.length,
      end,
      this.table.waiting().length > 0,
    );
    result.finished.forEach(sequence => this.finish(sequence.run, end));
    return result.milliseconds;
  }

  /** Makes the engine fail; returns the jobs that had not ended. */
  fail(): Job[] {
    this.isAlive = false;
    return [...this.jobs.values()];
  }

  /** Number of jobs that have not ended. */
  get openCount(): number {
    return this.jobs.size;
  }

  /** Exact number of prompt and output tokens of all open requests, as a load balancer with exact information would count them. */
  get outstandingTokens(): number {
    let tokens = 0;
    for (const attempt of [...this.table.running(), ...this.table.waiting()]) {
      tokens += attempt.request.promptTokens + attempt.tokens.length;
    }
    return tokens;
  }

  load(): linkMessages.LoadReport {
    let outstandingTokens = 0;
    for (const attempt of [...this.table.running(), ...this.table.waiting()]) {
      outstandingTokens += attempt.distribution.expectedRemaining(
        attempt.tokens.length,
        attempt.request.maxTokens,
      );
    }
    return {
      running: this.table.running().length,
      waiting: this.table.waiting().length,
      memoryPressure: this.admission.pressure(this.table, this.engineView()),
      outstandingTokens,
      isLeaving: this.isLeaving,
      isEndpointAlive: this.isAlive,
      revision: 0,
    };
  }

  private admit(now: number): void {
    const admitted = this.policy.bypassesAdmission
      ? this.table.waiting()
      : this.admission.admit(this.table, this.engineView(), now);
    for (const attempt of admitted) {
      attempt.state = attemptTable.AttemptState.Running;
      attempt.startedAt = now;
      const request = this.jobs.get(attempt.id)!.request;
      this.engine.add({
        run: attempt.id,
        promptTokens: request.promptTokens,
        pageHashes: pageHashes(request.prompt),
        outputTokens: request.outputTokens,
        priority: this.policy.usesPriorities
          ? admissionSystem.enginePriority(request.requestClass)
          : 0,
      });
    }
  }

  private finish(id: string, now: number): void {
    const job = this.jobs.get(id)!;
    const attempt = this.table.get(id)!;
    const {customer, route} = job.request;
    this.predictor.finish(customer, route, attempt.tokens.length);
    if (!this.policy.bypassesAdmission) {
      this.admission.release(attempt);
    }
    this.table.end(attempt, attemptTable.AttemptState.Completed, now);
    this.table.remove(attempt, now);
    this.table.removeTombstones(now);
    this.jobs.delete(id);
    this.meter.recordCompletion(job.meter, now);
    this.onDidFinish(job.request);
  }

  private distribution(
    request: workloads.WorkloadRequest,
  ): lengthPredictor.LengthDistribution {
    if (this.policy.knowsLengths) {
      return new policies.ExactDistribution(request.outputTokens);
    }
    const source = this.policy.learnsLengths ? this.predictor : EMPTY_PREDICTOR;
    return source.distribution(request.customer, request.route);
  }

  private engineView(): admissionSystem.EngineView {
    return {
      capacityTokens: this.engineParameters.capacityTokens,
      tokensPerSecond: this.throughput.capacityPerSecond,
    };
  }
}

const EMPTY_PREDICTOR = new lengthPredictor.LengthPredictor();

function toGenerationRequest(
  request: workloads.WorkloadRequest,
): generationRequest.GenerationRequest {
  return {
    customer: request.customer,
    route: request.route,
    model: 'model',
    prompt: request.prompt,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    requestClass: request.requestClass,
    fingerprint: '',
    isSuspect: false,
    weight: 1,
  };
}

/** Hashes of the full pages of a prompt; the part after the shared template begins with a number that is unique to the request. */
function pageHashes(prompt: string): string[] {
  const hashes: string[] = [];
  const template = /^template \d+/.exec(prompt)?.[0];
  const ownNumber = prompt.slice(
    prompt.lastIndexOf('t') + 1,
    prompt.lastIndexOf('t') + 12,
  );
  const sharedEnd = template === undefined ? 0 : prompt.lastIndexOf('t') + 1;
  for (
    let end = PAGE_CHARACTERS;
    end <= prompt.length;
    end += PAGE_CHARACTERS
  ) {
    hashes.push(
      end <= sharedEnd ? `${template}/${end}` : `${ownNumber}/${end}`,
    );
  }
  return hashes;
}
