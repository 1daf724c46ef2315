/** Serves the state of this gateway over HTTP, and fetches that of a peer that has newer state. */
import * as http from 'node:http';
import * as deadline from '../../../base/common/deadline';
import * as disposable from '../../../base/common/disposable';
import * as boundedServer from '../../../base/node/bounded_server';
import * as httpClient from '../../../base/node/http_client';
import * as jsonLog from '../../../base/node/json_log';
import * as fetchDelay from '../../common/fleet/fetch_delay';
import * as peerDigest from '../../common/fleet/peer_digest';
import * as evacuationFollower from '../evacuation_follower';
import * as stateFollower from '../state_follower';
import * as stateCodec from './state_codec';

/** Time allowed for a configuration that a peer already has to arrive by the own watch, in milliseconds. */
const WATCH_WAIT_MILLISECONDS = 150;
/** Time allowed for instances that a peer already has to arrive in a datagram, in milliseconds. */
const RELAY_WAIT_MILLISECONDS = 20;
/** Maximum time for state to arrive, in milliseconds; whole state takes long on a narrow link. */
const FETCH_TIMEOUT_MILLISECONDS = 5_000;
/** Maximum time without any part of the state, in milliseconds. */
const FETCH_PAUSE_MILLISECONDS = 800;
/** Interval of reads of a configuration that a peer of an older build relayed incompletely, in milliseconds. */
const COMPLETION_INTERVAL_MILLISECONDS = 1_000;
const STATE_PATH = '/v1/state';
/** Headers that name the version of the configuration that a peer has and its era; older builds ignore them. */
const KNOWN_VERSION_HEADER = 'known-configuration';
const KNOWN_ERA_HEADER = 'known-era';

