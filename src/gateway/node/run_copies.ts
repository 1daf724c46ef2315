/** Where copies of one running generation are, and when to make a running one. */
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';

/**
 * Time after the notice of an instance in which a run may still go on from its
 * copy there, in milliseconds; no work may reach it two seconds after.
 */
const DRAINING_COPY_MILLISECONDS = 1_000;

/** The copies of one run. */
export class RunCopies {
  private copy: instanceClient.RunTarget | undefined;
  private hasBackup = false;
  private source: instanceTable.Instance | undefined;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly run: runTable.Run,
    private readonly engine: configuration.EngineProfile,
  ) {}

  /** Whether there is a copy to go on from. */
  get hasCopy(): boolean {
    return this.copy !== undefined;
  }

  /** Whether the run is lost with its instance; a resumable stream goes on anywhere by event id. */
  get isNeeded(): boolean {
    const isBackedUp =
      this.hasBackup && this.copy?.instance.drainingAt === undefined;
    return !this.context.call.route.isResumable && !isBackedUp;
  }

  /** Instance that holds a copy and stays; undefined when there is none. */
  get target(): instanceTable.Instance | undefined {
    const target = this.copy?.instance;
    return target?.drainingAt === undefined ? target : undefined;
  }

  /** Notes a copy made on order; undefined when there is none any more. */
  note(copy: instanceClient.RunTarget | undefined): void {
    this.hasBackup = false;
    this.copy = copy;
  }

  /** Forgets the copies of the leg before; gives the instance that keeps a running copy of the next one. */
  startLeg(source: instanceTable.Instance): instanceTable.Instance | undefined {
    this.note(undefined);
    this.source = source;
    this.run.copyInstanceId = undefined;
    const backup = this.chooseBackup(source);
    if (backup === undefined) {
      return undefined;
    }
    const {record} = backup;
    const {attemptId} = this.run;
    this.hasBackup = true;
    this.run.copyInstanceId = record.id;
    this.copy = {
      instance: backup,
      // A running copy is named by its run, and asked for where it is kept.
      continuation: {sourceAddress: record.address, handle: attemptId},
    };
    this.context.log('backup-chosen', {backup: record.id}, source);
    return backup;
  }

  /** Frees a copy that nobody goes on from; it would hold memory for seconds. */
  dropUnused(): void {
    const {copy, source} = this;
    this.copy = undefined;
    const handle = copy?.continuation?.handle;
    // An engine frees running copies itself when their run has ended.
    if (handle === undefined || source === undefined || this.hasBackup) {
      return;
    }
    const {client, follower} = this.context.services;
    const isSourceKnown = follower.instances.get(source.record.id) === source;
    // The source frees both ends; without it, the target frees its own.
    client.dropCopy(isSourceKnown ? source : copy!.instance, handle);
  }

  /** Takes the copy to go on from, unless its instance is gone or takes no more work. */
  take(now: number): instanceClient.RunTarget | undefined {
    const {copy} = this;
    this.copy = undefined;
    const {instances} = this.context.services.follower;
    const isUsable =
      copy !== undefined &&
      instances.get(copy.instance.record.id) === copy.instance &&
      now - (copy.instance.drainingAt ?? now) < DRAINING_COPY_MILLISECONDS;
    return isUsable ? copy : undefined;
  }

  /** A running copy covers the end of the instance without notice, where memory can be spared. */
  private chooseBackup(
    source: instanceTable.Instance,
  ): instanceTable.Instance | undefined {
    const {engine, context, run} = this;
    if (context.call.route.isResumable || !engine.canBackUpRuns) {
      return undefined;
    }
    const capacity = engine.memoryTokens || Infinity;
    return context.services.scheduler.chooseBackupInstance(
      run,
      source,
      capacity,
    );
  }
}
