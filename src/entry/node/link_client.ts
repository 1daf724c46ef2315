/**
 * One link from this entry to a side process, reopened when it breaks or stops
 * sending. A link is a long-lived HTTP response that carries JSON lines.
 */
import * as http from 'node:http';
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as clientAgent from '../../base/node/client_agent';
import * as httpClient from '../../base/node/http_client';
import * as jsonLines from '../../base/node/json_lines';
import * as log from '../../base/node/log';
import * as linkMessages from '../../protocol/common/link_messages';
import * as directCalls from '../../protocol/node/direct_calls';
import * as peerTransport from '../../protocol/node/peer_transport';

const CONNECT_TIMEOUT_MILLISECONDS = 1_500;
const CALL_TIMEOUT_MILLISECONDS = 2_000;
const RENEWAL_MILLISECONDS = 5_000;
const FIRST_BACKOFF_MILLISECONDS = 50;
const MAX_BACKOFF_MILLISECONDS = 2_000;
/** Consecutive refused connections after which the side process counts as gone. */
const MAX_CONSECUTIVE_REFUSALS = 3;
/** Time without a link after which the side process counts as gone, in milliseconds. */
const GONE_AFTER_MILLISECONDS = 8_000;

/** Identity of this entry, and the address and token of the side process. */
export interface LinkClientOptions {
  readonly entry: string;
  readonly entryAddress: () => string;
  readonly address: string;
  readonly token: string;
  readonly traffic: peerTransport.TrafficCounter;
  readonly revision: () => number;
}

/** Kinds of link events. */
export enum LinkEventKind {
  /** The first hello of an incarnation. */
  Connected = 'connected',
  /** The link was reopened to the same incarnation. */
  Reconnected = 'reconnected',
  /** The side process sent a message. */
  Line = 'line',
  /** The link broke; the incarnation may still be running. */
  Broken = 'broken',
  /** The incarnation is gone. An empty incarnation means that none is known. */
  Gone = 'gone',
}

/** One event of a link. */
export type LinkEvent =
  | {
      readonly kind: LinkEventKind.Connected;
      readonly hello: linkMessages.LinkHello;
    }
  | {readonly kind: LinkEventKind.Reconnected}
  | {readonly kind: LinkEventKind.Line; readonly line: linkMessages.LinkLine}
  | {readonly kind: LinkEventKind.Broken}
  | {
      readonly kind: LinkEventKind.Gone;
      readonly incarnation: string;
      readonly reason: string;
    };

/** Keeps a link open, and reports its events. */
export class LinkClient implements disposable.Disposable {
  /** Calls made for every request. */
  readonly direct: directCalls.DirectSideClient;
  /** All other calls. */
  readonly calls: peerTransport.SideClient;
  private readonly events = new rxjs.Subject<LinkEvent>();
  private readonly logger = new log.Logger('link');
  private readonly renewal: disposable.Disposable;
  private response: http.IncomingMessage | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private backoff = FIRST_BACKOFF_MILLISECONDS;
  private consecutiveRefusals = 0;
  private connectionNumber = 0;
  private disconnectedAt = performance.now();
  private isDisposed = false;
  private isUp = false;
  private currentIncarnation = '';

  constructor(private readonly options: LinkClientOptions) {
    const target: peerTransport.PeerTarget = {
      address: options.address,
      token: options.token,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      traffic: options.traffic,
    };
    this.direct = new directCalls.DirectSideClient(target);
    this.calls = peerTransport.createSideClient(target);
    this.renewal = disposable.every(RENEWAL_MILLISECONDS, () => this.renew());
  }

  get onDidReceiveEvent(): rxjs.Observable<LinkEvent> {
    return this.events;
  }

  /** Incarnation last seen; empty before the first hello and once it is gone. */
  get incarnation(): string {
    return this.currentIncarnation;
  }

  /** Identifier of the current link, to which the side process sends output. */
  get linkId(): string {
    return `${this.options.entry}.${this.connectionNumber}`;
  }

  /** Opens the link. */
  connect(): void {
    if (this.isDisposed) {
      return;
    }
    this.connectionNumber++;
    const connectionNumber = this.connectionNumber;
    httpClient
      .openHttp({
        method: 'GET',
        url: `http://${this.options.address}/link?id=${encodeURIComponent(this.linkId)}`,
        headers: {authorization: `Bearer ${this.options.token}`},
        timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
        agent: LINK_AGENT,
      })
      .then(
        response => this.onResponse(response, connectionNumber),
        error => this.onConnectError(error),
      );
  }

