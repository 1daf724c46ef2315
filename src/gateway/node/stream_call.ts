/** Streaming generations: events are delivered as they arrive, and go on at another instance when theirs ends. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';
import * as eventDelivery from './event_delivery';
import * as evacuator from './evacuator';
import * as generationScheduler from './generation_scheduler';

const {SendError} = instanceClient;

/** When to come back if engines are expected to be full, in seconds. */
const CROWDED_RETRY_SECONDS = 1;
/** Time after the notice of an instance in which a run may still go on from its copy there, in milliseconds; no work may reach it two seconds after. */
const DRAINING_COPY_MILLISECONDS = 1_000;
/** Largest failure answer that is collected, in bytes. */
const MAX_FAILURE_BYTES = 65_536;

/** How the stream of one instance ended. */
enum LegEnd {
  /** The last event came. */
  Whole = 'whole',
  /** The connection broke, or the run was stopped to be moved. */
  Broken = 'broken',
  /** The instance did not run the request. */
  NotRun = 'not-run',
  /** The instance answered with a failure, which is collected. */
  Failed = 'failed',
}

/** Runs one generation. */
export class StreamCall extends evacuator.MovableCall {
  run!: runTable.Run;
  private copy: instanceClient.RunTarget | undefined;
  private exchange: instanceClient.Exchange | undefined;
  private delivery!: eventDelivery.EventDelivery;
  private failureBody = Buffer.alloc(0);
  private hasBackup = false;
  private legCount = 0;
  private deadlineTimer: NodeJS.Timeout | undefined;

  constructor(private readonly context: callContext.CallContext) {
    super();
  }

  get isOver(): boolean {
    return this.context.isOver;
  }

  get engine(): configuration.EngineProfile {
    return this.context.call.endpoint?.engine ?? NO_ENGINE;
  }

