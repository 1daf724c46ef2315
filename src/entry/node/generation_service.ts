/** Runs the generations of callers over links to side processes. */
import * as crypto from 'node:crypto';
import * as disposable from '../../base/common/disposable';
import * as deadline from '../../base/common/deadline';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as tracing from '../../base/node/tracing';
import * as endpointTable from '../../decision/common/endpoint_table';
import * as generationMachine from '../../decision/common/generation_machine';
import * as lengthPredictor from '../../decision/common/length_predictor';
import * as placementSystem from '../../decision/common/placement_system';
import * as poisonTable from '../../decision/common/poison_table';
import * as retryBudget from '../../decision/common/retry_budget';
import * as generationRequest from '../../protocol/common/generation_request';
import * as attemptClient from './attempt_client';
import * as entryMetrics from './entry_metrics';
import * as generations from './generation';
import * as generationTable from './generation_table';
import * as linkEventRouter from './link_event_router';
import * as linkManager from './link_manager';
import * as poisonService from './poison_service';

const CALL_RETRY_MILLISECONDS = 250;
/** Maximum time that a generation waits for a link that is being opened, in milliseconds. */
const PENDING_LINK_MILLISECONDS = 2_000;
const PENDING_POLL_MILLISECONDS = 20;

/** Owns the generations of one entry. */
export class GenerationService implements disposable.Disposable {
  readonly predictor = new lengthPredictor.LengthPredictor();
  private readonly table = new generationTable.GenerationTable();
  private readonly placement = new placementSystem.PlacementSystem(
    placementSystem.DEFAULT_PLACEMENT_POLICY,
  );
  private readonly client: attemptClient.AttemptClient;
  private readonly budget = new retryBudget.RetryBudget();
  private readonly router: linkEventRouter.LinkEventRouter;
  private isDisposed = false;

  constructor(
    private readonly links: linkManager.LinkManager,
    private readonly poison: poisonService.PoisonService,
    private readonly metrics: entryMetrics.EntryMetrics,
    private readonly tracer: tracing.Tracer,
  ) {
    this.client = new attemptClient.AttemptClient(links, tracer);
    this.router = new linkEventRouter.LinkEventRouter(
      links,
      this.table,
      poison,
      (generation, commands) => this.execute(generation, commands),
    );
  }

  get runningCount(): number {
    return this.table.size;
  }

  /** Starts a generation. The result identifies it in calls of unpause and abandon. */
  start(
    request: generationRequest.GenerationRequest,
    endpoints: readonly string[],
    sink: generations.GenerationSink,
    isStreamed: boolean,
    trace: tracing.TraceContext,
  ): generations.Generation {
    const mayRetry = (instance: string) =>
      this.mayRetry(request.customer, instance);
    const machine = new generationMachine.GenerationMachine(
      isStreamed,
      mayRetry,
    );
    const expected = this.predictor
      .distribution(request.customer, request.route)
      .expectedRemaining(0, request.maxTokens);
    const generation = new generations.Generation(
      request,
      endpoints,
      sink,
      machine,
      trace,
      expected,
    );
    this.table.add(generation);
    this.place(generation);
    return generation;
  }

  /** Resumes a generation that was partly delivered, by this or another entry. */
  resume(
    request: generationRequest.GenerationRequest,
    target: generationMachine.AttemptTarget,
    fromIndex: number,
    sink: generations.GenerationSink,
    trace: tracing.TraceContext,
  ): generations.Generation {
    const machine = new generationMachine.GenerationMachine(true, () => false);
    const generation = new generations.Generation(
      request,
      [],
      sink,
      machine,
      trace,
      0,
    );
    this.table.add(generation);
    const commands = machine.resume(target, fromIndex);
    const current = this.table.receiver(target.attempt);
    if (
      current !== undefined &&
      current.request.customer !== request.customer
    ) {
      this.execute(
        generation,
        machine.attachRefused(target.attempt, expired()),
      );
      return generation;
    }
    if (current !== undefined) {
      // The caller's new connection replaces its old one.
      this.table.remove(current);
      current.sink.fail(superseded());
    }
    const isListed = this.links.ensureLink(target.instance);
    this.table.setReceiver(target.attempt, generation);
    const endpointInstance = this.links.table.get(target.instance);
    const isUp = endpointInstance?.state === endpointTable.LinkState.Up;
    if (
      !isListed ||
      (isUp && endpointInstance.incarnation !== target.incarnation)
    ) {
      const reason = 'the endpoint instance is gone';
      this.execute(generation, machine.instanceLost(reason));
    } else if (isUp) {
      this.execute(generation, commands);
    }
    return generation;
  }

