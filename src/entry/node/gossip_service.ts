/** Synchronizes the entries: configuration, instance list and crash reports. */
import * as rxjs from 'rxjs';
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as instanceList from '../../storage/common/instance_list';
import * as configurationMessages from '../../protocol/common/configuration_messages';
import * as peerCalls from '../../protocol/common/peer_calls';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as configurationService from './configuration_service';
import * as membership from './membership';
import * as poisonService from './poison_service';

const GOSSIP_MILLISECONDS = 1_000;
const CALL_TIMEOUT_MILLISECONDS = 1_500;
/** Number of peers that an update is pushed to; each peer pushes it to as many in turn. */
const PUSH_FANOUT = 6;
const MAX_CRASH_REPORTS_IN_GOSSIP = 32;
const MAX_CLIENTS = 64;

/** Identity of this entry. */
export interface GossipOptions {
  readonly instance: string;
  readonly address: () => string;
  readonly token: string;
}

/** Exchanges updates with other entries. */
export class GossipService implements disposable.Disposable {
  private readonly clients = new Map<string, peerTransport.EntryClient>();
  private readonly subscriptions = new rxjs.Subscription();
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  /** When a peer last answered or called, in monotonic milliseconds. */
  lastContactAt = -Infinity;

  constructor(
    private readonly options: GossipOptions,
    private readonly configuration: configurationService.ConfigurationService,
    private readonly members: membership.Membership,
    private readonly poison: poisonService.PoisonService,
    private readonly traffic: peerTransport.TrafficCounter,
  ) {
    let pushedRevision = configuration.table.revision;
    this.subscriptions.add(
      configuration.table.onDidAdvance.subscribe(() => {
        this.pushConfiguration(pushedRevision);
        pushedRevision = configuration.table.revision;
      }),
    );
    // Crash reports received from a peer are forwarded, so that a few messages from each entry reach all entries.
    this.subscriptions.add(
      poison.onDidAddCrashReports.subscribe(
        crashReports => void this.sendCrashReports(crashReports),
      ),
    );
    poison.setSender(crashReports => this.sendCrashReports(crashReports));
  }

  /** Other listed entries. */
  get peers(): instanceList.InstanceRecord[] {
    return this.members.entries.filter(
      record => record.instance !== this.options.instance,
    );
  }

  /** Exchanges state with some peers, then with one random peer per interval. */
  async start(): Promise<void> {
    await Promise.all(
      this.samplePeers(PUSH_FANOUT).map(peer => this.gossipWith(peer, [])),
    );
    this.schedule();
  }

  /** Handles a gossip message of a peer, and pulls its configuration and instance list if they are newer. */
  handleGossip(input: peerCalls.Gossip): peerCalls.GossipReply {
    this.lastContactAt = performance.now();
    this.poison.merge(input.witnesses);
    if (input.revision > this.configuration.table.revision) {
      void this.pullConfiguration(input.address);
    }
    if (isNewerList(input, this.members.view)) {
      void this.pullInstanceList(input.address);
    }
    return {
      ...this.summary(),
      witnesses: this.poison.recentCrashReports(MAX_CRASH_REPORTS_IN_GOSSIP),
    };
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
    this.subscriptions.unsubscribe();
  }

  client(address: string): peerTransport.EntryClient {
    const existing = this.clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = peerTransport.createEntryClient({
      address,
      token: this.options.token,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      traffic: this.traffic,
    });
    this.clients.set(address, client);
    if (this.clients.size > MAX_CLIENTS) {
      this.clients.delete(this.clients.keys().next().value!);
    }
    return client;
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    this.timer = setTimeout(() => {
      const [peer] = this.samplePeers(1);
      const exchange =
        peer === undefined ? Promise.resolve() : this.gossipWith(peer, []);
      void exchange.then(() => this.schedule());
    }, deadline.jittered(GOSSIP_MILLISECONDS));
    this.timer.unref?.();
  }

  private samplePeers(count: number): instanceList.InstanceRecord[] {
    const peers = this.peers;
    for (let index = peers.length - 1; index > 0; index--) {
      const other = Math.floor(Math.random() * (index + 1));
      [peers[index], peers[other]] = [peers[other], peers[index]];
    }
    return peers.slice(0, count);
  }

  private summary() {
    const view = this.members.view;
    return {
      revision: this.configuration.table.revision,
      listReadAt: view.readAt,
      listHash: view.hash,
    };
  }

  private async gossipWith(
    peer: instanceList.InstanceRecord,
    newCrashReports: readonly peerCalls.CrashRecord[],
  ): Promise<void> {
    const crashReports =
      newCrashReports.length > 0
        ? [...newCrashReports]
        : this.poison.recentCrashReports(MAX_CRASH_REPORTS_IN_GOSSIP);
    const message: peerCalls.Gossip = {
      instance: this.options.instance,
      address: this.options.address(),
      ...this.summary(),
      witnesses: crashReports,
    };
    try {
      const reply = await this.client(peer.address).gossip.mutate(message);
      this.lastContactAt = performance.now();
      this.poison.merge(reply.witnesses);
      if (reply.revision > this.configuration.table.revision) {
        await this.pullConfiguration(peer.address);
      }
      if (isNewerList(reply, this.members.view)) {
        await this.pullInstanceList(peer.address);
      }
    } catch {
      // The next round picks another peer.
    }
  }

  private async pullConfiguration(address: string): Promise<void> {
    const revision = this.configuration.table.revision;
    try {
      const request = {
        instance: this.options.instance,
        revision,
        withoutCustomers: false,
      };
      this.configuration.applySync(
        await this.client(address).sync.mutate(request),
        revision,
      );
    } catch {
      // A later gossip exchange tries again.
    }
  }

  private async pullInstanceList(address: string): Promise<void> {
    try {
      const view = await this.client(address).list.query();
      this.members.applyRemoteView(view as membership.MembershipView);
    } catch {
      // A later gossip exchange tries again.
    }
  }

  private pushConfiguration(fromRevision: number): void {
    const sync: configurationMessages.SyncReply =
      this.configuration.table.changesSince(fromRevision, false);
    if (sync.isSnapshot && fromRevision > 0) {
      // Send only the summary: peers pull a large state if they need it.
      this.samplePeers(PUSH_FANOUT).forEach(
        peer => void this.gossipWith(peer, []),
      );
      return;
    }
    for (const peer of this.samplePeers(PUSH_FANOUT)) {
      this.client(peer.address)
        .push.mutate({sync, fromRevision})
        .catch(() => undefined);
    }
  }

  private async sendCrashReports(
    crashReports: readonly peerCalls.CrashRecord[],
  ): Promise<void> {
    await Promise.all(
      this.samplePeers(PUSH_FANOUT).map(peer =>
        this.gossipWith(peer, crashReports),
      ),
    );
  }
}

function isNewerList(
  remote: {readonly listReadAt: number; readonly listHash: string},
  local: membership.MembershipView,
): boolean {
  return remote.listReadAt > local.readAt && remote.listHash !== local.hash;
}
