/** Tracks the copies of one running generation, and decides where to keep a backup, a copy that is continuously updated. */
import * as instanceAvailability from '../common/availability/instance_availability';
import * as configuration from '../common/configuration';
import * as copyEvidence from '../common/copy_evidence';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';

const {UnavailableReason} = instanceAvailability;
const {CopyOrigin} = copyEvidence;

/**
 * Time after the notice that an instance is leaving in which a run may still
 * continue from its copy there, in milliseconds; no work may reach the instance
 * two seconds after the notice.
 */
const DRAINING_COPY_MILLISECONDS = 1_000;

/** A copy that was asked for. */
export interface RequestedCopy {
  readonly target: instanceClient.RunTarget;
  readonly origin: copyEvidence.CopyOrigin;
  /** Monotonic milliseconds at which a backup was asked for, or a copy confirmed. */
  readonly at: number;
}

/** The copies of one run. */
export class RunCopies {
  private copy: RequestedCopy | undefined;
  private source: instanceTable.Instance | undefined;
  private isStopped = false;
  /** Copy that was taken and not used yet. */
  private taken: RequestedCopy | undefined;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly run: runTable.Run,
    private readonly engine: configuration.EngineProfile,
  ) {}

  /** The copy to continue from; undefined if none was asked for. */
  get current(): RequestedCopy | undefined {
    return this.copy;
  }

  /** Whether the run of the current segment is known to be at work no more. */
  get isSourceStopped(): boolean {
    return this.isStopped;
  }

  /** Records that the run of the segment has stopped or is out of reach, with the copy that was made then, if any. */
  recordStop(copy: instanceClient.RunTarget | undefined): void {
    this.isStopped = true;
    if (copy !== undefined) {
      this.setCopy(copy);
    }
  }

  /** Whether the run has no backup and would be lost with its instance; a resumable stream continues at any instance by event id. */
  get needsCopy(): boolean {
    const hasBackup = this.copy?.origin === CopyOrigin.Backup;
    const isBackedUp = hasBackup && this.target !== undefined;
    return !this.context.call.route.isResumable && !isBackedUp;
  }

  /** Instance that holds a copy and accepts requests; undefined if there is none. */
  get target(): instanceTable.Instance | undefined {
    const target = this.copy?.target.instance;
    const {services, call} = this.context;
    const isUsable =
      target !== undefined &&
      services.availability.isAvailable(target, call.scope, performance.now());
    return isUsable ? target : undefined;
  }

  /** Sets the copy made on request; undefined if there is none any more. */
  setCopy(target: instanceClient.RunTarget | undefined): void {
    const at = performance.now();
    this.copy = target && {target, origin: CopyOrigin.Ordered, at};
  }

  /** Discards the copies of the previous segment; returns the instance that keeps a backup of the next one. */
  startSegment(
    source: instanceTable.Instance,
  ): instanceTable.Instance | undefined {
    this.setCopy(undefined);
    this.taken = undefined;
    this.isStopped = false;
    this.source = source;
    this.run.copyInstanceId = undefined;
    const backup = this.chooseBackup(source);
    if (backup === undefined) {
      return undefined;
    }
    const {record} = backup;
    const {attemptId} = this.run;
    this.run.copyInstanceId = record.id;
    this.copy = {
      target: {
        instance: backup,
        // A backup is identified by the attempt id of its run, and fetched from the instance that keeps it.
        continuation: {sourceAddress: record.address, handle: attemptId},
      },
      origin: CopyOrigin.Backup,
      at: performance.now(),
    };
    this.context.log('backup-chosen', {backup: record.id}, source);
    return backup;
  }

  /** Frees a copy that is not used; otherwise it would hold memory for seconds. */
  dropUnused(): void {
    const {source} = this;
    const copy = this.copy ?? this.taken;
    this.copy = undefined;
    this.taken = undefined;
    const handle = copy?.target.continuation?.handle;
    // Engines free backups themselves when their run has ended.
    const isFreedByEngine = copy?.origin === CopyOrigin.Backup;
    if (handle === undefined || source === undefined || isFreedByEngine) {
      return;
    }
    const {client, follower} = this.context.services;
    const isSourceKnown = follower.instances.get(source.record.id) === source;
    // The source frees the copy at both instances; if it is gone, the target frees its own.
    client.dropCopy(isSourceKnown ? source : copy!.target.instance, handle);
  }

  /** Removes and returns the copy to continue from; undefined if its instance is gone or accepts no more work. */
  take(now: number): RequestedCopy | undefined {
    const {copy} = this;
    this.copy = undefined;
    this.taken = copy;
    if (copy === undefined) {
      return undefined;
    }
    const {instance} = copy.target;
    const {instances} = this.context.services.follower;
    const isKnown = instances.get(instance.record.id) === instance;
    return isKnown && this.acceptsContinuation(instance, now)
      ? copy
      : undefined;
  }

  /** Why the instance of a copy that was taken got no request in the meantime; draining is no reason within the time that the copy is waited for. */
  whyUnusable(
    instance: instanceTable.Instance,
  ): instanceAvailability.UnavailableReason | undefined {
    const {services, call} = this.context;
    const now = performance.now();
    const reason = services.availability.find(
      instance,
      call.scope,
      now,
    )?.reason;
    return reason === UnavailableReason.Draining ? undefined : reason;
  }

  /** Whether a run may continue from its copy at the instance, which is allowed for a short time after the instance started to drain. */
  private acceptsContinuation(
    instance: instanceTable.Instance,
    now: number,
  ): boolean {
    const {services, call} = this.context;
    const unavailability = services.availability.find(
      instance,
      call.scope,
      now,
    );
    return (
      unavailability === undefined ||
      (unavailability.reason === UnavailableReason.Draining &&
        now - unavailability.since < DRAINING_COPY_MILLISECONDS)
    );
  }

  /** Chooses the instance of a backup, which covers a stop of the source without notice, if memory can be spared. */
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
      context.call.scope,
    );
  }
}
