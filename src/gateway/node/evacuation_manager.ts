/** Copies running generations away from instances that are about to stop. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as configuration from '../common/configuration';
import * as evacuation from '../common/evacuation';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as gatewayMetrics from './gateway_metrics';
import * as generationScheduler from './generation_scheduler';
import * as stateFollower from './state_follower';

const {EvacuationState} = evacuation;
const {CopyError} = instanceClient;

/** Interval between the steps of an evacuation, in milliseconds. */
const STEP_INTERVAL_MILLISECONDS = 20;
/** Pause before a failed copy is retried, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 80;
/** Timeout for copying a whole run, in milliseconds. */
const COPY_TIMEOUT_MILLISECONDS = 2_500;
/** Time for all orders to stop a run, in milliseconds; callers abandon a stream after a pause of two seconds. */
const STOP_TIMEOUT_MILLISECONDS = 1_500;
/** Penalty for a target in another data centre, in milliseconds: copies take twice as long there. */
const REMOTE_COPY_COST_MILLISECONDS = 200;
/** Time after which an evacuation ends even if its instance is still running, in milliseconds. */
const MAX_DURATION_MILLISECONDS = 30_000;

/** Errors after which a run is not copied again. */
const ENDING_ERRORS: ReadonlySet<instanceClient.CopyError> = new Set([
  CopyError.Refused,
  CopyError.Unreachable,
  CopyError.NoAnswer,
  CopyError.OtherInstance,
]);

/** Number of orders to stop a run after which an error is taken as it is, for those that another order may resolve. */
const ORDERS_BY_ERROR: ReadonlyMap<instanceClient.CopyError, number> = new Map([
  [CopyError.Busy, 5],
  [CopyError.NoAnswer, 5],
  // A single connection may be late because its first packet or this process was.
  [CopyError.Unreachable, 2],
]);

/** What is known of a run that was told to stop. */
export enum StopOutcome {
  /** It has stopped, and goes on from the copy that was made. */
  Stopped = 'stopped',
  /** Its instance has no such run. */
  Ended = 'ended',
  /** Its instance cannot be reached. */
  Unreachable = 'unreachable',
  /** It may still be at work. */
  MayRun = 'may-run',
}

/** Result of an order to stop a run. */
export interface StopResult {
  readonly outcome: StopOutcome;
  /** Where the run goes on; undefined if the order made no copy. */
  readonly copy: instanceClient.RunTarget | undefined;
  /** Whether an order had no usable answer, so that the instance may still carry it out. */
  readonly isOrderOpen: boolean;
}

const NO_ORDER: StopResult = {
  outcome: StopOutcome.MayRun,
  copy: undefined,
  isOrderOpen: false,
};

type CopyResult = Awaited<ReturnType<instanceClient.InstanceClient['copyRun']>>;

function outcomeOf(error: instanceClient.CopyError): StopOutcome {
  switch (error) {
    case CopyError.NoSuchRun:
    case CopyError.OtherInstance:
      return StopOutcome.Ended;
    case CopyError.Refused:
    case CopyError.Unreachable:
      return StopOutcome.Unreachable;
    default:
      return StopOutcome.MayRun;
  }
}

