/** Keeps the configuration of a side process in sync with the entries connected to it. */
import * as log from '../../base/node/log';
import * as configurationTable from '../../decision/common/configuration_table';
import * as sideCalls from '../../protocol/common/side_calls';
import * as peerTransport from '../../protocol/node/peer_transport';

const SYNC_TIMEOUT_MILLISECONDS = 2_000;

/** Fetches the changes since its own revision from an entry that has a higher revision. */
export class ConfigurationFollower {
  readonly table = new configurationTable.ConfigurationTable();
  private readonly logger = new log.Logger('configuration');
  private isPulling = false;

  constructor(
    private readonly instance: string,
    private readonly token: string,
    private readonly traffic: peerTransport.TrafficCounter,
    private readonly onDidApply: () => void,
  ) {}

  /** Starts a fetch if the entry that renewed its link has a higher revision. */
  onDidRenewLink(renewal: sideCalls.RenewLink): void {
    if (renewal.revision > this.table.revision && !this.isPulling) {
      void this.pull(renewal.entryAddress);
    }
  }

  private async pull(address: string): Promise<void> {
    this.isPulling = true;
    const entry = peerTransport.createEntryClient({
      address,
      token: this.token,
      timeoutMilliseconds: SYNC_TIMEOUT_MILLISECONDS,
      traffic: this.traffic,
    });
    try {
      const revision = this.table.revision;
      const sync = await entry.sync.mutate({
        instance: this.instance,
        revision,
        withoutCustomers: true,
      });
      if (this.table.applySync(sync, revision)) {
        this.logger.info('configuration', {revision: sync.revision});
        this.onDidApply();
      }
    } catch {
      // Retried on the next link renewal by any entry.
    } finally {
      this.isPulling = false;
    }
  }
}
