/**
 * Shares crash reports with the other entries. A crash report names a request,
 * by its fingerprint, that was running on an endpoint instance when it crashed.
 */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as log from '../../base/node/log';
import * as poisonTable from '../../decision/common/poison_table';
import * as linkMessages from '../../protocol/common/link_messages';
import * as peerCalls from '../../protocol/common/peer_calls';

/** Maximum time that an answer is delayed until other entries know of a crash, in milliseconds. */
const SHARE_TIMEOUT_MILLISECONDS = 500;

/** Sends crash reports to other entries; resolves when they have replied or failed. */
export type CrashReportSender = (
  crashReports: readonly peerCalls.CrashRecord[],
) => Promise<void>;

/** Tracks which requests are suspected of crashing endpoint instances. */
export class PoisonService {
  private readonly table = new poisonTable.PoisonTable();
  private readonly logger = new log.Logger('poison');
  private readonly crashReportsAdded = new rxjs.Subject<
    readonly peerCalls.CrashRecord[]
  >();
  private sender: CrashReportSender = () => Promise.resolve();

  /** Emits crash reports received from peers that were new to this entry. */
  get onDidAddCrashReports(): rxjs.Observable<
    readonly peerCalls.CrashRecord[]
  > {
    return this.crashReportsAdded;
  }

  /** Sets the function that sends crash reports to other entries. */
  setSender(sender: CrashReportSender): void {
    this.sender = sender;
  }

  suspicion(fingerprint: string): poisonTable.Suspicion {
    return this.table.suspicion(fingerprint, Date.now());
  }

  clearSuspicion(fingerprint: string): void {
    this.table.clear(fingerprint, Date.now());
  }

  recentCrashReports(limit: number): peerCalls.CrashRecord[] {
    return this.table.recent(limit);
  }

  /** Merges the crash reports of a peer. */
  merge(crashReports: readonly peerCalls.CrashRecord[]): void {
    const added = this.table.merge(crashReports);
    if (added.length > 0) {
      this.crashReportsAdded.next(added);
    }
  }

  /** Records endpoint crashes reported by a side process that kept running. */
  reportCrashes(
    instance: string,
    crashes: readonly linkMessages.CrashFrame[],
  ): Promise<void> {
    const crashReports = crashes.flatMap(crash =>
      makeCrashReports(`${instance}/${crash.death}`, crash.fingerprints),
    );
    return this.report(instance, crashReports);
  }

  /** Records the loss of a side process together with its endpoint, which counts as a crash. */
  reportLostInstance(
    instance: string,
    fingerprints: readonly string[],
  ): Promise<void> {
    const unique = [...new Set(fingerprints)];
    return this.report(
      instance,
      makeCrashReports(`${instance}/${Date.now()}`, unique),
    );
  }

  private async report(
    instance: string,
    crashReports: readonly peerCalls.CrashRecord[],
  ): Promise<void> {
    const added = this.table.merge(crashReports);
    if (added.length === 0) {
      return;
    }
    this.logger.info('endpoint died', {instance, fingerprints: added.length});
    const sent = this.sender(added);
    await deadline
      .withDeadline(sent, SHARE_TIMEOUT_MILLISECONDS)
      .catch(() => undefined);
  }
}

function makeCrashReports(
  crashId: string,
  fingerprints: readonly string[],
): peerCalls.CrashRecord[] {
  const at = Date.now();
  return fingerprints.map(fingerprint => ({fingerprint, death: crashId, at}));
}
