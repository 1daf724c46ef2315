/** Routes link events to the affected generations. */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as generationMachine from '../../decision/common/generation_machine';
import * as linkMessages from '../../protocol/common/link_messages';
import * as generations from './generation';
import * as generationTable from './generation_table';
import * as linkClient from './link_client';
import * as linkManager from './link_manager';
import * as poisonService from './poison_service';

/** Executes the commands of a generation's state machine. */
export type CommandRunner = (
  generation: generations.Generation,
  commands: readonly generationMachine.Command[],
) => void;

type Transition = (
  machine: generationMachine.GenerationMachine,
) => generationMachine.Command[];

/** Feeds link events to the state machines of the generations. */
export class LinkEventRouter implements disposable.Disposable {
  private readonly subscription: rxjs.Subscription;

  constructor(
    links: linkManager.LinkManager,
    private readonly table: generationTable.GenerationTable,
    private readonly poison: poisonService.PoisonService,
    private readonly execute: CommandRunner,
  ) {
    this.subscription = links.onDidReceiveEvent.subscribe(instanceEvent =>
      this.onLinkEvent(instanceEvent.instance, instanceEvent.event),
    );
  }

  dispose(): void {
    this.subscription.unsubscribe();
  }

  private onLinkEvent(instance: string, event: linkClient.LinkEvent): void {
    switch (event.kind) {
      case linkClient.LinkEventKind.Line:
        return this.onLine(instance, event.line);
      case linkClient.LinkEventKind.Connected:
        return this.onConnected(instance, event.hello.incarnation);
      case linkClient.LinkEventKind.Reconnected:
        return this.applyToInstance(instance, machine =>
          machine.linkRestored(),
        );
      case linkClient.LinkEventKind.Gone:
        return void this.onGone(instance, event.incarnation, event.reason);
      case linkClient.LinkEventKind.Broken:
        return;
    }
  }

  private onLine(instance: string, line: linkMessages.LinkLine): void {
    line.tokens?.forEach(frame =>
      this.applyTransition(frame.attempt, machine =>
        machine.tokensArrived(frame),
      ),
    );
    if (line.deaths === undefined || line.deaths.length === 0) {
      return this.onEnds(line.ends);
    }
    // Other entries must know of a crash before any request that was running there is retried or answered.
    void this.poison
      .reportCrashes(instance, line.deaths)
      .then(() => this.onEnds(line.ends));
  }

  private onEnds(ends: readonly linkMessages.EndFrame[] | undefined): void {
    ends?.forEach(frame =>
      this.applyTransition(frame.attempt, machine => machine.ended(frame)),
    );
  }

  private applyTransition(attempt: string, transition: Transition): void {
    const generation = this.table.receiver(attempt);
    if (generation === undefined) {
      return;
    }
    this.execute(generation, transition(generation.machine));
    if (generation.machine.target?.attempt !== attempt) {
      this.table.clearReceiver(attempt);
    }
  }

  private applyToInstance(instance: string, transition: Transition): void {
    for (const generation of this.table.onInstance(instance)) {
      if (!generation.isPaused) {
        this.execute(generation, transition(generation.machine));
      }
    }
  }

  private onConnected(instance: string, incarnation: string): void {
    this.applyToInstance(instance, machine =>
      machine.target!.incarnation === incarnation
        ? machine.linkRestored()
        : machine.instanceLost('the side process was replaced'),
    );
  }

  private async onGone(
    instance: string,
    incarnation: string,
    reason: string,
  ): Promise<void> {
    const affected = this.table
      .onInstance(instance)
      .filter(generation => isAffected(generation, incarnation));
    const fingerprints = affected
      .filter(
        generation =>
          generation.machine.phase ===
          generationMachine.GenerationPhase.Running,
      )
      .map(generation => generation.request.fingerprint);
    await this.poison.reportLostInstance(instance, fingerprints);
    for (const generation of affected) {
      if (isAffected(generation, incarnation)) {
        this.execute(generation, generation.machine.instanceLost(reason));
      }
    }
  }
}

/** Whether the loss of an incarnation ends the current attempt. An empty incarnation matches any. */
function isAffected(
  generation: generations.Generation,
  incarnation: string,
): boolean {
  const target = generation.machine.target;
  return (
    target !== undefined &&
    (incarnation === '' || target.incarnation === incarnation)
  );
}