  /** Tells the side process that the link is still in use and which configuration revision this entry has. */
  renew(): void {
    if (!this.isUp) {
      return;
    }
    this.direct
      .renewLink({
        link: this.linkId,
        entry: this.options.entry,
        entryAddress: this.options.entryAddress(),
        revision: this.options.revision(),
      })
      .catch(() => undefined);
  }

  dispose(): void {
    this.isDisposed = true;
    this.renewal.dispose();
    clearTimeout(this.idleTimer);
    clearTimeout(this.retryTimer);
    this.response?.destroy();
    this.events.complete();
  }

  private onResponse(
    response: http.IncomingMessage,
    connectionNumber: number,
  ): void {
    if (
      this.isDisposed ||
      connectionNumber !== this.connectionNumber ||
      response.statusCode !== 200
    ) {
      response.destroy();
      if (connectionNumber === this.connectionNumber) {
        this.retryLater();
      }
      return;
    }
    this.response = response;
    this.restartIdleTimer(connectionNumber);
    const parser = new jsonLines.JsonLineParser<linkMessages.LinkLine>();
    response.on('data', (chunk: Buffer) => {
      if (connectionNumber !== this.connectionNumber) {
        return;
      }
      this.restartIdleTimer(connectionNumber);
      this.options.traffic.received('link', chunk.length);
      parser.push(chunk).forEach(line => this.onLine(line));
    });
    response.once('close', () => this.onBroken(connectionNumber, 'closed'));
    response.on('error', () => this.onBroken(connectionNumber, 'error'));
  }

  private onLine(line: linkMessages.LinkLine): void {
    if (line.hello !== undefined) {
      this.onHello(line.hello);
    }
    this.events.next({kind: LinkEventKind.Line, line});
  }

  private onHello(hello: linkMessages.LinkHello): void {
    this.backoff = FIRST_BACKOFF_MILLISECONDS;
    this.consecutiveRefusals = 0;
    this.isUp = true;
    if (hello.incarnation === this.currentIncarnation) {
      this.events.next({kind: LinkEventKind.Reconnected});
    } else {
      if (this.currentIncarnation !== '') {
        this.reportGone('the side process was replaced');
      }
      this.currentIncarnation = hello.incarnation;
      this.events.next({kind: LinkEventKind.Connected, hello});
    }
    this.renew();
  }

  private restartIdleTimer(connectionNumber: number): void {
    clearTimeout(this.idleTimer);
    this.idleTimer = setTimeout(
      () => this.onBroken(connectionNumber, 'silent'),
      linkMessages.LINK_IDLE_TIMEOUT_MILLISECONDS,
    );
  }

  private onBroken(connectionNumber: number, reason: string): void {
    if (connectionNumber !== this.connectionNumber || this.isDisposed) {
      return;
    }
    clearTimeout(this.idleTimer);
    this.response?.destroy();
    this.response = undefined;
    if (this.isUp) {
      this.isUp = false;
      this.disconnectedAt = performance.now();
      this.logger.info('link broken', {
        address: this.options.address,
        reason,
      });
      this.events.next({kind: LinkEventKind.Broken});
    }
    // Output that still arrives on the broken link has an older connection number and is ignored.
    this.connectionNumber++;
    this.retryLater();
  }

  private onConnectError(error: unknown): void {
    this.consecutiveRefusals = httpClient.neverSent(error)
      ? this.consecutiveRefusals + 1
      : 0;
    const isOverdue =
      performance.now() - this.disconnectedAt > GONE_AFTER_MILLISECONDS;
    if (this.consecutiveRefusals >= MAX_CONSECUTIVE_REFUSALS || isOverdue) {
      this.reportGone(String(error));
    }
    this.retryLater();
  }

  private reportGone(reason: string): void {
    const incarnation = this.currentIncarnation;
    this.currentIncarnation = '';
    this.logger.info('side process gone', {
      address: this.options.address,
      reason,
    });
    this.events.next({kind: LinkEventKind.Gone, incarnation, reason});
  }

  private retryLater(): void {
    if (this.isDisposed) {
      return;
    }
    clearTimeout(this.retryTimer);
    this.retryTimer = setTimeout(() => this.connect(), this.backoff);
    this.backoff = Math.min(MAX_BACKOFF_MILLISECONDS, this.backoff * 2);
  }
}

/** Links are long-lived, so they must not use pooled connections. */
const LINK_AGENT = new clientAgent.ClientAgent({
  keepAlive: false,
  maxSockets: Infinity,
});
