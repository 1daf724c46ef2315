/** Links to the endpoint instances that this entry hands work to. */
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

/** How long a link outside the subset stays open, in milliseconds. */
const SPARE_LINK_MILLISECONDS = 60_000;

/** Identity of this entry and the number of links. */
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
  /** Instances of the first listing whose link was neither up nor failed yet. */
  private readonly opening = new Set<string>();
  private hasSettled = false;
  private readonly spareUntil = new Map<string, number>();
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

  get onDidHappen(): rxjs.Observable<InstanceEvent> {
    return this.events;
  }

  /**
   * Whether each link of the first listing was up or failed at least once. Stays
   * true from then on: a link to an instance listed later does not undo it.
   */
  get isSettled(): boolean {
    return this.hasSettled;
  }

  client(instance: string): linkClient.LinkClient | undefined {
    return this.clients.get(instance);
  }

  /** Opens a link to a listed instance outside the subset; gives whether it is listed. */
  demand(instance: string): boolean {
    if (this.clients.has(instance)) {
      return true;
    }
    const record = this.members.find(instance);
    if (record === undefined) {
      return false;
    }
    this.spareUntil.set(instance, performance.now() + SPARE_LINK_MILLISECONDS);
    this.open(record);
    return true;
  }

  /** Tells every linked side process the revision in force here. */
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
    const wanted = new Map(
      this.subset(sides).map(record => [record.instance, record]),
    );
    const listed = new Map(sides.map(record => [record.instance, record]));
    for (const [instance, client] of this.clients) {
      const record = listed.get(instance);
      const hasMoved =
        record !== undefined &&
        record.address !== this.table.get(instance)?.address;
      const isSpare = (this.spareUntil.get(instance) ?? 0) > performance.now();
      const isUp =
        this.table.get(instance)?.state === endpointTable.LinkState.Up;
      // A side process that is off the list but still there may be finishing work of ours.
      const isKept =
        record === undefined ? isUp : wanted.has(instance) || isSpare;
      if (hasMoved || !isKept) {
        this.close(instance, client);
      }
    }
    for (const record of wanted.values()) {
      if (!this.clients.has(record.instance)) {
        this.open(record);
      }
      this.table.get(record.instance)!.isListedLeaving = record.isLeaving;
    }
    const isListed = view.readAt > 0;
    this.hasSettled = this.hasSettled || (isListed && this.opening.size === 0);
  }

  /** Chooses by rendezvous hashing, so that each instance has about the same number of entries. */
  private subset(
    sides: readonly instanceList.InstanceRecord[],
  ): instanceList.InstanceRecord[] {
    const byEndpoint = new Map<string, instanceList.InstanceRecord[]>();
    for (const record of sides) {
      const group = byEndpoint.get(record.endpoint) ?? [];
      group.push(record);
      byEndpoint.set(record.endpoint, group);
    }
    return [...byEndpoint.values()].flatMap(group => this.nearest(group));
  }

  private nearest(
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
    if (!this.hasSettled) {
      this.opening.add(record.instance);
    }
    client.onDidHappen.subscribe(event =>
      this.onLinkEvent(record.instance, event),
    );
    client.connect();
  }

  private close(instance: string, client: linkClient.LinkClient): void {
    const incarnation = client.incarnation;
    client.dispose();
    this.clients.delete(instance);
    this.table.remove(instance);
    this.settle(instance);
    const reason = 'the instance is no longer listed';
    this.events.next({
      instance,
      event: {kind: linkClient.LinkEventKind.Gone, incarnation, reason},
    });
  }

  private onLinkEvent(instance: string, event: linkClient.LinkEvent): void {
    const row = this.table.get(instance);
    if (row !== undefined) {
      this.note(row, event);
      this.settle(instance);
    }
    this.events.next({instance, event});
  }

  private settle(instance: string): void {
    this.opening.delete(instance);
    this.hasSettled = this.hasSettled || this.opening.size === 0;
  }

  private note(
    row: endpointTable.EndpointInstance,
    event: linkClient.LinkEvent,
  ): void {
    switch (event.kind) {
      case linkClient.LinkEventKind.Connected:
        row.incarnation = event.hello.incarnation;
        row.state = endpointTable.LinkState.Up;
        return;
      case linkClient.LinkEventKind.Relinked:
        row.state = endpointTable.LinkState.Up;
        return;
      case linkClient.LinkEventKind.Broken:
        row.state = endpointTable.LinkState.Connecting;
        this.metrics.relinks.inc();
        return;
      case linkClient.LinkEventKind.Gone:
        row.state = endpointTable.LinkState.Lost;
        return;
      case linkClient.LinkEventKind.Line:
        this.noteLoad(row, event.line.load);
    }
  }

  private noteLoad(
    row: endpointTable.EndpointInstance,
    change: linkMessages.LoadChange | undefined,
  ): void {
    if (change !== undefined) {
      const load = {...row.load, ...change} as linkMessages.LoadReport;
      this.table.updateLoad(row, load, performance.now());
    }
  }
}
