/** Collects the status of all instances for operators. */
import * as tracing from '../../base/node/tracing';
import * as endpointTable from '../../decision/common/endpoint_table';
import * as instanceList from '../../storage/common/instance_list';
import * as peerCalls from '../../protocol/common/peer_calls';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as configurationService from './configuration_service';
import * as gossipService from './gossip_service';
import * as linkManager from './link_manager';
import * as membership from './membership';

const CALL_TIMEOUT_MILLISECONDS = 1_500;

/** Services that the status service uses. */
export interface StatusServiceDependencies {
  readonly instance: string;
  readonly token: string;
  readonly configuration: configurationService.ConfigurationService;
  readonly members: membership.Membership;
  readonly links: linkManager.LinkManager;
  readonly gossip: gossipService.GossipService;
  readonly traffic: peerTransport.TrafficCounter;
  readonly tracer: tracing.Tracer;
  readonly ownStatus: () => peerCalls.StatusReport;
}

interface InstanceStatus {
  readonly instance: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly endpoint: string;
  readonly revision: bigint;
  readonly reachable: boolean;
  readonly leaving: boolean;
  readonly running: number;
  readonly waiting: number;
}

/** Queries the instances for their status. */
export class StatusService {
  constructor(private readonly dependencies: StatusServiceDependencies) {}

  /** Returns the status of each listed instance and, if traceId is not empty, the spans of that trace. */
  async report(traceId: string) {
    const records = this.dependencies.members.view.instances;
    const instances = await Promise.all(
      records.map(record => this.statusOf(record)),
    );
    const reachable = instances.filter(status => status.reachable);
    const revision = BigInt(this.dependencies.configuration.table.revision);
    const lowest = reachable.reduce(
      (low, status) => (status.revision < low ? status.revision : low),
      revision,
    );
    const spans = traceId === '' ? [] : await this.spans(traceId, records);
    return {
      revision,
      lowestRevision: lowest,
      instances,
      spans,
      running: reachable.reduce((sum, status) => sum + status.running, 0),
    };
  }

  private async statusOf(
    record: instanceList.InstanceRecord,
  ): Promise<InstanceStatus> {
    const report = await this.fetchStatus(record).catch(() => undefined);
    return {
      instance: record.instance,
      role: record.role,
      dataCentre: record.dataCentre,
      endpoint: record.endpoint,
      revision: BigInt(report?.revision ?? 0),
      reachable: report !== undefined,
      leaving: report?.isLeaving ?? record.isLeaving,
      running: report?.running ?? 0,
      waiting: report?.waiting ?? 0,
    };
  }

  /** Uses the load reports of linked side processes; other instances are queried. */
  private async fetchStatus(
    record: instanceList.InstanceRecord,
  ): Promise<peerCalls.StatusReport> {
    if (record.instance === this.dependencies.instance) {
      return this.dependencies.ownStatus();
    }
    if (record.role === instanceList.InstanceRole.Entry) {
      return this.dependencies.gossip.client(record.address).status.query();
    }
    const endpointInstance = this.dependencies.links.table.get(record.instance);
    const isLinked = endpointInstance?.state === endpointTable.LinkState.Up;
    if (isLinked && endpointInstance.load !== undefined) {
      const {revision, running, waiting, isLeaving} = endpointInstance.load;
      const {instance} = record;
      const {incarnation} = endpointInstance;
      return {
        instance,
        revision,
        running,
        waiting,
        isLeaving,
        incarnation,
        loaded: [],
      };
    }
    return this.sideClient(record).status.query();
  }

  private async spans(
    traceId: string,
    records: readonly instanceList.InstanceRecord[],
  ) {
    const others = records.filter(
      record => record.instance !== this.dependencies.instance,
    );
    const remoteSpans = await Promise.all(
      others.map(record => this.spansOf(record, traceId)),
    );
    const all = [
      ...this.dependencies.tracer.spansOf(traceId),
      ...remoteSpans.flat(),
    ];
    return all.sort(
      (left, right) => left.startMilliseconds - right.startMilliseconds,
    );
  }

  private async spansOf(
    record: instanceList.InstanceRecord,
    traceId: string,
  ): Promise<readonly peerCalls.SpanReport[]> {
    const isEntry = record.role === instanceList.InstanceRole.Entry;
    const client = isEntry
      ? this.dependencies.gossip.client(record.address)
      : this.sideClient(record);
    return client.spans.query(traceId).catch(() => []);
  }

  private sideClient(
    record: instanceList.InstanceRecord,
  ): peerTransport.SideClient {
    const linked = this.dependencies.links.client(record.instance);
    if (linked !== undefined) {
      return linked.calls;
    }
    return peerTransport.createSideClient({
      address: record.address,
      token: this.dependencies.token,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      traffic: this.dependencies.traffic,
    });
  }
}
