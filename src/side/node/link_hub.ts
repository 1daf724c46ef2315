/** Streams tokens, ends of attempts and load reports from a side process to the connected entries. */
import * as http from 'node:http';
import * as disposable from '../../base/common/disposable';
import * as log from '../../base/node/log';
import * as attemptTable from '../../decision/common/attempt_table';
import * as linkMessages from '../../protocol/common/link_messages';
import * as peerTransport from '../../protocol/node/peer_transport';

/** Unsent bytes above which a link is closed; the entry opens a new one and resumes by index. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;
/** Time without renewal after which a link is closed, in milliseconds. */
const RENEWAL_TIMEOUT_MILLISECONDS = 20_000;

class Link {
  readonly pendingAttempts = new Set<attemptTable.Attempt>();
  crashes: linkMessages.CrashFrame[] = [];
  renewedAt = performance.now();
  /** Last load report sent on this link; only changed fields are sent after it. */
  load: linkMessages.LoadReport | undefined;

  constructor(
    readonly id: string,
    readonly response: http.ServerResponse,
  ) {}
}

/** Returns the current load of the endpoint instance. */
export type LoadSource = () => linkMessages.LoadReport;

/** Manages the links of a side process. */
export class LinkHub implements disposable.Disposable {
  private readonly links = new Map<string, Link>();
  private readonly heartbeat: disposable.Disposable;
  private readonly logger = new log.Logger('links');

  constructor(
    private readonly hello: linkMessages.LinkHello,
    private readonly loadSource: LoadSource,
    private readonly traffic: peerTransport.TrafficCounter,
    private readonly onDidLose: (link: string) => void,
  ) {
    this.heartbeat = disposable.every(
      linkMessages.LINK_HEARTBEAT_MILLISECONDS,
      () => this.sendHeartbeats(),
    );
  }

  get size(): number {
    return this.links.size;
  }

  has(link: string): boolean {
    return this.links.has(link);
  }

  /** Opens a link that streams its lines on the response. */
  open(id: string, response: http.ServerResponse): void {
    response.writeHead(200, {'Content-Type': 'application/x-ndjson'});
    const link = new Link(id, response);
    this.links.set(id, link);
    response.once('close', () => this.removeLink(link));
    response.on('error', () => this.removeLink(link));
    link.load = this.loadSource();
    this.send(link, {hello: this.hello, load: link.load}, 'hello');
    this.logger.info('link opened', {link: id});
  }

  /** Resets the renewal timeout of a link. */
  renew(id: string): void {
    const link = this.links.get(id);
    if (link !== undefined) {
      link.renewedAt = performance.now();
    }
  }

  /** Schedules the unsent output of an attempt for the next flush. */
  markPending(attempt: attemptTable.Attempt): void {
    this.links.get(attempt.link)?.pendingAttempts.add(attempt);
  }

  /** Queues a crash report of the endpoint on every link for the next flush. */
  queueCrash(crash: linkMessages.CrashFrame): void {
    this.links.forEach(link => link.crashes.push(crash));
  }

  /** Sends everything pending on each link as one line. */
  flush(): void {
    for (const link of this.links.values()) {
      if (link.pendingAttempts.size === 0 && link.crashes.length === 0) {
        continue;
      }
      this.send(link, this.pendingLine(link), 'tokens');
    }
  }

  /** Sends the load changes to every entry now, and closes links whose renewal timed out. */
  sendHeartbeats(): void {
    const load = this.loadSource();
    const now = performance.now();
    for (const link of this.links.values()) {
      if (now - link.renewedAt > RENEWAL_TIMEOUT_MILLISECONDS) {
        this.logger.info('link not renewed', {link: link.id});
        link.response.destroy();
        continue;
      }
      const change = linkMessages.loadChange(link.load, load);
      link.load = load;
      this.send(link, {load: change}, 'heartbeat');
    }
  }

  /** Ends every link after its buffered data was sent. */
  close(): void {
    this.heartbeat.dispose();
    this.links.forEach(link => link.response.end());
  }

  dispose(): void {
    this.heartbeat.dispose();
    this.links.forEach(link => link.response.destroy());
  }

  private pendingLine(link: Link): linkMessages.LinkLine {
    const tokens: linkMessages.TokenFrame[] = [];
    const ends: linkMessages.EndFrame[] = [];
    for (const attempt of link.pendingAttempts) {
      if (attempt.link !== link.id || attempt.isPaused) {
        continue;
      }
      if (attempt.nextToSend < attempt.tokens.length) {
        tokens.push({
          attempt: attempt.id,
          index: attempt.nextToSend,
          texts: attempt.tokens.slice(attempt.nextToSend),
        });
        attempt.nextToSend = attempt.tokens.length;
      }
      if (!attemptTable.isOpen(attempt)) {
        ends.push(endFrame(attempt));
      }
    }
    const line = {tokens, ends, deaths: link.crashes};
    link.pendingAttempts.clear();
    link.crashes = [];
    return line;
  }

  private send(link: Link, line: linkMessages.LinkLine, kind: string): void {
    const text = JSON.stringify(line) + '\n';
    this.traffic.sent(kind, text.length);
    link.response.write(text);
    if (link.response.writableLength > MAX_UNSENT_BYTES) {
      this.logger.info('link too slow', {link: link.id});
      link.response.destroy();
    }
  }

  private removeLink(link: Link): void {
    if (this.links.get(link.id) !== link) {
      return;
    }
    this.links.delete(link.id);
    this.logger.info('link lost', {link: link.id});
    this.onDidLose(link.id);
  }
}

function endFrame(attempt: attemptTable.Attempt): linkMessages.EndFrame {
  const isCompleted = attempt.state === attemptTable.AttemptState.Completed;
  return {
    attempt: attempt.id,
    length: attempt.tokens.length,
    outcome: isCompleted
      ? linkMessages.AttemptOutcome.Completed
      : linkMessages.AttemptOutcome.Failed,
    finishReason: attempt.finishReason,
    code: attempt.failure?.code,
    message: attempt.failure?.message,
    workState: attempt.failure?.workState,
    retryAfterSeconds: attempt.failure?.retryAfterSeconds,
  };
}
