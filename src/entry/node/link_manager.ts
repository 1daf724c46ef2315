/** Manages the links to the endpoint instances that this entry sends work to. */
import * as crypto from 'node:crypto';
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as endpointTable from '../../decision/common/endpoint_table';
import * as instanceList from '../../storage/common/instance_list';
import * as linkMessages from '../../protocol/common/link_messages';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as entryMetrics from './entry_metrics';
import * as linkClient from './link_client';
import * as membership from './membership';

/** Minimum time that a link opened on demand stays open, in milliseconds. */
const ON_DEMAND_LINK_MILLISECONDS = 60_000;

/** Identity and configuration revision of this entry, and the number of links per endpoint. */
export interface LinkManagerOptions {
  readonly entry: string;
  readonly entryAddress: () => string;
  readonly dataCentre: string;
  readonly token: string;
  readonly linksPerEndpoint: number;
  readonly revision: () => number;
}

/** An event of the link to one instance. */
export interface InstanceEvent {
  readonly instance: string;
  readonly event: linkClient.LinkEvent;
}

/** Opens links to a subset of the instances of each endpoint, and to others on demand. */
export class LinkManager implements disposable.Disposable {
  readonly table = new endpointTable.EndpointTable();
  private readonly clients = new Map<string, linkClient.LinkClient>();
  /** Instances of the first list whose link has neither come up nor failed yet. */
  private readonly pendingInitialLinks = new Set<string>();
  private areInitialLinksTried = false;
  private readonly onDemandUntil = new Map<string, number>();
  private readonly events = new rxjs.Subject<InstanceEvent>();
  private readonly subscription: rxjs.Subscription;

  constructor(
    private readonly options: LinkManagerOptions,
    private readonly members: membership.Membership,
    private readonly traffic: peerTransport.TrafficCounter,
    private readonly metrics: entryMetrics.EntryMetrics,
  ) {
    this.subscription = members.onDidChange.subscribe(view =>
      this.onDidChangeMembers(view),
    );
  }

  get onDidReceiveEvent(): rxjs.Observable<InstanceEvent> {
    return this.events;
  }

  /**
   * Whether each link of the first instance list came up or failed at least
   * once. Once true it stays true, also while links to new instances open.
   */
  get hasTriedInitialLinks(): boolean {
    return this.areInitialLinksTried;
  }

  client(instance: string): linkClient.LinkClient | undefined {
    return this.clients.get(instance);
  }

  /** Opens a link to an instance outside the subset if there is none; returns whether the instance is listed. */
  ensureLink(instance: string): boolean {
    if (this.clients.has(instance)) {
      return true;
    }
    const record = this.members.find(instance);
    if (record === undefined) {
      return false;
    }
    this.onDemandUntil.set(
      instance,
      performance.now() + ON_DEMAND_LINK_MILLISECONDS,
    );
    this.open(record);
    return true;
  }

  /** Renews every link, which also sends the configuration revision of this entry. */
  renewAll(): void {
    this.clients.forEach(client => client.renew());
  }

  dispose(): void {
    this.subscription.unsubscribe();
    this.clients.forEach(client => client.dispose());
    this.clients.clear();
  }

  private onDidChangeMembers(view: membership.MembershipView): void {
    const sides = view.instances.filter(
      record => record.role === instanceList.InstanceRole.Side,
    );
    const selected = new Map(
      this.selectInstances(sides).map(record => [record.instance, record]),
    );
    const listed = new Map(sides.map(record => [record.instance, record]));
    for (const [instance, client] of this.clients) {
      const record = listed.get(instance);
      const hasMoved =
        record !== undefined &&
        record.address !== this.table.get(instance)?.address;
      const isOnDemand =
        (this.onDemandUntil.get(instance) ?? 0) > performance.now();
      const isUp =
        this.table.get(instance)?.state === endpointTable.LinkState.Up;
      // A side process that is no longer listed but still linked may be finishing work of this entry.
      const isKept =
        record === undefined ? isUp : selected.has(instance) || isOnDemand;
      if (hasMoved || !isKept) {
        this.close(instance, client);
      }
    }
    for (const record of selected.values()) {
      if (!this.clients.has(record.instance)) {
        this.open(record);
      }
      this.table.get(record.instance)!.isListedLeaving = record.isLeaving;
    }
    const isListed = view.readAt > 0;
    this.areInitialLinksTried =
      this.areInitialLinksTried ||
      (isListed && this.pendingInitialLinks.size === 0);
  }