/** Brings this gateway up to date with peers that are ahead of it. */
export class StateTransfer implements disposable.Disposable {
  private readonly server: boundedServer.BoundedServer;
  private readonly configurationFetchDelay = new fetchDelay.FetchDelay();
  private readonly instancesFetchDelay = new fetchDelay.FetchDelay();
  private isFetching = false;
  private isCompleting = false;
  private isDisposed = false;
  /** Whether the last change of a peer did not apply here. */
  private needsWholeState = false;
  private readonly encoder = new stateCodec.StateEncoder();
  /** Last digest with newer state that arrived during a fetch. */
  private next: peerDigest.PeerDigest | undefined;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly evacuations: evacuationFollower.EvacuationFollower,
    serverOptions: boundedServer.BoundedServerOptions,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.server = new boundedServer.BoundedServer(
      serverOptions,
      (request, response) => void this.serveState(request, response),
    );
  }

  /** Serves the state at an IP and port; does nothing if the address is empty. */
  listen(address: string): void {
    const separator = address.lastIndexOf(':');
    if (separator <= 0) {
      return;
    }
    this.server.listen(
      address.slice(0, separator),
      Number(address.slice(separator + 1)),
      error =>
        this.log.write('peer-server-failed', {error: error.message}, true),
    );
  }

  dispose(): void {
    this.isDisposed = true;
    this.server.dispose();
  }

  /**
   * Fetches newer state that a peer has. Gateways that do not watch take a
   * configuration from the peer at once, so that the calls to the store do not
   * grow with the fleet, and read the store if that fails; those that watch
   * give their own watch time first.
   */
  fetchNewerState(digest: peerDigest.PeerDigest, now: number): void {
    const {configuration, era} = this.follower;
    if (era.isCurrent(digest.storeEra)) {
      configuration.recordAnnouncement(digest.configurationVersion, now);
    }
    const isDue =
      this.isConfigurationDue(digest, now) || this.areInstancesDue(digest, now);
    if (!isDue || digest.stateAddress === '') {
      return;
    }
    if (this.isFetching) {
      this.next = digest;
      return;
    }
    void this.fetchState(digest);
  }

  private isConfigurationDue(
    digest: peerDigest.PeerDigest,
    now: number,
  ): boolean {
    const {follower} = this;
    const mayWait = follower.isWatching && !follower.isSourceUnavailable;
    return (
      digest.configurationVersion > follower.configurationVersion &&
      this.configurationFetchDelay.hasElapsed(
        digest.configurationVersion,
        follower.configurationVersion,
        now,
        mayWait ? WATCH_WAIT_MILLISECONDS : 0,
      )
    );
  }

  private areInstancesDue(digest: peerDigest.PeerDigest, now: number): boolean {
    const {follower} = this;
    const mayFetch =
      follower.isSourceUnavailable ||
      (!follower.isWatching && digest.sourceAgeMilliseconds !== undefined);
    return (
      mayFetch &&
      follower.era.isCurrent(digest.storeEra) &&
      digest.instancesPosition > follower.instancesPosition &&
      this.instancesFetchDelay.hasElapsed(
        digest.instancesPosition,
        follower.instancesPosition,
        now,
        follower.isSourceUnavailable ? 0 : RELAY_WAIT_MILLISECONDS,
      )
    );
  }

  private async fetchState(digest: peerDigest.PeerDigest): Promise<void> {
    this.isFetching = true;
    try {
      const answer = await httpClient.callHttp({
        method: 'GET',
        url: `http://${digest.stateAddress}${STATE_PATH}`,
        timeoutMilliseconds: FETCH_TIMEOUT_MILLISECONDS,
        maxPauseMilliseconds: FETCH_PAUSE_MILLISECONDS,
        maxBodyBytes: stateCodec.MAX_STATE_BYTES,
        headers: this.requestHeaders(),
      });
      const state = await stateCodec.decode({
        body: answer.body,
        isCompressed: answer.headers['content-encoding'] === 'gzip',
      });
      this.follower.era.observe(state.storeEra, digest.name);
      // First, so that no request meets instances of an evacuated data centre.
      if (this.follower.era.isCurrent(state.storeEra)) {
        this.evacuations.applyPeerState(state, digest.name);
      }
      this.follower.applyPeerState(state, digest.name);
      const {version} = state.configurationChange ?? {version: 0};
      this.needsWholeState = version > this.follower.configurationVersion;
      this.next ??= this.needsWholeState ? digest : undefined;
      void this.completeConfiguration();
    } catch (error) {
      this.log.write('peer-state-unavailable', {
        peer: digest.name,
        error: String(error),
      });
      if (digest.configurationVersion > this.follower.configurationVersion) {
        void this.follower.refreshConfiguration(0);
      }
    } finally {
      this.isFetching = false;
    }
    const {next} = this;
    this.next = undefined;
    if (next !== undefined) {
      this.fetchNewerState(next, performance.now());
    }
  }

  /** Reads the configuration from the store while the one in force was relayed by a gateway that does not read allowed regions. */
  private async completeConfiguration(): Promise<void> {
    if (this.isCompleting) {
      return;
    }
    this.isCompleting = true;
    while (this.isConfigurationIncomplete && !this.isDisposed) {
      await this.follower.refreshConfiguration(0);
      await deadline.delay(COMPLETION_INTERVAL_MILLISECONDS);
    }
    this.isCompleting = false;
  }

  private get isConfigurationIncomplete(): boolean {
    const {routes} = this.follower;
    return (
      routes !== undefined && routes.configuration.hasAllowedRegions !== true
    );
  }

  private requestHeaders(): http.OutgoingHttpHeaders {
    const {configuration, era} = this.follower;
    const {changeableVersion} = configuration;
    const headers = {'Accept-Encoding': 'gzip'};
    return this.needsWholeState || changeableVersion === undefined
      ? headers
      : {
          ...headers,
          [KNOWN_VERSION_HEADER]: String(changeableVersion),
          [KNOWN_ERA_HEADER]: String(era.current ?? ''),
        };
  }

  private async serveState(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const {url, headers} = request;
    if (url !== STATE_PATH) {
      response.writeHead(404).end();
      return;
    }
    const hasSameEra =
      headers[KNOWN_ERA_HEADER] === String(this.follower.era.current ?? '');
    const peerVersion = Number(headers[KNOWN_VERSION_HEADER]);
    const {body, isCompressed} = await this.encoder.encode(
      {
        ...this.follower.peerState(hasSameEra ? peerVersion : undefined),
        evacuated: this.evacuations.toRelay(),
      },
      headers['accept-encoding'] === 'gzip',
    );
    response
      .writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': body.length,
        ...(isCompressed ? {'Content-Encoding': 'gzip'} : {}),
      })
      .end(body);
  }
}
