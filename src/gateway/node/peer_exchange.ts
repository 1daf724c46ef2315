/** Digests to and from other gateways over UDP, and whole state over HTTP when a peer has newer. */
import * as dgram from 'node:dgram';
import * as http from 'node:http';
import * as disposable from '../../base/common/disposable';
import * as httpClient from '../../base/node/http_client';
import * as jsonLog from '../../base/node/json_log';
import * as crashTable from '../common/crash_table';
import * as peerDigest from '../common/peer_digest';
import * as runTable from '../common/run_table';
import * as stateFollower from './state_follower';

/** Time between digests with few peers, in milliseconds. */
const MIN_INTERVAL_MILLISECONDS = 200;
/** Digests that one gateway sends in a second at most. */
const MAX_DIGESTS_PER_SECOND = 100;
/** Time for which newer state at a peer may be on its way from the store, in milliseconds. */
const STORE_HEAD_START_MILLISECONDS = 150;
const FETCH_TIMEOUT_MILLISECONDS = 800;
/** Largest digest that is surely carried in one datagram. */
const MAX_DIGEST_BYTES = 8_000;
const STATE_PATH = '/v1/state';

/** How this gateway appears to its peers. */
export interface PeerSettings {
  readonly name: string;
  readonly ip: string;
  /** IP and port at which state is served; empty to serve none. */
  readonly stateAddress: string;
  readonly digestPort: number;
}

/** Tells peers about this gateway and learns from them. */
export class PeerExchange implements disposable.Disposable {
  private readonly socket = dgram.createSocket('udp4');
  private readonly server = http.createServer((request, response) =>
    this.serveState(request, response),
  );
  private timer: NodeJS.Timeout | undefined;
  /** Version that a peer has and this gateway lacks, or lacked last. */
  private awaitedVersion = 0;
  private awaitedSince = 0;
  private isFetching = false;
  /** Monotonic milliseconds at which this process ends; undefined unless it is about to end. */
  endsAt: number | undefined;

  constructor(
    private readonly settings: PeerSettings,
    private readonly peers: peerDigest.PeerTable,
    private readonly follower: stateFollower.StateFollower,
    private readonly runs: runTable.RunTable,
    private readonly crashes: crashTable.CrashTable,
    private readonly log: jsonLog.JsonLog,
  ) {}

  start(): void {
    this.socket.on('message', (bytes, sender) =>
      this.receive(bytes, sender.address),
    );
    this.socket.on('error', error =>
      this.log.write('peer-socket-failed', {error: error.message}, true),
    );
    this.socket.bind(this.settings.digestPort, this.settings.ip);
    const separator = this.settings.stateAddress.lastIndexOf(':');
    if (separator > 0) {
      this.server.on('error', error =>
        this.log.write('peer-server-failed', {error: error.message}, true),
      );
      this.server.listen(
        Number(this.settings.stateAddress.slice(separator + 1)),
        this.settings.stateAddress.slice(0, separator),
      );
    }
    this.schedule();
  }

  dispose(): void {
    clearTimeout(this.timer);
    this.socket.close();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Tells the peers at once, without waiting for the next digest. */
  announce(): void {
    this.sendDigests();
  }

  private schedule(): void {
    const count = this.peers.addresses().length;
    const interval = Math.max(
      MIN_INTERVAL_MILLISECONDS,
      (count * 1000) / MAX_DIGESTS_PER_SECOND,
    );
    this.timer = setTimeout(() => {
      this.sendDigests();
      this.schedule();
    }, interval);
    this.timer.unref();
  }

  private sendDigests(): void {
    const digest: peerDigest.PeerDigest = {
      name: this.settings.name,
      stateAddress: this.settings.stateAddress,
      configurationVersion: this.follower.configurationVersion,
      instancesRevision: this.follower.instancesRevision,
      loads: this.runs.ownLoads(),
      crashes: this.crashes.recent(),
      peers: this.peers.heard(performance.now()),
      endsInMilliseconds:
        this.endsAt === undefined
          ? undefined
          : Math.round(this.endsAt - performance.now()),
    };
    const bytes = Buffer.from(JSON.stringify(digest));
    if (bytes.length > MAX_DIGEST_BYTES) {
      this.log.write('peer-digest-too-large', {bytes: bytes.length});
      return;
    }
    for (const ip of this.peers.addresses()) {
      // Lost digests are followed by the next one.
      this.socket.send(bytes, this.settings.digestPort, ip, () => undefined);
    }
  }

  private receive(bytes: Buffer, ip: string): void {
    const now = performance.now();
    const digest = parseDigest(bytes);
    if (digest === undefined) {
      this.log.write('peer-digest-unreadable', {ip, bytes: bytes.length});
      return;
    }
    this.peers.note(ip, digest, now);
    this.runs.notePeer(digest.name, digest.loads, now);
    digest.crashes.forEach(crash => this.crashes.note(crash, now));
    this.considerFetch(digest, now);
  }

  /** Fetches newer state of a peer, unless it is about to come from the store. */
  private considerFetch(digest: peerDigest.PeerDigest, now: number): void {
    const {follower} = this;
    const hasConfiguration =
      digest.configurationVersion > follower.configurationVersion;
    const hasInstances =
      follower.isSourceAway &&
      digest.instancesRevision > follower.instancesRevision;
    if (digest.stateAddress === '' || !(hasConfiguration || hasInstances)) {
      return;
    }
    if (this.awaitedVersion <= follower.configurationVersion) {
      this.awaitedVersion = digest.configurationVersion;
      this.awaitedSince = now;
    }
    const isDue =
      follower.isSourceAway ||
      now - this.awaitedSince > STORE_HEAD_START_MILLISECONDS;
    if (isDue && !this.isFetching) {
      void this.fetchState(digest);
    }
  }

  private async fetchState(digest: peerDigest.PeerDigest): Promise<void> {
    this.isFetching = true;
    try {
      const answer = await httpClient.callHttp({
        method: 'GET',
        url: `http://${digest.stateAddress}${STATE_PATH}`,
        timeoutMilliseconds: FETCH_TIMEOUT_MILLISECONDS,
      });
      const state = JSON.parse(
        answer.body.toString('utf8'),
      ) as peerDigest.PeerState;
      this.follower.takePeerState(state, digest.name);
    } catch (error) {
      this.log.write('peer-state-unavailable', {
        peer: digest.name,
        error: String(error),
      });
    } finally {
      this.isFetching = false;
    }
  }

  private serveState(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (request.url !== STATE_PATH) {
      response.writeHead(404).end();
      return;
    }
    const body = JSON.stringify(this.follower.peerState());
    response
      .writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      })
      .end(body);
  }
}

function parseDigest(bytes: Buffer): peerDigest.PeerDigest | undefined {
  try {
    const value = JSON.parse(bytes.toString('utf8')) as peerDigest.PeerDigest;
    const isDigest =
      typeof value.name === 'string' &&
      Array.isArray(value.crashes) &&
      Array.isArray(value.peers);
    return isDigest ? value : undefined;
  } catch {
    // The caller logs unreadable datagrams.
    return undefined;
  }
}
