/** Shares what ran at the deaths of endpoint instances with the other entries. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as log from '../../base/node/log';
import * as poisonTable from '../../decision/common/poison_table';
import * as linkMessages from '../../protocol/common/link_messages';
import * as peerCalls from '../../protocol/common/peer_calls';

/** Longest time for which an answer waits until other entries know of a death, in milliseconds. */
const SHARE_TIMEOUT_MILLISECONDS = 500;

/** Sends witnesses to the other entries; resolves when they have them. */
export type WitnessSender = (
  witnesses: readonly peerCalls.CrashRecord[],
) => Promise<void>;

/** Knows which requests are suspected of ending endpoint instances. */
export class PoisonService {
  private readonly table = new poisonTable.PoisonTable();
  private readonly logger = new log.Logger('poison');
  private readonly learned = new rxjs.Subject<
    readonly peerCalls.CrashRecord[]
  >();
  private sender: WitnessSender = () => Promise.resolve();

  /** Fires with witnesses that were not known here. */
  get onDidLearn(): rxjs.Observable<readonly peerCalls.CrashRecord[]> {
    return this.learned;
  }

  /** Sets the way to the other entries. */
  sendWith(sender: WitnessSender): void {
    this.sender = sender;
  }

  suspicion(fingerprint: string): poisonTable.Suspicion {
    return this.table.suspicion(fingerprint, Date.now());
  }

  clear(fingerprint: string): void {
    this.table.clear(fingerprint, Date.now());
  }

  recent(limit: number): peerCalls.CrashRecord[] {
    return this.table.recent(limit);
  }

  /** Takes over what a peer saw. */
  merge(witnesses: readonly peerCalls.CrashRecord[]): void {
    const added = this.table.merge(witnesses);
    if (added.length > 0) {
      this.learned.next(added);
    }
  }

  /** Notes deaths reported by the side process that survived them. */
  reportDeaths(
    instance: string,
    deaths: readonly linkMessages.DeathFrame[],
  ): Promise<void> {
    const witnesses = deaths.flatMap(death =>
      makeWitnesses(`${instance}/${death.death}`, death.fingerprints),
    );
    return this.report(instance, witnesses);
  }

  /** Notes the loss of a side process together with its endpoint. */
  reportLostInstance(
    instance: string,
    fingerprints: readonly string[],
  ): Promise<void> {
    const unique = [...new Set(fingerprints)];
    return this.report(
      instance,
      makeWitnesses(`${instance}/${Date.now()}`, unique),
    );
  }

  private async report(
    instance: string,
    witnesses: readonly peerCalls.CrashRecord[],
  ): Promise<void> {
    const added = this.table.merge(witnesses);
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

function makeWitnesses(
  death: string,
  fingerprints: readonly string[],
): peerCalls.CrashRecord[] {
  const at = Date.now();
  return fingerprints.map(fingerprint => ({fingerprint, death, at}));
}
