/** Assigns generations to instances, at once or when memory becomes free. */
import * as disposable from '../../base/common/disposable';
import * as lengthPredictor from '../../decision/common/length_predictor';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as engineReports from '../common/engine_reports';
import * as generationQueue from '../common/generation_queue';
import * as instanceTable from '../common/instance_table';
import * as memberTable from '../common/fleet/member_table';
import * as placement from '../common/placement';
import * as runTable from '../common/run_table';
import * as measuredSpeeds from '../common/speeds/measured_speeds';
import * as callContext from './call_context';
import * as generationRequest from './generation_request';
import * as generationAdmission from './generation_admission';
import * as permitService from './limits/permit_service';
import * as placementLog from './placement_log';
import * as stateFollower from './state_follower';
import * as waitingCall from './waiting_call';
import * as waitingCalls from './waiting_calls';

/** Interval between checks of the queue while generations wait, in milliseconds. */
const QUEUE_CHECK_INTERVAL_MILLISECONDS = 40;
/** Penalty for placing a new generation in another data centre, in milliseconds: its events cross the link between them once, which delays them little. */
const REMOTE_COST_MILLISECONDS = 5;
/** Penalty for a backup in another data centre, in milliseconds: it uses the link twice as long. */
const REMOTE_BACKUP_COST_MILLISECONDS = 60;
/** Memory share up to which an engine accepts backups, by the expected final size of all runs and copies. */
const MAX_BACKUP_SHARE = 0.8;
/** Memory share of all engines together up to which any of them accepts backups; beyond it, backups would displace work. */
const MAX_BACKUP_MEAN_SHARE = 0.75;
/** Output length assumed without any estimate, in tokens. */
const DEFAULT_OUTPUT_TOKENS = 400;

/** Constraints on the instance for a run or its copy; see `GenerationRequest`. */
export type PlacementConstraints = Pick<
  placement.GenerationRequest,
  | 'excluded'
  | 'softwareVersion'
  | 'dataCentre'
  | 'capacityTokens'
  | 'remoteCostMilliseconds'
  | 'isCopy'
> & {
  /** Regions in which the run or its copy may be kept. */
  readonly scope: instanceAvailability.AvailabilityRequest;
};

/** Expected output length in tokens: the average of the caller's estimate, which is right at the median, and the learned length, which is right at the mean. */
export function expectedTokens(
  context: callContext.CallContext,
  predictor: lengthPredictor.LengthPredictor,
): number {
  const {caller, customer, route} = context.call;
  const distribution = predictor.distribution(customer?.name ?? '', route.name);
  const learned = distribution.expectedRemaining(0, caller.maxTokens);
  const estimated =
    caller.lengthHint ?? (learned > 0 ? learned : DEFAULT_OUTPUT_TOKENS);
  return Math.min(caller.maxTokens || estimated, (estimated + learned) / 2);
}

