/** Keeps the entries in step: configuration, instance list and witnesses of deaths. */
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
/** Peers that are told of news at once; they tell as many in turn. */
const PUSH_FANOUT = 6;
const WITNESSES_IN_GOSSIP = 32;
const MAX_CLIENTS = 64;

/** Identity of this entry. */
export interface GossipOptions {
  readonly instance: string;
  readonly address: () => string;
  readonly token: string;
}

/** Exchanges news with other entries. */
export class GossipService implements disposable.Disposable {
  private readonly clients = new Map<string, peerTransport.EntryClient>();
  private readonly subscriptions = new rxjs.Subscription();
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  /** Monotonic milliseconds at which a peer last answered. */
  heardAt = -Infinity;

  constructor(
    private readonly options: GossipOptions,
    private readonly configuration: configurationService.ConfigurationService,
    private readonly members: membership.Membership,
    private readonly poison: poisonService.PoisonService,
    private readonly traffic: peerTransport.TrafficCounter,
  ) {
    let pushed = configuration.table.revision;
    this.subscriptions.add(
      configuration.table.onDidRaise.subscribe(() => {
        this.pushConfiguration(pushed);
        pushed = configuration.table.revision;
      }),
    );
    // What a peer told is told on, so that a few messages from each entry reach all.
    this.subscriptions.add(
      poison.onDidLearn.subscribe(
        witnesses => void this.sendWitnesses(witnesses),
      ),
    );
    poison.sendWith(witnesses => this.sendWitnesses(witnesses));
  }

  /** Other live entries. */
  get peers(): instanceList.InstanceRecord[] {
    return this.members.entries.filter(
      record => record.instance !== this.options.instance,
    );
  }

  /** Asks peers for their state, and goes on doing so in turn. */
  async start(): Promise<void> {
    await Promise.all(
      this.sample(PUSH_FANOUT).map(peer => this.gossipWith(peer, [])),
    );
    this.schedule();
  }

  /** Answers a peer. */
  answer(input: peerCalls.Gossip): peerCalls.GossipReply {
    this.heardAt = performance.now();
    this.poison.merge(input.witnesses);
    if (input.revision > this.configuration.table.revision) {
      void this.pull(input.address);
    }
    if (isNewerList(input, this.members.view)) {
      void this.pullList(input.address);
    }
    return {
      ...this.summary(),
      witnesses: this.poison.recent(WITNESSES_IN_GOSSIP),
    };
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
    this.subscriptions.unsubscribe();
  }

  client(address: string): peerTransport.EntryClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
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
      const [peer] = this.sample(1);
      const exchange =
        peer === undefined ? Promise.resolve() : this.gossipWith(peer, []);
      void exchange.then(() => this.schedule());
    }, deadline.jittered(GOSSIP_MILLISECONDS));
    this.timer.unref?.();
  }

  private sample(count: number): instanceList.InstanceRecord[] {
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
    news: readonly peerCalls.CrashRecord[],
  ): Promise<void> {
    const witnesses =
      news.length > 0 ? [...news] : this.poison.recent(WITNESSES_IN_GOSSIP);
    const message: peerCalls.Gossip = {
      instance: this.options.instance,
      address: this.options.address(),
      ...this.summary(),
      witnesses,
    };
    try {
      const reply = await this.client(peer.address).gossip.mutate(message);
      this.heardAt = performance.now();
      this.poison.merge(reply.witnesses);
      if (reply.revision > this.configuration.table.revision) {
        await this.pull(peer.address);
      }
      if (isNewerList(reply, this.members.view)) {
        await this.pullList(peer.address);
      }
    } catch {
      // Another peer is asked in the next round.
    }
  }

  private async pull(address: string): Promise<void> {
    const revision = this.configuration.table.revision;
    try {
      const request = {
        instance: this.options.instance,
        revision,
        withoutCustomers: false,
      };
      this.configuration.adopt(
        await this.client(address).sync.mutate(request),
        revision,
      );
    } catch {
      // Anti-entropy tries again.
    }
  }

  private async pullList(address: string): Promise<void> {
    try {
      const view = await this.client(address).list.query();
      this.members.adopt(view as membership.MembershipView);
    } catch {
      // Anti-entropy tries again.
    }
  }

  private pushConfiguration(fromRevision: number): void {
    const sync: configurationMessages.SyncReply =
      this.configuration.table.since(fromRevision, false);
    if (sync.isSnapshot && fromRevision > 0) {
      // Peers pull a large state only when they need it.
      this.sample(PUSH_FANOUT).forEach(peer => void this.gossipWith(peer, []));
      return;
    }
    for (const peer of this.sample(PUSH_FANOUT)) {
      this.client(peer.address)
        .push.mutate({sync, fromRevision})
        .catch(() => undefined);
    }
  }

  private async sendWitnesses(
    witnesses: readonly peerCalls.CrashRecord[],
  ): Promise<void> {
    await Promise.all(
      this.sample(PUSH_FANOUT).map(peer => this.gossipWith(peer, witnesses)),
    );
  }
}

function isNewerList(
  theirs: {readonly listReadAt: number; readonly listHash: string},
  own: membership.MembershipView,
): boolean {
  return theirs.listReadAt > own.readAt && theirs.listHash !== own.hash;
}