  /** Selects instances by rendezvous hashing, so that each has links from about the same number of entries. */
  private selectInstances(
    sides: readonly instanceList.InstanceRecord[],
  ): instanceList.InstanceRecord[] {
    const byEndpoint = new Map<string, instanceList.InstanceRecord[]>();
    for (const record of sides) {
      const group = byEndpoint.get(record.endpoint) ?? [];
      group.push(record);
      byEndpoint.set(record.endpoint, group);
    }
    return [...byEndpoint.values()].flatMap(group =>
      this.selectForEndpoint(group),
    );
  }

  private selectForEndpoint(
    group: readonly instanceList.InstanceRecord[],
  ): instanceList.InstanceRecord[] {
    if (group.length <= this.options.linksPerEndpoint) {
      return [...group];
    }
    const rank = (record: instanceList.InstanceRecord) => {
      const isLocal = record.dataCentre === this.options.dataCentre;
      const digest = crypto
        .createHash('sha1')
        .update(`${this.options.entry}/${record.instance}`)
        .digest('hex');
      return (isLocal ? '0' : '1') + digest;
    };
    return [...group]
      .sort((left, right) => rank(left).localeCompare(rank(right)))
      .slice(0, this.options.linksPerEndpoint);
  }

  private open(record: instanceList.InstanceRecord): void {
    const client = new linkClient.LinkClient({
      entry: this.options.entry,
      entryAddress: this.options.entryAddress,
      address: record.address,
      token: this.options.token,
      traffic: this.traffic,
      revision: this.options.revision,
    });
    this.table.put({
      instance: record.instance,
      endpoint: record.endpoint,
      address: record.address,
      dataCentre: record.dataCentre,
      incarnation: '',
      state: endpointTable.LinkState.Connecting,
      load: undefined,
      loadAt: 0,
      dispatchedTokens: 0,
      isListedLeaving: record.isLeaving,
    });
    this.clients.set(record.instance, client);
    if (!this.areInitialLinksTried) {
      this.pendingInitialLinks.add(record.instance);
    }
    client.onDidReceiveEvent.subscribe(event =>
      this.onLinkEvent(record.instance, event),
    );
    client.connect();
  }

  private close(instance: string, client: linkClient.LinkClient): void {
    const incarnation = client.incarnation;
    client.dispose();
    this.clients.delete(instance);
    this.table.remove(instance);
    this.markTried(instance);
    const reason = 'the instance is no longer listed';
    this.events.next({
      instance,
      event: {kind: linkClient.LinkEventKind.Gone, incarnation, reason},
    });
  }

  private onLinkEvent(instance: string, event: linkClient.LinkEvent): void {
    const endpointInstance = this.table.get(instance);
    if (endpointInstance !== undefined) {
      this.applyLinkEvent(endpointInstance, event);
      this.markTried(instance);
    }
    this.events.next({instance, event});
  }

  private markTried(instance: string): void {
    this.pendingInitialLinks.delete(instance);
    this.areInitialLinksTried =
      this.areInitialLinksTried || this.pendingInitialLinks.size === 0;
  }

  private applyLinkEvent(
    endpointInstance: endpointTable.EndpointInstance,
    event: linkClient.LinkEvent,
  ): void {
    switch (event.kind) {
      case linkClient.LinkEventKind.Connected:
        endpointInstance.incarnation = event.hello.incarnation;
        endpointInstance.state = endpointTable.LinkState.Up;
        return;
      case linkClient.LinkEventKind.Reconnected:
        endpointInstance.state = endpointTable.LinkState.Up;
        return;
      case linkClient.LinkEventKind.Broken:
        endpointInstance.state = endpointTable.LinkState.Connecting;
        this.metrics.linkLosses.inc();
        return;
      case linkClient.LinkEventKind.Gone:
        endpointInstance.state = endpointTable.LinkState.Lost;
        return;
      case linkClient.LinkEventKind.Line:
        this.applyLoad(endpointInstance, event.line.load);
    }
  }

  private applyLoad(
    endpointInstance: endpointTable.EndpointInstance,
    change: linkMessages.LoadChange | undefined,
  ): void {
    if (change !== undefined) {
      const load = {
        ...endpointInstance.load,
        ...change,
      } as linkMessages.LoadReport;
      this.table.updateLoad(endpointInstance, load, performance.now());
    }
  }
}