/** Places generations, the most urgent first. */
export class GenerationScheduler implements disposable.Disposable {
  private readonly waiting: waitingCalls.WaitingCalls;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly runs: runTable.RunTable,
    private readonly predictor: lengthPredictor.LengthPredictor,
    private readonly dataCentre: string,
    private readonly members: memberTable.MemberTable,
    private readonly reports: engineReports.EngineReports,
    private readonly permits: permitService.PermitService,
    private readonly availability: instanceAvailability.InstanceAvailability,
    private readonly speeds: measuredSpeeds.MeasuredSpeeds,
    private readonly admission: generationAdmission.GenerationAdmission,
  ) {
    this.waiting = new waitingCalls.WaitingCalls(
      admission,
      () => this.loads(performance.now()),
      waiting => this.tryPlace(waiting),
    );
    this.timer = setInterval(
      () => this.processQueue(),
      QUEUE_CHECK_INTERVAL_MILLISECONDS,
    );
    this.timer.unref();
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  /** Resolves with the placed run, after waiting for memory if necessary; without one if no instance is available in time or the queue is full. */
  place(
    context: callContext.CallContext,
  ): Promise<waitingCalls.PlacementResult> {
    const expected = expectedTokens(context, this.predictor);
    return this.waiting.place(context, urgencyOf(context), expected);
  }

  /** Places a generation again that its engine turned away; returns whether there is room for it in time. */
  async placeAgain(
    context: callContext.CallContext,
    run: runTable.Run,
  ): Promise<waitingCalls.PlacementResult> {
    this.runs.remove(run);
    const result = await this.place(context);
    if (result.placed !== undefined) {
      this.runs.remove(result.placed.run);
      this.admission.replaceRun(result.placed.run, run);
      run.instanceId = result.placed.instance.record.id;
      this.runs.add(run);
    }
    return result;
  }

  /** Records an event of a run. */
  recordEvent(run: runTable.Run): void {
    this.admission.recordEvent(run);
  }

  /** Records that an engine turned the run away; returns whether that may be due to other runs there, so that it is worth waiting for room. */
  recordTurnedAway(run: runTable.Run): boolean {
    return this.admission.recordTurnedAway(run, this.loads(performance.now()));
  }

  /** Removes a run that has left its engine, and starts generations that wait for its room. */
  release(run: runTable.Run): void {
    this.runs.remove(run);
    this.admission.recordEnd(run);
    this.processQueue();
  }

  /** Whether an instance of the version accepts the call; always true for any version, since calls may wait for an instance. */
  hasInstance({call, softwareVersion}: callContext.CallContext): boolean {
    const now = performance.now();
    return (
      softwareVersion === undefined ||
      this.follower.instances
        .forEndpoint(call.endpointName)
        .some(
          instance =>
            this.availability.isAvailable(instance, call.scope, now) &&
            instanceTable.versionOf(instance.record) === softwareVersion,
        )
    );
  }

  /** Best instance for a run or its copy that meets the constraints; copies are kept at instances without a limit if there are any. */
  chooseInstance(
    run: runTable.Run,
    constraints: PlacementConstraints,
  ): placement.GenerationChoice | undefined {
    if (!constraints.isCopy) {
      return this.chooseAmong(run, constraints);
    }
    const limited = this.follower.instances
      .forEndpoint(run.endpoint)
      .filter(instance => this.permits.isLimited(instance))
      .map(instance => instance.record.id);
    if (limited.length === 0) {
      return this.chooseAmong(run, constraints);
    }
    const excluded = new Set([...constraints.excluded, ...limited]);
    return (
      this.chooseAmong(run, {...constraints, excluded}) ??
      this.chooseAmong(run, constraints)
    );
  }

  private chooseAmong(
    run: runTable.Run,
    constraints: PlacementConstraints,
  ): placement.GenerationChoice | undefined {
    const now = performance.now();
    const instances = this.follower.instances.forEndpoint(run.endpoint);
    return placement.placeGeneration(
      instances,
      this.loads(now),
      {
        ...constraints,
        outlook: constraints.isCopy
          ? undefined
          : this.speeds.outlook(run.endpoint, instances, run, now),
        isAvailable: instance =>
          this.availability.isAvailable(instance, constraints.scope, now),
        draw: Math.random,
        promptTokens: run.promptTokens,
        expectedTokens: run.expectedTokens,
        gatewayCount: this.members.gatewayCount(),
      },
      now,
    );
  }

  /** Instance with memory to spare for a backup of a running generation; undefined if memory is needed for work. */
  chooseBackupInstance(
    run: runTable.Run,
    source: instanceTable.Instance,
    capacityTokens: number,
    scope: instanceAvailability.AvailabilityRequest,
  ): instanceTable.Instance | undefined {
    const choice = this.chooseInstance(run, {
      excluded: new Set([source.record.id]),
      softwareVersion: instanceTable.versionOf(source.record),
      dataCentre: source.record.dataCentre,
      capacityTokens,
      remoteCostMilliseconds: REMOTE_BACKUP_COST_MILLISECONDS,
      isCopy: true,
      scope,
    });
    const hasRoom =
      choice !== undefined &&
      choice.memoryShare <= MAX_BACKUP_SHARE &&
      this.meanMemoryShare(run.endpoint, capacityTokens) <=
        MAX_BACKUP_MEAN_SHARE;
    return hasRoom ? choice.instance : undefined;
  }

  /** Loads as accounted for by the gateways, with memory raised to at least what engines report. */
  private loads(now: number): runTable.GatewayLoadView {
    const view = this.runs.view();
    return {
      ownRuns: id => view.ownRuns(id),
      get: id => {
        const load = view.get(id);
        const report = load && this.reports.get(id, now);
        if (load !== undefined && report !== undefined) {
          load.memoryTokens = Math.max(load.memoryTokens, report.memoryTokens);
          load.queuedRuns = report.queuedRuns;
        }
        return load;
      },
    };
  }

  /** Memory that all runs and copies are expected to need, as a share of the memory of the engines that accept work. */
  private meanMemoryShare(endpoint: string, capacityTokens: number): number {
    const now = performance.now();
    const loads = this.loads(now);
    const ready = this.follower.instances
      .forEndpoint(endpoint)
      .filter(instance =>
        this.availability.isAvailable(
          instance,
          instanceAvailability.ANY_REGION,
          now,
        ),
      );
    const tokens = ready.reduce(
      (sum, instance) =>
        sum + (loads.get(instance.record.id)?.memoryTokens ?? 0),
      0,
    );
    return tokens / Math.max(1, ready.length) / capacityTokens;
  }

  /** Places the waiting generations for which there is room, and refuses those that can no longer start in time. */
  processQueue(): void {
    this.waiting.process();
  }

  /** Places the generation; undefined if it has to wait. */
  private tryPlace(
    waiting: waitingCall.WaitingCall,
  ): waitingCalls.PlacementResult | undefined {
    const {context, expectedTokens: expected} = waiting;
    const now = performance.now();
    const loads = this.loads(now);
    let isHeld = false;
    const {choice, shortage} = this.permits.select(context.excluded, barred => {
      const found = this.admission.findRoom(waiting, loads, now, barred, full =>
        this.findFirstInstance(context, loads, expected, full, now),
      );
      isHeld = found.isHeld;
      return found.choice;
    });
    if (choice === undefined && shortage === undefined && !isHeld) {
      const retryAt = context.backOffEnd(now) ?? -Infinity;
      const isTooLate = retryAt > generationQueue.latestStart(waiting);
      return isTooLate ? {placed: undefined, retryAt} : undefined;
    }
    if (choice === undefined) {
      const isRefused = shortage !== undefined && !shortage.isPending;
      return isRefused && !isHeld
        ? {placed: undefined, retryAt: shortage.retryAt}
        : undefined;
    }
    const placed = this.addRun(context, choice, loads, expected);
    const {run, instance} = placed;
    this.admission.recordStart(waiting, run, instance, loads, now);
    return {placed};
  }

  /** Best instance for a generation that has not run anywhere. */
  private findFirstInstance(
    {call, softwareVersion}: callContext.CallContext,
    loads: runTable.LoadView,
    expected: number,
    excluded: ReadonlySet<string>,
    now: number,
  ): placement.GenerationChoice | undefined {
    const instances = this.follower.instances.forEndpoint(call.endpointName);
    return placement.placeGeneration(
      instances,
      loads,
      {
        outlook: this.speeds.outlook(
          call.endpointName,
          instances,
          generationRequest.forecastStream(
            call,
            expected,
            this.follower.routes?.mostUrgentGeneration(call.endpointName) ??
              Infinity,
          ),
          now,
        ),
        dataCentre: this.dataCentre,
        excluded,
        isAvailable: instance =>
          this.availability.isAvailable(instance, call.scope, now),
        softwareVersion,
        draw: Math.random,
        promptTokens: call.caller.promptTokens,
        expectedTokens: expected,
        capacityTokens: call.endpoint?.engine?.memoryTokens || Infinity,
        remoteCostMilliseconds: REMOTE_COST_MILLISECONDS,
        gatewayCount: this.members.gatewayCount(),
        isCopy: false,
      },
      now,
    );
  }

  private addRun(
    context: callContext.CallContext,
    choice: placement.GenerationChoice,
    loads: runTable.LoadView,
    expected: number,
  ): waitingCalls.PlacedRun {
    const {call} = context;
    const {instance} = choice;
    const now = performance.now();
    const run = generationRequest.createRun(call, instance, expected);
    this.runs.add(run);
    context.services.metrics.placements.inc({
      pause: placementLog.pauseLabel(choice, call),
    });
    context.log(
      'generation-placed',
      {
        ...placementLog.requestFields(call, run),
        ...placementLog.choiceFields(choice),
        waiting: this.waiting.length,
        runs_there: loads.get(instance.record.id)?.runs ?? 0,
        queued_there: loads.get(instance.record.id)?.queuedRuns,
        instances_position: this.follower.instancesPosition,
        reporting_peers: this.runs.peerCount,
        oldest_report_ms: placementLog.rounded(this.runs.oldestReportAge(now)),
      },
      instance,
    );
    return {instance, run};
  }
}

/** Urgency at the engine: the customer's priority takes precedence over the route's. */
export function urgencyOf(context: callContext.CallContext): number {
  const {customer, route} = context.call;
  const priority = customer?.priority ?? route.priority;
  return Math.max(0, Math.min(9, Math.round(priority)));
}