/** A generation that can be moved to another instance. */
export abstract class MovableCall {
  abstract readonly run: runTable.Run;
  abstract readonly engine: configuration.EngineProfile;
  abstract readonly isOver: boolean;
  /** Where the run may be moved. */
  abstract readonly scope: instanceAvailability.AvailabilityRequest;
  /** Instance that already holds a copy and accepts requests; undefined if there is none. */
  abstract readonly copyTarget: instanceTable.Instance | undefined;
  /** Instance of the copy that was asked for, whether or not it accepts requests; undefined if there is none. */
  abstract readonly copyHolder: instanceTable.Instance | undefined;
  /** Whether losing the run also loses the output that its caller has received. */
  abstract readonly needsCopy: boolean;
  /** Records a copy from which the call continues if its instance fails. */
  abstract recordCopy(target: instanceClient.RunTarget): void;
  abstract log(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** The evacuation of one instance. */
interface InstanceEvacuation {
  readonly instance: instanceTable.Instance;
  readonly startedAt: number;
  readonly plan: evacuation.Evacuation<MovableCall>;
  readonly timer: NodeJS.Timeout;
}

/** Starts and runs the evacuations of this gateway. */
export class EvacuationManager implements disposable.Disposable {
  private readonly calls = new Map<runTable.Run, MovableCall>();
  private readonly active = new Map<
    instanceTable.Instance,
    InstanceEvacuation
  >();
  private readonly subscription: rxjs.Subscription;

  constructor(
    follower: stateFollower.StateFollower,
    private readonly client: instanceClient.InstanceClient,
    private readonly scheduler: generationScheduler.GenerationScheduler,
    private readonly runs: runTable.RunTable,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.subscription = follower.onDidStartDraining.subscribe(instance =>
      this.start(instance),
    );
  }

  add(call: MovableCall): void {
    this.calls.set(call.run, call);
  }

  /** Adds a run to the evacuation of its instance, which is started if necessary; does nothing unless the instance is draining. */
  addIfEvacuating(call: MovableCall, instance: instanceTable.Instance): void {
    if (instance.drainingAt === undefined) {
      return;
    }
    const active = this.active.get(instance);
    if (active === undefined) {
      return this.start(instance);
    }
    const value = runTable.expectedFinalMemory(call.run);
    active.plan.add(call, value, performance.now());
  }

  remove(call: MovableCall): void {
    this.calls.delete(call.run);
  }

  /** Stops a run whose stream is stalled or broken, and has its memory copied to the instance of its backup or to another one; `event` names the line of the log. */
  async stopRun(
    call: MovableCall,
    source: instanceTable.Instance,
    event: string,
  ): Promise<StopResult> {
    const target =
      call.copyTarget ?? this.chooseTarget(source, call) ?? call.copyHolder;
    if (target === undefined || target === source) {
      return NO_ORDER;
    }
    const startedAt = performance.now();
    const {copied, isOrderOpen} = await this.orderStop(call, source, target);
    call.log(event, {
      instance: source.record.id,
      target: target.record.id,
      outcome: copied.isOk() ? 'ok' : copied.error.error,
      order_open: isOrderOpen,
      took_ms: Math.round(performance.now() - startedAt),
    });
    const handle = copied.isOk() ? copied.value.handle : copied.error.handle;
    if (handle === undefined) {
      const outcome = outcomeOf(copied._unsafeUnwrapErr().error);
      // Engines that move no runs answer as if they did not know them.
      const isTold =
        call.engine.canMoveRuns || outcome === StopOutcome.Unreachable;
      return {
        outcome: isTold ? outcome : StopOutcome.MayRun,
        copy: undefined,
        isOrderOpen,
      };
    }
    // If the target has no room, the run continues at its source over a new connection.
    const instance = copied.isOk() ? target : source;
    const continuation = {sourceAddress: source.record.address, handle};
    const copy = {instance, continuation};
    return {outcome: StopOutcome.Stopped, copy, isOrderOpen};
  }

  /** Orders the final copy of a run; again while another copy of it is in progress, or if the answer is lost, since the next one tells whether the run is still there. */
  private async orderStop(
    call: MovableCall,
    source: instanceTable.Instance,
    target: instanceTable.Instance,
  ): Promise<{
    readonly copied: CopyResult;
    readonly isOrderOpen: boolean;
  }> {
    const endsAt = performance.now() + STOP_TIMEOUT_MILLISECONDS;
    let isOrderOpen = false;
    for (let orders = 1; ; orders++) {
      const copied = await this.client.copyRun(source, {
        attemptId: call.run.attemptId,
        target,
        isFinal: true,
        timeoutMilliseconds: endsAt - performance.now(),
      });
      isOrderOpen ||=
        copied.isErr() && copied.error.error === CopyError.NoAnswer;
      const maxOrders = copied.isErr()
        ? (ORDERS_BY_ERROR.get(copied.error.error) ?? 1)
        : 1;
      const mayRetry =
        orders < maxOrders &&
        performance.now() + RETRY_PAUSE_MILLISECONDS < endsAt &&
        !call.isOver;
      if (!mayRetry) {
        return {copied, isOrderOpen};
      }
      await deadline.delay(RETRY_PAUSE_MILLISECONDS);
    }
  }

  dispose(): void {
    this.subscription.unsubscribe();
    this.active.forEach(active => clearInterval(active.timer));
  }

  private start(instance: instanceTable.Instance): void {
    if (this.active.has(instance)) {
      return;
    }
    const movable = this.runs
      .runsAt(instance.record.id)
      .map(run => this.calls.get(run))
      .filter(call => call !== undefined)
      .filter(call => call.engine.canMoveRuns && call.needsCopy);
    if (movable.length === 0) {
      return;
    }
    const now = performance.now();
    const active: InstanceEvacuation = {
      instance,
      startedAt: now,
      plan: new evacuation.Evacuation(
        movable.map(run => ({
          run,
          value: runTable.expectedFinalMemory(run.run),
        })),
        now,
      ),
      timer: setInterval(() => this.step(active), STEP_INTERVAL_MILLISECONDS),
    };
    this.active.set(instance, active);
    this.log.write('evacuation-started', {
      instance: instance.record.id,
      runs: movable.map(call => call.run.attemptId),
    });
    this.step(active);
  }

  private step(active: InstanceEvacuation): void {
    const now = performance.now();
    const {plan} = active;
    const isTooLate = now > active.startedAt + MAX_DURATION_MILLISECONDS;
    if (plan.isDone || isTooLate) {
      clearInterval(active.timer);
      this.active.delete(active.instance);
      return;
    }
    const next = plan.next(now);
    if (next !== undefined) {
      void this.copy(active, next);
    }
  }

  /** Copies the memory of a run while the run continues. */
  private async copy(
    active: InstanceEvacuation,
    evacuated: evacuation.EvacuatedRun<MovableCall>,
  ): Promise<void> {
    const call = evacuated.run;
    const {instance, plan} = active;
    const isElsewhere = call.run.instanceId !== instance.record.id;
    if (call.isOver || isElsewhere || !call.needsCopy) {
      evacuated.state = EvacuationState.Done;
      return;
    }
    const target =
      call.copyTarget ??
      this.chooseTarget(instance, call, evacuated.fullTargets);
    if (target === undefined) {
      evacuated.fullTargets.clear();
      plan.markFailed(evacuated, performance.now(), RETRY_PAUSE_MILLISECONDS);
      return;
    }
    call.run.copyInstanceId = target.record.id;
    const startedAt = performance.now();
    const copied = await this.client.copyRun(instance, {
      attemptId: call.run.attemptId,
      target,
      isFinal: false,
      timeoutMilliseconds: COPY_TIMEOUT_MILLISECONDS,
    });
    const now = performance.now();
    const outcome = copied.isOk() ? 'ok' : copied.error.error;
    this.metrics.copies.inc({outcome});
    call.log('run-copied', {
      target: target.record.id,
      outcome,
      copied_events: copied.isOk() ? copied.value.eventCount : undefined,
      took_ms: Math.round(now - startedAt),
    });
    if (copied.isOk()) {
      if (call.run.instanceId !== instance.record.id) {
        // The run went on from an earlier copy in the meantime.
        evacuated.state = EvacuationState.Done;
        return;
      }
      const sourceAddress = instance.record.address;
      const continuation = {sourceAddress, handle: copied.value.handle};
      call.recordCopy({instance: target, continuation});
      plan.markCopied(evacuated, now);
      this.step(active);
      return;
    }
    if (call.run.instanceId === instance.record.id) {
      call.run.copyInstanceId = undefined;
    }
    if (ENDING_ERRORS.has(copied.error.error)) {
      evacuated.state = EvacuationState.Done;
      return;
    }
    if (copied.error.error === CopyError.NoRoom) {
      evacuated.fullTargets.add(target.record.id);
      plan.markFailed(evacuated, now, 0);
      return;
    }
    plan.markFailed(evacuated, now, RETRY_PAUSE_MILLISECONDS);
  }

  private chooseTarget(
    source: instanceTable.Instance,
    call: MovableCall,
    fullTargets: ReadonlySet<string> = new Set(),
  ): instanceTable.Instance | undefined {
    return this.scheduler.chooseInstance(call.run, {
      excluded: new Set([source.record.id, ...fullTargets]),
      softwareVersion: instanceTable.versionOf(source.record),
      dataCentre: source.record.dataCentre,
      capacityTokens: call.engine.memoryTokens || Infinity,
      remoteCostMilliseconds: REMOTE_COPY_COST_MILLISECONDS,
      isCopy: true,
      scope: call.scope,
    })?.instance;
  }
}
