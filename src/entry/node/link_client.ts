/** One link from this entry to a side process, reopened when it breaks or falls silent. */
import * as http from 'node:http';
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
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
/** Refused connections in a row after which the process counts as gone. */
const MAX_REFUSALS = 3;
/** Time without a link after which the process counts as gone, in milliseconds. */
const GONE_AFTER_MILLISECONDS = 8_000;

/** Identity of this entry and the way to a side process. */
export interface LinkClientOptions {
  readonly entry: string;
  readonly entryAddress: () => string;
  readonly address: string;
  readonly token: string;
  readonly traffic: peerTransport.TrafficCounter;
  readonly revision: () => number;
}

/** What happens on a link. */
export enum LinkEventKind {
  /** The first hello of an incarnation. */
  Connected = 'connected',
  /** A new link to the incarnation known already. */
  Relinked = 'relinked',
  Line = 'line',
  /** The link broke; the incarnation may still be there. */
  Broken = 'broken',
  /** The incarnation is gone; an empty one means that none was ever reached. */
  Gone = 'gone',
}

/** One event of a link. */
export type LinkEvent =
  | {
      readonly kind: LinkEventKind.Connected;
      readonly hello: linkMessages.LinkHello;
    }
  | {readonly kind: LinkEventKind.Relinked}
  | {readonly kind: LinkEventKind.Line; readonly line: linkMessages.LinkLine}
  | {readonly kind: LinkEventKind.Broken}
  | {
      readonly kind: LinkEventKind.Gone;
      readonly incarnation: string;
      readonly reason: string;
    };

/** Keeps a link open. */
export class LinkClient implements disposable.Disposable {
  /** Calls made for every request. */
  readonly direct: directCalls.DirectSideClient;
  /** All other calls. */
  readonly calls: peerTransport.SideClient;
  private readonly events = new rxjs.Subject<LinkEvent>();
  private readonly logger = new log.Logger('link');
  private readonly renewal: disposable.Disposable;
  private response: http.IncomingMessage | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private backoff = FIRST_BACKOFF_MILLISECONDS;
  private refusals = 0;
  private generation = 0;
  private brokenAt = performance.now();
  private isDisposed = false;
  private isUp = false;
  private incarnationInUse = '';

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

  get onDidHappen(): rxjs.Observable<LinkEvent> {
    return this.events;
  }

  /** Incarnation last seen; empty before the first hello. */
  get incarnation(): string {
    return this.incarnationInUse;
  }

  /** Name of the link now open, under which the side process sends output. */
  get linkId(): string {
    return `${this.options.entry}.${this.generation}`;
  }

  /** Opens the link. */
  connect(): void {
    if (this.isDisposed) {
      return;
    }
    this.generation++;
    const generation = this.generation;
    httpClient
      .openHttp({
        method: 'GET',
        url: `http://${this.options.address}/link?id=${encodeURIComponent(this.linkId)}`,
        headers: {authorization: `Bearer ${this.options.token}`},
        timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
        agent: LINK_AGENT,
      })
      .then(
        response => this.onResponse(response, generation),
        error => this.onConnectError(error),
      );
  }

  /** Tells the side process that the link is read, and the revision in force here. */
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
    clearTimeout(this.silenceTimer);
    clearTimeout(this.retryTimer);
    this.response?.destroy();
    this.events.complete();
  }

  private onResponse(response: http.IncomingMessage, generation: number): void {
    if (
      this.isDisposed ||
      generation !== this.generation ||
      response.statusCode !== 200
    ) {
      response.destroy();
      if (generation === this.generation) {
        this.retryLater();
      }
      return;
    }
    this.response = response;
    this.restartSilenceTimer(generation);
    const parser = new jsonLines.JsonLineParser<linkMessages.LinkLine>();
    response.on('data', (chunk: Buffer) => {
      if (generation !== this.generation) {
        return;
      }
      this.restartSilenceTimer(generation);
      this.options.traffic.received('link', chunk.length);
      parser.push(chunk).forEach(line => this.onLine(line));
    });
    response.once('close', () => this.onBroken(generation, 'closed'));
    response.on('error', () => this.onBroken(generation, 'error'));
  }

  private onLine(line: linkMessages.LinkLine): void {
    if (line.hello !== undefined) {
      this.onHello(line.hello);
    }
    this.events.next({kind: LinkEventKind.Line, line});
  }

  private onHello(hello: linkMessages.LinkHello): void {
    this.backoff = FIRST_BACKOFF_MILLISECONDS;
    this.refusals = 0;
    this.isUp = true;
    if (hello.incarnation === this.incarnationInUse) {
      this.events.next({kind: LinkEventKind.Relinked});
    } else {
      if (this.incarnationInUse !== '') {
        this.declareGone('the side process was replaced');
      }
      this.incarnationInUse = hello.incarnation;
      this.events.next({kind: LinkEventKind.Connected, hello});
    }
    this.renew();
  }

  private restartSilenceTimer(generation: number): void {
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(
      () => this.onBroken(generation, 'silent'),
      linkMessages.LINK_IDLE_TIMEOUT_MILLISECONDS,
    );
  }

  private onBroken(generation: number, reason: string): void {
    if (generation !== this.generation || this.isDisposed) {
      return;
    }
    clearTimeout(this.silenceTimer);
    this.response?.destroy();
    this.response = undefined;
    if (this.isUp) {
      this.isUp = false;
      this.brokenAt = performance.now();
      this.logger.info('link broken', {
        address: this.options.address,
        reason,
      });
      this.events.next({kind: LinkEventKind.Broken});
    }
    // Output on the broken link that still arrives belongs to an older generation and is ignored.
    this.generation++;
    this.retryLater();
  }

  private onConnectError(error: unknown): void {
    this.refusals = httpClient.neverSent(error) ? this.refusals + 1 : 0;
    const isOverdue =
      performance.now() - this.brokenAt > GONE_AFTER_MILLISECONDS;
    if (this.refusals >= MAX_REFUSALS || isOverdue) {
      this.declareGone(String(error));
    }
    this.retryLater();
  }

  private declareGone(reason: string): void {
    const incarnation = this.incarnationInUse;
    this.incarnationInUse = '';
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

/** Links stay open for long and must not take part in the sharing of connections. */
const LINK_AGENT = new http.Agent({keepAlive: false, maxSockets: Infinity});