  log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.context.log(event, {events: this.run.eventsDelivered, ...fields});
  }

  /** A resumable stream goes on anywhere by event id. */
  get needsCopy(): boolean {
    const isBackedUp =
      this.hasBackup && this.copy?.instance.drainingAt === undefined;
    return !this.context.call.route.isResumable && !isBackedUp;
  }

  get copyTarget(): instanceTable.Instance | undefined {
    const target = this.copy?.instance;
    return target?.drainingAt === undefined ? target : undefined;
  }

  noteCopy(target: instanceClient.RunTarget): void {
    this.hasBackup = false;
    this.copy = target;
  }

  async start(): Promise<void> {
    const {context} = this;
    const grant = await context.services.scheduler.grant(context);
    if (context.isOver) {
      if (grant !== undefined) {
        context.services.runs.remove(grant.run);
      }
      return;
    }
    if (grant === undefined) {
      return context.refuse(
        resultCode.ResultCode.Overloaded,
        'no engine is expected to have memory in time',
        CROWDED_RETRY_SECONDS,
      );
    }
    this.run = grant.run;
    this.delivery = new eventDelivery.EventDelivery(context, grant.run);
    context.whenGone(() => this.exchange?.cancel());
    context.services.evacuator.add(this);
    this.deadlineTimer = setTimeout(
      () => this.expire(),
      Math.max(0, context.remainingMilliseconds),
    );
    try {
      await this.followLegs({
        instance: grant.instance,
        continuation: undefined,
      });
    } finally {
      this.release();
    }
  }

  private release(): void {
    const {services} = this.context;
    clearTimeout(this.deadlineTimer);
    services.evacuator.remove(this);
    services.runs.remove(this.run);
    services.scheduler.step();
    this.delivery.observePauses();
  }

  private async followLegs(first: instanceClient.RunTarget): Promise<void> {
    let leg: instanceClient.RunTarget | undefined = first;
    while (leg !== undefined && !this.context.isOver) {
      const end: LegEnd = await this.runLeg(leg);
      if (this.context.isOver) {
        return;
      }
      leg = await this.nextLeg(leg, end);
    }
  }

  private async runLeg(leg: instanceClient.RunTarget): Promise<LegEnd> {
    const {context, run} = this;
    const {services, call} = context;
    run.instanceId = leg.instance.record.id;
    run.copyInstanceId = undefined;
    this.copy = undefined;
    const backup = this.chooseBackup(leg.instance);
    this.delivery.beginLeg();
    this.legCount++;
    if (leg.continuation === undefined) {
      context.noteSend();
    }
    const exchange = services.client.send(leg.instance, {
      caller: call.caller,
      body: call.body,
      remainingMilliseconds: context.remainingMilliseconds,
      customer: call.customer?.name,
      urgency: generationScheduler.urgencyOf(context),
      lastEventId: this.delivery.lastEventId,
      continuation: leg.continuation,
      backupAddress: backup?.record.address,
    });
    this.exchange = exchange;
    services.evacuator.include(this, leg.instance);
    leg.instance.openRequests++;
    const end = await this.receive(exchange);
    leg.instance.openRequests--;
    services.metrics.sends.inc({outcome: end});
    instanceTable.noteOutcome(
      leg.instance,
      end !== LegEnd.Whole && leg.instance.drainingAt === undefined,
      performance.now(),
    );
    if (end !== LegEnd.Whole || this.legCount > 1) {
      this.log('stream-leg-ended', {end, instance: leg.instance.record.id});
    }
    return end;
  }

  /** Chooses where a running copy is kept; it covers the end of the instance without notice. */
  private chooseBackup(
    source: instanceTable.Instance,
  ): instanceTable.Instance | undefined {
    const {run, engine, context} = this;
    this.hasBackup = false;
    if (context.call.route.isResumable || !engine.canBackUpRuns) {
      return undefined;
    }
    const backup = context.services.scheduler.placeBackup(
      run,
      source,
      engine.memoryTokens || Infinity,
    );
    if (backup === undefined) {
      return undefined;
    }
    this.hasBackup = true;
    run.copyInstanceId = backup.record.id;
    this.copy = {
      instance: backup,
      continuation: {
        sourceAddress: backup.record.address,
        handle: run.attemptId,
      },
    };
    this.log('backup-chosen', {
      instance: source.record.id,
      backup: backup.record.id,
    });
    return backup;
  }

  private async receive(exchange: instanceClient.Exchange): Promise<LegEnd> {
    const result = await exchange.answer;
    if (result.isErr()) {
      return result.error === SendError.NeverSent
        ? LegEnd.NotRun
        : LegEnd.Broken;
    }
    const answer = result.value;
    if (answer.isNotRun) {
      answer.body.listen(IGNORE_BODY);
      return LegEnd.NotRun;
    }
    if (answer.status !== 200) {
      return this.collectFailure(exchange, answer);
    }
    return this.receiveEvents(exchange, answer);
  }

  private receiveEvents(
    exchange: instanceClient.Exchange,
    answer: instanceClient.InstanceAnswer,
  ): Promise<LegEnd> {
    return new Promise(resolve => {
      answer.body.listen({
        onData: chunk => {
          if (!this.context.isOver && !this.delivery.push(answer, chunk)) {
            exchange.cancel();
            resolve(LegEnd.Broken);
          }
        },
        onDidEnd: () => {
          this.conclude(answer);
          resolve(LegEnd.Whole);
        },
        onDidFail: () => resolve(LegEnd.Broken),
      });
    });
  }

  private conclude(answer: instanceClient.InstanceAnswer): void {
    const {context, run} = this;
    if (context.isOver) {
      return;
    }
    const {customer, route} = context.call;
    context.services.predictor.record(
      customer?.name ?? '',
      route.name,
      run.eventsDelivered * run.tokensPerEvent,
    );
    this.delivery.finish(answer);
  }

  private collectFailure(
    exchange: instanceClient.Exchange,
    answer: instanceClient.InstanceAnswer,
  ): Promise<LegEnd> {
    return new Promise(resolve => {
      const chunks: Buffer[] = [];
      let length = 0;
      answer.body.listen({
        onData(chunk) {
          length += chunk.length;
          chunks.push(chunk);
          if (length > MAX_FAILURE_BYTES) {
            exchange.cancel();
          }
        },
        onDidEnd: () => {
          this.failureBody = Buffer.concat(chunks);
          this.failedAnswer = answer;
          resolve(LegEnd.Failed);
        },
        onDidFail: () => resolve(LegEnd.Broken),
      });
    });
  }

  private failedAnswer: instanceClient.InstanceAnswer | undefined;

  /** Decides where the stream goes on; undefined when the call is concluded. */
  private async nextLeg(
    leg: instanceClient.RunTarget,
    end: LegEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    if (end === LegEnd.Whole) {
      return undefined;
    }
    if (end === LegEnd.Broken) {
      const copied = this.takeCopy();
      if (copied !== undefined) {
        return copied;
      }
    }
    if (leg.continuation !== undefined || this.delivery.hasBegun) {
      return this.resume(leg, end);
    }
    return this.repeat(leg, end);
  }

  /** The copy to go on from, unless its instance is gone. */
  private takeCopy(): instanceClient.RunTarget | undefined {
    const {copy} = this;
    this.copy = undefined;
    const {instances} = this.context.services.follower;
    const now = performance.now();
    const isThere =
      copy !== undefined &&
      instances.get(copy.instance.record.id) === copy.instance &&
      now - (copy.instance.drainingAt ?? now) < DRAINING_COPY_MILLISECONDS;
    return isThere ? copy : undefined;
  }

  /** Goes on by event id after events were delivered, where the route allows it. */
  private async resume(
    leg: instanceClient.RunTarget,
    end: LegEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    const why =
      end === LegEnd.NotRun && leg.continuation === undefined
        ? callContext.Repeat.NotRun
        : callContext.Repeat.MayHaveRun;
    const isAllowed =
      context.call.route.isResumable && context.mayRepeatNow(why);
    if (!isAllowed) {
      context.breakOff(`the stream of ${leg.instance.record.id} ended early`);
      return undefined;
    }
    return this.placeAgain(leg);
  }

  /** Starts anew while the caller has received nothing. */
  private async repeat(
    leg: instanceClient.RunTarget,
    end: LegEnd,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context} = this;
    const why =
      end === LegEnd.NotRun
        ? callContext.Repeat.NotRun
        : callContext.Repeat.MayHaveRun;
    if (context.mayRepeatNow(why)) {
      return this.placeAgain(leg);
    }
    if (end === LegEnd.Failed) {
      this.deliverFailure();
      return undefined;
    }
    if (end === LegEnd.NotRun && context.sendsThatMayHaveRun === 0) {
      context.refuse(
        resultCode.ResultCode.Overloaded,
        'the instances tried did not take the request',
        CROWDED_RETRY_SECONDS,
      );
      return undefined;
    }
    context.fail(
      failure.unknownOutcome(
        resultCode.ResultCode.EndpointLost,
        `the connection to ${leg.instance.record.id} ended before its answer`,
      ),
      502,
    );
    return undefined;
  }

  private async placeAgain(
    leg: instanceClient.RunTarget,
  ): Promise<instanceClient.RunTarget | undefined> {
    const {context, run} = this;
    context.excluded.add(leg.instance.record.id);
    const choice = context.services.scheduler.placeElsewhere(
      run,
      leg.instance,
      this.engine.memoryTokens || Infinity,
      0,
    );
    if (choice === undefined) {
      const message = 'no other instance takes work';
      const code = resultCode.ResultCode.NoEndpoint;
      if (this.delivery.hasBegun) {
        context.breakOff(message);
      } else if (context.sendsThatMayHaveRun > 0) {
        context.fail(failure.unknownOutcome(code, message), 502);
      } else {
        context.refuse(code, message, CROWDED_RETRY_SECONDS);
      }
      return undefined;
    }
    context.log(
      'generation-repeated',
      {from: leg.instance.record.id},
      choice.instance,
    );
    return {instance: choice.instance, continuation: undefined};
  }

  private deliverFailure(): void {
    const {context} = this;
    const answer = this.failedAnswer!;
    context.log('instance-failure-delivered', {status: answer.status});
    context.finish('instance-failure');
    context.response.writeHead(answer.status, [
      ...answer.passedHeaders,
      'Content-Length',
      String(this.failureBody.length),
    ]);
    context.response.end(this.failureBody);
  }

  private expire(): void {
    const {context} = this;
    if (context.isOver) {
      return;
    }
    const message =
      'the answer was not complete within the time that the caller waits';
    if (this.delivery.hasBegun) {
      context.breakOff(message);
    } else {
      const {OutcomeUnknown} = resultCode.ResultCode;
      context.fail(failure.unknownOutcome(OutcomeUnknown, message), 504);
    }
    this.exchange?.cancel();
  }
}

const IGNORE_BODY: instanceClient.BodyListener = {
  onData: () => undefined,
  onDidEnd: () => undefined,
  onDidFail: () => undefined,
};

const NO_ENGINE: configuration.EngineProfile = {
  slots: 1,
  memoryTokens: 0,
  bytesPerToken: 0,
  linkMegabitsPerSecond: 0,
  canMoveRuns: false,
  canBackUpRuns: false,
  tokensPerEvent: 1,
  copyLifetimeSeconds: 0,
};
