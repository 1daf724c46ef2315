/** Serves the state of this gateway over HTTP, and fetches that of a peer that has newer state. */
import * as http from 'node:http';
import * as disposable from '../../../base/common/disposable';
import * as httpClient from '../../../base/node/http_client';
import * as jsonLog from '../../../base/node/json_log';
import * as fetchDelay from '../../common/fleet/fetch_delay';
import * as peerDigest from '../../common/fleet/peer_digest';
import * as stateFollower from '../state_follower';

/** Time allowed for a configuration that a peer already has to arrive from the store, in milliseconds. */
const STORE_READ_WAIT_MILLISECONDS = 150;
/** Time allowed for instances that a peer already has to arrive in a datagram, in milliseconds. */
const RELAY_WAIT_MILLISECONDS = 20;
const FETCH_TIMEOUT_MILLISECONDS = 800;
const STATE_PATH = '/v1/state';

/** Brings this gateway up to date with peers that are ahead of it. */
export class StateTransfer implements disposable.Disposable {
  private readonly server = http.createServer((request, response) =>
    this.serveState(request, response),
  );
  private readonly configurationFetchDelay = new fetchDelay.FetchDelay();
  private readonly instancesFetchDelay = new fetchDelay.FetchDelay();
  private isFetching = false;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly log: jsonLog.JsonLog,
  ) {}

  /** Serves the state at an IP and port; does nothing if the address is empty. */
  listen(address: string): void {
    const separator = address.lastIndexOf(':');
    if (separator <= 0) {
      return;
    }
    this.server.on('error', error =>
      this.log.write('peer-server-failed', {error: error.message}, true),
    );
    this.server.listen(
      Number(address.slice(separator + 1)),
      address.slice(0, separator),
    );
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Fetches newer state that a peer has: from the store, and from the peer if the store does not deliver it. */
  fetchNewerState(digest: peerDigest.PeerDigest, now: number): void {
    const {follower} = this;
    const hasNewerConfiguration =
      digest.configurationVersion > follower.configurationVersion;
    if (hasNewerConfiguration && !follower.isWatching) {
      void follower.refreshConfiguration(0);
    }
    const isConfigurationDue =
      hasNewerConfiguration &&
      this.configurationFetchDelay.hasElapsed(
        digest.configurationVersion,
        follower.configurationVersion,
        now,
        follower.isSourceUnavailable ? 0 : STORE_READ_WAIT_MILLISECONDS,
      );
    const mayFetchInstances =
      follower.isSourceUnavailable ||
      (!follower.isWatching && digest.sourceAgeMilliseconds !== undefined);
    const areInstancesDue =
      mayFetchInstances &&
      digest.instancesPosition > follower.instancesPosition &&
      this.instancesFetchDelay.hasElapsed(
        digest.instancesPosition,
        follower.instancesPosition,
        now,
        follower.isSourceUnavailable ? 0 : RELAY_WAIT_MILLISECONDS,
      );
    const isDue = isConfigurationDue || areInstancesDue;
    if (isDue && digest.stateAddress !== '' && !this.isFetching) {
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
      this.follower.applyPeerState(state, digest.name);
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
