/** Brings what happens on links to the generations concerned. */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as generationMachine from '../../decision/common/generation_machine';
import * as linkMessages from '../../protocol/common/link_messages';
import * as generation from './generation';
import * as generationTable from './generation_table';
import * as linkClient from './link_client';
import * as linkManager from './link_manager';
import * as poisonService from './poison_service';

/** Carries out the commands of a generation's machine. */
export type CommandRunner = (
  row: generation.Generation,
  commands: readonly generationMachine.Command[],
) => void;

type Step = (
  machine: generationMachine.GenerationMachine,
) => generationMachine.Command[];

/** Steps the machines of generations with the events of links. */
export class LinkEventRouter implements disposable.Disposable {
  private readonly subscription: rxjs.Subscription;

  constructor(
    links: linkManager.LinkManager,
    private readonly table: generationTable.GenerationTable,
    private readonly poison: poisonService.PoisonService,
    private readonly run: CommandRunner,
  ) {
    this.subscription = links.onDidHappen.subscribe(happened =>
      this.onLinkEvent(happened.instance, happened.event),
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
      case linkClient.LinkEventKind.Relinked:
        return this.stepAll(instance, machine => machine.linkRestored());
      case linkClient.LinkEventKind.Gone:
        return void this.onGone(instance, event.incarnation, event.reason);
      case linkClient.LinkEventKind.Broken:
        return;
    }
  }

  private onLine(instance: string, line: linkMessages.LinkLine): void {
    line.tokens?.forEach(frame =>
      this.step(frame.attempt, machine => machine.tokensArrived(frame)),
    );
    if (line.deaths === undefined || line.deaths.length === 0) {
      return this.onEnds(line.ends);
    }
    // Other entries learn of a death before anything that ran there is run again or answered.
    void this.poison
      .reportDeaths(instance, line.deaths)
      .then(() => this.onEnds(line.ends));
  }

  private onEnds(ends: readonly linkMessages.EndFrame[] | undefined): void {
    ends?.forEach(frame =>
      this.step(frame.attempt, machine => machine.ended(frame)),
    );
  }

  private step(attempt: string, step: Step): void {
    const row = this.table.receiver(attempt);
    if (row === undefined) {
      return;
    }
    this.run(row, step(row.machine));
    if (row.machine.target?.attempt !== attempt) {
      this.table.undirect(attempt);
    }
  }

  private stepAll(instance: string, step: Step): void {
    for (const row of this.table.at(instance)) {
      if (!row.isPaused) {
        this.run(row, step(row.machine));
      }
    }
  }

  private onConnected(instance: string, incarnation: string): void {
    this.stepAll(instance, machine =>
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
      .at(instance)
      .filter(row => concerns(row, incarnation));
    const fingerprints = affected
      .filter(
        row => row.machine.phase === generationMachine.GenerationPhase.Running,
      )
      .map(row => row.request.fingerprint);
    await this.poison.reportLostInstance(instance, fingerprints);
    for (const row of affected) {
      if (concerns(row, incarnation)) {
        this.run(row, row.machine.instanceLost(reason));
      }
    }
  }
}

/** Whether the loss of an incarnation ends the present attempt. */
function concerns(row: generation.Generation, incarnation: string): boolean {
  const target = row.machine.target;
  return (
    target !== undefined &&
    (incarnation === '' || target.incarnation === incarnation)
  );
}