  /** Stops delivery because the caller disconnected or is done. With isGraceful the attempt waits for the caller to reconnect. */
  abandon(generation: generations.Generation, isGraceful: boolean): void {
    if (!this.table.has(generation)) {
      return;
    }
    const commands = generation.machine.abandon();
    this.table.remove(generation);
    for (const command of commands) {
      if (command.kind === generationMachine.CommandKind.Release) {
        this.client.release(command.target, isGraceful);
      }
    }
  }

  /** Continues the delivery of a paused generation when its sink accepts output again. */
  unpause(generation: generations.Generation): void {
    if (generation.isPaused) {
      generation.isPaused = false;
      this.execute(generation, generation.machine.linkRestored());
    }
  }

  dispose(): void {
    this.isDisposed = true;
    this.router.dispose();
  }

  private mayRetry(customer: string, instance: string): boolean {
    const isAllowed = this.budget.tryAcquire([
      `customer/${customer}`,
      `instance/${instance}`,
    ]);
    if (isAllowed) {
      this.metrics.retries.inc();
    }
    return isAllowed;
  }

  private place(generation: generations.Generation): void {
    if (this.isDisposed || !this.table.has(generation)) {
      return;
    }
    const suspicion = this.poison.suspicion(generation.request.fingerprint);
    if (suspicion === poisonTable.Suspicion.Blocked) {
      return this.execute(
        generation,
        generation.machine.refuse(poisonRefusal()),
      );
    }
    const span = this.tracer.start('entry.placement', generation.trace);
    const placement = this.placement.place(
      this.links.table,
      {
        endpoints: generation.endpoints,
        excluded: generation.machine.excluded,
        request: generation.request,
        expectedTokens: generation.expectedTokens,
      },
      performance.now(),
    );
    span.end({instance: placement.row?.instance ?? 'none'});
    if (placement.row === undefined) {
      return this.notPlaced(generation, placement.isPending);
    }
    const target = {
      attempt: crypto.randomBytes(9).toString('base64url'),
      instance: placement.row.instance,
      incarnation: placement.row.incarnation,
    };
    this.execute(generation, generation.machine.placed(target));
  }

  private notPlaced(
    generation: generations.Generation,
    isPending: boolean,
  ): void {
    const now = performance.now();
    generation.pendingSince ||= now;
    if (
      isPending &&
      now - generation.pendingSince < PENDING_LINK_MILLISECONDS
    ) {
      setTimeout(() => this.place(generation), PENDING_POLL_MILLISECONDS);
      return;
    }
    const cause = failure.notRun(
      resultCode.ResultCode.NoEndpoint,
      'no endpoint instance accepts work',
      2,
    );
    this.execute(generation, generation.machine.placementFailed(cause));
  }

  private execute(
    generation: generations.Generation,
    commands: readonly generationMachine.Command[],
  ): void {
    for (const command of commands) {
      this.executeCommand(generation, command);
    }
  }

  private executeCommand(
    generation: generations.Generation,
    command: generationMachine.Command,
  ): void {
    switch (command.kind) {
      case generationMachine.CommandKind.Place:
        return this.place(generation);
      case generationMachine.CommandKind.Handoff:
        return void this.handOff(generation, command.target);
      case generationMachine.CommandKind.Withdraw:
        return void this.withdraw(generation, command.target);
      case generationMachine.CommandKind.Attach:
        return void this.attach(generation, command.target, command.fromIndex);
      case generationMachine.CommandKind.Release:
        return this.client.release(command.target, false);
      case generationMachine.CommandKind.Deliver:
        return this.deliver(generation, command.index, command.texts);
      case generationMachine.CommandKind.Finish:
        return this.finish(generation, command.finishReason, command.length);
      case generationMachine.CommandKind.Fail:
        this.table.remove(generation);
        return generation.sink.fail(command.cause);
    }
  }

