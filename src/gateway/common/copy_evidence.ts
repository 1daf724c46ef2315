/**
 * Decides whether the copy of a run can be expected to exist. A generation that
 * may run once goes on only from such a copy: an engine without it runs nothing
 * and says so, but its answer may be lost, and then the request counts as run
 * again. Engines confirm copies made on order; of a backup there are only signs.
 */
import * as instanceClient from './instance_client';
import * as instanceTable from './instance_table';

/** How a copy came about. */
export enum CopyOrigin {
  /** The engine keeps it up to date by itself; nothing confirms that it exists. */
  Backup = 'backup',
  /** Made on order; an engine has confirmed it. */
  Ordered = 'ordered',
}

/** Why a generation does not go on from a copy. */
export enum EvidenceGap {
  /** The run was not seen at work for as long as the first part of a backup takes. */
  TooEarly = 'too-early',
  /** Copies are kept for a limited time. */
  Expired = 'expired',
  /** The engine of the copy did not report. */
  NoReport = 'no-report',
  /** The engine of the copy has started again. */
  Restarted = 'restarted',
  /** The engine of the copy has too little memory in use. */
  NotInMemory = 'not-in-memory',
  /** The engine of the copy has too little memory left; it keeps a backup only while it has room. */
  NoRoom = 'no-room',
  /** The run may still be at work at its source. */
  SourceAtWork = 'source-at-work',
}

/** Longest interval between the parts of a backup, which engines send several times a second, in milliseconds. */
const BACKUP_INTERVAL_MILLISECONDS = 350;
/** Maximum age of the state that an engine's report shows when it is read, in milliseconds. */
const MAX_REPORT_AGE_MILLISECONDS = 500;
/** Factor by which transfers between data centres take longer. */
const REMOTE_FACTOR = 2;

/** What a gateway knows of a copy. Times are monotonic, in milliseconds. */
export interface CopyFacts {
  readonly origin: CopyOrigin;
  /** When an engine confirmed a copy made on order. */
  readonly confirmedAt: number;
  /** Engine that holds the copy. */
  readonly holder: instanceTable.InstanceRecord;
  /** Whether the run is in another data centre than the copy. */
  readonly isRemote: boolean;
  /** First and latest events from the run's engine; undefined before the first. */
  readonly eventTimes:
    {readonly first: number; readonly latest: number} | undefined;
  /** Tokens of the run's first part: the prompt, and what was generated before. */
  readonly firstPartTokens: number;
  readonly promptTokens: number;
  /** Time that the transfer of one token takes within a data centre; 0 if unknown. */
  readonly millisecondsPerToken: number;
  /** Time for which a copy is kept; 0 if unknown. */
  readonly lifetimeMilliseconds: number;
}

/** Time at work after which a run's first part has arrived at its backup, in milliseconds. */
export function backupDelay(copy: CopyFacts): number {
  const factor = copy.isRemote ? REMOTE_FACTOR : 1;
  const transfer = copy.firstPartTokens * copy.millisecondsPerToken * factor;
  return BACKUP_INTERVAL_MILLISECONDS + transfer;
}

/** Returns what is missing as far as this gateway can tell by itself. */
export function findOwnGap(
  copy: CopyFacts,
  now: number,
): EvidenceGap | undefined {
  const {eventTimes, lifetimeMilliseconds} = copy;
  const isBackup = copy.origin === CopyOrigin.Backup;
  if (isBackup && eventTimes === undefined) {
    return EvidenceGap.TooEarly;
  }
  const aliveAt = isBackup ? eventTimes!.latest : copy.confirmedAt;
  if (lifetimeMilliseconds > 0 && now - aliveAt > lifetimeMilliseconds) {
    return EvidenceGap.Expired;
  }
  const isEarly =
    isBackup && eventTimes!.latest - eventTimes!.first < backupDelay(copy);
  return isEarly ? EvidenceGap.TooEarly : undefined;
}

/** Whether a report of the copy's engine may tell more; one that is read now does not know of a copy confirmed just before. */
export function needsReport(copy: CopyFacts, now: number): boolean {
  return (
    copy.origin === CopyOrigin.Backup ||
    now - copy.confirmedAt > MAX_REPORT_AGE_MILLISECONDS
  );
}

/** Returns what is missing by the report of the copy's engine, which may be some hundred milliseconds old. */
export function findReportedGap(
  copy: CopyFacts,
  report: instanceClient.InstanceReport | undefined,
): EvidenceGap | undefined {
  const isBackup = copy.origin === CopyOrigin.Backup;
  if (report === undefined) {
    return isBackup ? EvidenceGap.NoReport : undefined;
  }
  const {startedAt} = copy.holder;
  const areStartsKnown = startedAt > 0 && report.startedAt > 0;
  if (areStartsKnown && report.startedAt !== startedAt) {
    return EvidenceGap.Restarted;
  }
  if (isBackup && report.unlistedMemoryTokens < copy.promptTokens) {
    return EvidenceGap.NotInMemory;
  }
  const isFull = report.freeMemoryTokens < copy.promptTokens;
  return isBackup && isFull ? EvidenceGap.NoRoom : undefined;
}
