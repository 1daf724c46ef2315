/** Carries running generations off instances that are about to end. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as jsonLog from '../../base/node/json_log';
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

/** Time between looks at an evacuation, in milliseconds. */
const STEP_MILLISECONDS = 20;
/** Pause before a run that the instance does not know yet is tried again, in milliseconds. */
const UNKNOWN_RUN_PAUSE_MILLISECONDS = 80;
/** Bound on copying a whole run, in milliseconds. */
const COPY_TIMEOUT_MILLISECONDS = 2_500;
/** Bound on the last part of a copy, in milliseconds. */
const STOP_TIMEOUT_MILLISECONDS = 700;
/** Cost of a target in another data centre, in milliseconds: copies take twice as long there. */
const REMOTE_COPY_COST_MILLISECONDS = 120;
/** Time after its assumed end for which an instance's evacuation goes on, in milliseconds. */
const MAX_OVERTIME_MILLISECONDS = 10_000;

/** A generation that can be moved. */
export abstract class MovableCall {
  abstract readonly run: runTable.Run;
  abstract readonly engine: configuration.EngineProfile;
  abstract readonly isOver: boolean;
  /** Where a copy is; undefined when there is none. */
  abstract readonly copy: instanceClient.RunTarget | undefined;
  /** A copy that the call may go on from when its instance breaks off. */
  abstract noteCopy(target: instanceClient.RunTarget): void;
  /** The run is being stopped; the call goes on where the promise says. */
  abstract beginMove(
    target: Promise<instanceClient.RunTarget | undefined>,
  ): void;
  abstract log(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** One instance being evacuated. */
interface Departure {
  readonly instance: instanceTable.Instance;
  readonly plan: evacuation.Evacuation<MovableCall>;
  timer: NodeJS.Timeout;
}

/** Runs the evacuations of this gateway. */
export class Evacuator implements disposable.Disposable {
  private readonly calls = new Map<runTable.Run, MovableCall>();
  private readonly departures = new Map<instanceTable.Instance, Departure>();
  private readonly subscription: rxjs.Subscription;

  constructor(
    follower: stateFollower.StateFollower,
    private readonly client: instanceClient.InstanceClient,
    private readonly scheduler: generationScheduler.GenerationScheduler,
    private readonly runs: runTable.RunTable,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.subscription = follower.onDidDrain.subscribe(instance =>
      this.begin(instance),
    );
  }

  add(call: MovableCall): void {
    this.calls.set(call.run, call);
  }

  remove(call: MovableCall): void {
    this.calls.delete(call.run);
  }

  dispose(): void {
    this.subscription.unsubscribe();
    this.departures.forEach(departure => clearInterval(departure.timer));
  }

  private begin(instance: instanceTable.Instance): void {
    if (this.departures.has(instance)) {
      return;
    }
    const movable = this.runs
      .at(instance.record.id)
      .map(run => this.calls.get(run))
      .filter(call => call !== undefined)
      .filter(call => call.engine.canMoveRuns);
    if (movable.length === 0) {
      return;
    }
    const now = performance.now();
    const plan = new evacuation.Evacuation(
      movable.map(run => ({run, value: runTable.finalMemory(run.run)})),
      now,
    );
    const departure: Departure = {
      instance,
      plan,
      timer: setInterval(() => this.step(departure), STEP_MILLISECONDS),
    };
    this.departures.set(instance, departure);
    this.log.write('evacuation-started', {
      instance: instance.record.id,
      runs: movable.map(call => call.run.attemptId),
    });
    void this.learnEnd(departure, now);
    this.step(departure);
  }

  private async learnEnd(departure: Departure, askedAt: number): Promise<void> {
    const report = await this.client.readReport(departure.instance);
    const leaves = report?.leavesInMilliseconds;
    this.log.write('evacuation-notice', {
      instance: departure.instance.record.id,
      leaves_ms: leaves,
      answer_ms: Math.round(performance.now() - askedAt),
    });
    if (leaves !== undefined) {
      departure.plan.noteEnd(askedAt + leaves);
    }
  }

  private step(departure: Departure): void {
    const now = performance.now();
    const {plan} = departure;
    const isTooLate = now > plan.stopsAt + MAX_OVERTIME_MILLISECONDS;
    if (plan.isDone || isTooLate) {
      clearInterval(departure.timer);
      this.departures.delete(departure.instance);
      return;
    }
    const commands = plan.step(now);
    commands.copy.forEach(each => void this.copy(departure, each));
    commands.stop.forEach(each => this.stop(departure, each));
  }

  /** Copies the run while it goes on. */
  private async copy(
    departure: Departure,
    evacuated: evacuation.EvacuatedRun<MovableCall>,
  ): Promise<void> {
    const call = evacuated.run;
    if (call.isOver || call.run.instanceId !== departure.instance.record.id) {
      evacuated.state = EvacuationState.Done;
      return;
    }
    const target = this.chooseTarget(departure.instance, call);
    if (target === undefined) {
      await deadline.delay(UNKNOWN_RUN_PAUSE_MILLISECONDS);
      evacuated.state = EvacuationState.Waiting;
      return;
    }
    call.run.copyInstanceId = target.record.id;
    const startedAt = performance.now();
    const copied = await this.client.copyRun(departure.instance, {
      attemptId: call.run.attemptId,
      target,
      isFinal: false,
      timeoutMilliseconds: COPY_TIMEOUT_MILLISECONDS,
    });
    call.log('run-copied', {
      target: target.record.id,
      outcome: copied.isOk() ? 'ok' : copied.error.error,
      events: copied.isOk() ? copied.value.eventCount : undefined,
      took_ms: Math.round(performance.now() - startedAt),
    });
    if (copied.isErr()) {
      this.metrics.copies.inc({outcome: copied.error.error});
      call.run.copyInstanceId = undefined;
      await this.retryCopy(evacuated, copied.error.error);
      return;
    }
    this.metrics.copies.inc({outcome: 'ok'});
    call.noteCopy({
      instance: target,
      continuation: {
        sourceAddress: departure.instance.record.address,
        handle: copied.value.handle,
      },
    });
    evacuated.state = EvacuationState.Copied;
    this.step(departure);
  }

  private async retryCopy(
    evacuated: evacuation.EvacuatedRun<MovableCall>,
    error: instanceClient.CopyError,
  ): Promise<void> {
    if (error === CopyError.Unreachable) {
      evacuated.state = EvacuationState.Done;
      return;
    }
    await deadline.delay(UNKNOWN_RUN_PAUSE_MILLISECONDS);
    evacuated.state = EvacuationState.Waiting;
  }

  private chooseTarget(
    source: instanceTable.Instance,
    call: MovableCall,
  ): instanceTable.Instance | undefined {
    return this.scheduler.placeElsewhere(
      call.run,
      source,
      call.engine.memoryTokens || Infinity,
      REMOTE_COPY_COST_MILLISECONDS,
    )?.instance;
  }

  /** Stops the run, copies the rest and tells the call where to go on. */
  private stop(
    departure: Departure,
    evacuated: evacuation.EvacuatedRun<MovableCall>,
  ): void {
    const call = evacuated.run;
    if (call.isOver || call.run.copyInstanceId === undefined) {
      evacuated.state = EvacuationState.Done;
      return;
    }
    call.beginMove(this.finalCopy(departure.instance, call));
    evacuated.state = EvacuationState.Done;
  }

  private async finalCopy(
    source: instanceTable.Instance,
    call: MovableCall,
  ): Promise<instanceClient.RunTarget | undefined> {
    const target = call.copy?.instance;
    if (target === undefined) {
      return undefined;
    }
    const startedAt = performance.now();
    const copied = await this.client.copyRun(source, {
      attemptId: call.run.attemptId,
      target,
      isFinal: true,
      timeoutMilliseconds: STOP_TIMEOUT_MILLISECONDS,
    });
    call.log('run-stopped', {
      target: target.record.id,
      outcome: copied.isOk() ? 'ok' : copied.error.error,
      events: copied.isOk() ? copied.value.eventCount : undefined,
      took_ms: Math.round(performance.now() - startedAt),
    });
    const handle = copied.isOk() ? copied.value.handle : copied.error.handle;
    this.metrics.copies.inc({
      outcome: copied.isOk() ? 'moved' : copied.error.error,
    });
    if (handle === undefined) {
      return undefined;
    }
    const instance = copied.isOk() ? target : source;
    const continuation = {sourceAddress: source.record.address, handle};
    return {instance, continuation};
  }
}