  private async handOff(
    generation: generations.Generation,
    target: generationMachine.AttemptTarget,
  ): Promise<void> {
    const machine = generation.machine;
    this.table.setReceiver(target.attempt, generation);
    const isSuspect =
      this.poison.suspicion(generation.request.fingerprint) !==
      poisonTable.Suspicion.None;
    const request = {...generation.request, isSuspect};
    const result = await this.client.start(target, request, generation.trace);
    const commands = result.match(
      reply => machine.handoffReplied(target.attempt, reply),
      error =>
        machine.handoffLost(
          target.attempt,
          error === attemptClient.CallError.NeverReached,
        ),
    );
    this.execute(generation, commands);
    this.checkIncarnation(generation, target);
  }

  /** Ends the attempt if its side process was replaced during the hand-off, since the new process never sends its output. */
  private checkIncarnation(
    generation: generations.Generation,
    target: generationMachine.AttemptTarget,
  ): void {
    const hasNoOutput =
      generation.machine.target === target &&
      generation.machine.receivedCount === 0;
    if (
      hasNoOutput &&
      this.links.table.get(target.instance)?.incarnation !== target.incarnation
    ) {
      this.execute(
        generation,
        generation.machine.instanceLost('the side process was replaced'),
      );
    }
  }

  private async withdraw(
    generation: generations.Generation,
    target: generationMachine.AttemptTarget,
  ): Promise<void> {
    const machine = generation.machine;
    const isWithdrawing = () =>
      machine.target === target &&
      machine.phase === generationMachine.GenerationPhase.Withdrawing;
    while (isWithdrawing()) {
      const result = await this.client.tombstone(target);
      if (result.isOk()) {
        const {state} = result.value;
        return this.execute(
          generation,
          machine.withdrawn(target.attempt, state),
        );
      }
      await deadline.delay(CALL_RETRY_MILLISECONDS);
    }
  }

  private async attach(
    generation: generations.Generation,
    target: generationMachine.AttemptTarget,
    fromIndex: number,
  ): Promise<void> {
    const machine = generation.machine;
    const customer = generation.request.customer;
    const result = await this.client.attach(target, fromIndex, customer);
    if (result.isOk()) {
      const cause = result.value.failure;
      const commands =
        cause === undefined ? [] : machine.attachRefused(target.attempt, cause);
      return this.execute(generation, commands);
    }
    await deadline.delay(CALL_RETRY_MILLISECONDS);
    const isCurrent = machine.target === target && this.table.has(generation);
    if (isCurrent && !generation.isPaused) {
      this.execute(generation, machine.linkRestored());
    }
  }

  private deliver(
    generation: generations.Generation,
    index: number,
    texts: readonly string[],
  ): void {
    this.metrics.deliveredTokens.inc(texts.length);
    generation.sink.deliver(generation.machine.target!, index, texts);
    if (generation.sink.isSlow && !generation.isPaused) {
      generation.isPaused = true;
      this.metrics.slowReaderPauses.inc();
      this.client.pause(generation.machine.target!);
    }
  }

  private finish(
    generation: generations.Generation,
    finishReason: string,
    length: number,
  ): void {
    const target = generation.machine.target!;
    const {customer, route, fingerprint} = generation.request;
    this.predictor.record(customer, route, length);
    this.budget.recordSuccess(`customer/${customer}`);
    this.budget.recordSuccess(`instance/${target.instance}`);
    this.poison.clearSuspicion(fingerprint);
    this.table.remove(generation);
    generation.sink.finish(target, finishReason, length);
  }

  /** Releases an attempt whose answer was handed to the caller's connection, which may still lose the end of a resumable one. */
  release(target: generationMachine.AttemptTarget, isResumable: boolean): void {
    this.client.releaseDelivered(target, isResumable);
  }
}

function poisonRefusal(): failure.Failure {
  const message = 'endpoint instances crashed while running this request';
  return failure.notRun(resultCode.ResultCode.PoisonRequest, message);
}

function expired(): failure.Failure {
  const message = 'the generation is no longer held here';
  return failure.ran(resultCode.ResultCode.StreamExpired, message);
}

function superseded(): failure.Failure {
  const message = 'the stream continues on a newer connection';
  return failure.ran(resultCode.ResultCode.Cancelled, message);
}
