/** Shares with the other entries which requests were running when endpoint instances died. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as log from '../../base/node/log';
import * as poisonTable from '../../decision/common/poison_table';
import * as linkMessages from '../../protocol/common/link_messages';
import * as peerCalls from '../../protocol/common/peer_calls';

/** Maximum time that an answer is delayed until other entries know of a death, in milliseconds. */
const SHARE_TIMEOUT_MILLISECONDS = 500;

/** Sends witnesses to the other entries; resolves when they have them. */
export type WitnessSender = (
  witnesses: readonly peerCalls.CrashRecord[],
) => Promise<void>;

/** Tracks which requests are suspected of killing endpoint instances. */
export class PoisonService {
  private readonly table = new poisonTable.PoisonTable();
  private readonly logger = new log.Logger('poison');
  private readonly witnessesAdded = new rxjs.Subject<
    readonly peerCalls.CrashRecord[]
  >();
  private sender: WitnessSender = () => Promise.resolve();

  /** Emits witnesses received from peers that were new to this entry. */
  get onDidAddWitnesses(): rxjs.Observable<readonly peerCalls.CrashRecord[]> {
    return this.witnessesAdded;
  }

  /** Sets the function that sends witnesses to the other entries. */
  setSender(sender: WitnessSender): void {
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

  /** Merges the witnesses of a peer. */
  merge(witnesses: readonly peerCalls.CrashRecord[]): void {
    const added = this.table.merge(witnesses);
    if (added.length > 0) {
      this.witnessesAdded.next(added);
    }
  }

  /** Records endpoint deaths reported by a side process that kept running. */
  reportDeaths(
    instance: string,
    deaths: readonly linkMessages.CrashFrame[],
  ): Promise<void> {
    const witnesses = deaths.flatMap(death =>
      makeWitnesses(`${instance}/${death.death}`, death.fingerprints),
    );
    return this.report(instance, witnesses);
  }

  /** Records the loss of a side process together with its endpoint. */
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
