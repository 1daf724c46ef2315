/** Callers that keep their connections open for as long as a gateway keeps them. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as answers from './answers';
import * as callRules from './call_rules';
import * as deployment from './deployment';
import * as largeConfigurations from './large_configurations';
import * as requestHistory from './request_history';
import * as random from './random';

const {RequestKind} = requestHistory;

const PATHS: Readonly<Record<requestHistory.RequestKind, string>> = {
  [RequestKind.Read]: '/read/',
  [RequestKind.File]: '/file/',
  [RequestKind.Draft]: '/draft/',
  [RequestKind.Tag]: '/tag/',
};
/** Kinds of requests, each as often as its share of the traffic. */
const REQUEST_MIX = [
  RequestKind.Read,
  RequestKind.Read,
  RequestKind.File,
  RequestKind.File,
  RequestKind.File,
  RequestKind.Draft,
  RequestKind.Tag,
];
const MAX_THINK_MILLISECONDS = 150;
/** Fraction of requests that their caller may abort before the answer. */
const ABORT_SHARE = 0.03;
/** Fraction of requests that may use a key that was revoked. */
const REVOKED_KEY_SHARE = 0.05;
/** Fraction of broken-off tags that their caller resumes. */
const RESUME_SHARE = 0.8;
/** Fraction of reads that use a route of a large configuration, if there was one. */
const BATCH_SHARE = 0.5;
/** Fraction of requests in a flood that are of the flooding customer. */
const FLOOD_SHARE = 0.8;
const PLAIN_WAIT_MILLISECONDS = 2_000;
/** Longer than the 2.4 s that a stream of maximum length lasts. */
const STREAM_WAIT_MILLISECONDS = 8_000;

/** Sends requests until it is stopped. */
export class Callers {
  readonly latencies = hdr.build({highestTrackableValue: 60_000});
  private isStopping = false;
  private attemptCount = 0;
  private readonly issuedKeys = new Set<string>();
  /** When connections were opened. */
  private readonly connectedAt = new WeakMap<net.Socket, number>();

  constructor(
    private readonly target: deployment.Deployment,
    private readonly history: requestHistory.RequestHistory,
    private readonly random: random.Random,
  ) {}

  /** Runs `count` callers; resolves when all have stopped. */
  async run(count: number): Promise<void> {
    await Promise.all(Array.from({length: count}, () => this.runOne()));
  }

  stop(): void {
    this.isStopping = true;
  }

  private async runOne(): Promise<void> {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    while (!this.isStopping) {
      const kind = this.random.pick(REQUEST_MIX);
      const pieces = this.random.integer(
        1,
        kind === RequestKind.Tag ? 60 : 120,
      );
      let broken = await this.send(agent, kind, pieces, undefined);
      while (broken !== undefined && this.random.chance(RESUME_SHARE)) {
        broken = await this.send(agent, kind, pieces, broken);
      }
      // A flood comes without pauses.
      const isFlood = this.target.floodingKey !== undefined;
      await timers.setTimeout(
        isFlood ? 0 : this.random.integer(0, MAX_THINK_MILLISECONDS),
      );
    }
    agent.destroy();
  }

  private pickKey(): string {
    this.target.keys.forEach(key => this.issuedKeys.add(key));
    const {floodingKey} = this.target;
    if (floodingKey !== undefined && this.random.chance(FLOOD_SHARE)) {
      return floodingKey;
    }
    const keys = this.random.chance(REVOKED_KEY_SHARE)
      ? this.issuedKeys
      : this.target.keys;
    return this.random.pick([...keys]);
  }

  private pickBatch(
    kind: requestHistory.RequestKind,
  ): largeConfigurations.RouteBatch | undefined {
    return kind === RequestKind.Read && this.random.chance(BATCH_SHARE)
      ? largeConfigurations.pickBatch(this.target.batches, this.random)
      : undefined;
  }

  /** Sends one request to any gateway and records its answer, if one begins. Returns the stream that the caller may resume. */
  private async send(
    agent: http.Agent,
    kind: requestHistory.RequestKind,
    pieces: number,
    resumed: answers.ResumedStream | undefined,
  ): Promise<answers.ResumedStream | undefined> {
    const gateway = this.random.pick(this.target.gateways);
    const attempt = (++this.attemptCount).toString(16).padStart(16, '0');
    const key = this.pickKey();
    const isStream = kind === RequestKind.Draft || kind === RequestKind.Tag;
    const wait = isStream ? STREAM_WAIT_MILLISECONDS : PLAIN_WAIT_MILLISECONDS;
    const abortsAfter = this.random.chance(ABORT_SHARE)
      ? this.random.integer(1, 300)
      : wait + 1_000;
    this.history.recordSent(attempt, kind, key, gateway.name, resumed);
    const startedAt = performance.now();
    const batch = this.pickBatch(kind);
    const call: callRules.SentCall = {
      attempt,
      gateway: gateway.name,
      key,
      routes: batch?.name,
      at: startedAt,
      connectedAt: startedAt,
      allowedMilliseconds: wait,
    };
    const {calls} = this.history;
    calls.recordSent(call);
    const service = requestHistory.serviceOf(kind);
    this.history.budget.recordRequest(service, startedAt);
    await new Promise<void>(resolve => {
      const request = http.request(
        {
          host: gateway.address.split(':')[0],
          port: Number(gateway.address.split(':')[1]),
          path: batch?.pathOf(this.attemptCount) ?? `${PATHS[kind]}x`,
          method: kind === RequestKind.Read ? 'GET' : 'POST',
          agent,
          headers: {
            Host: deployment.HOST,
            Authorization: `Bearer ${key}`,
            'X-Rhubarbvane-Attempt-Id': attempt,
            'X-Rhubarbvane-Deadline-Ms': String(wait),
            'X-Rhubarbvane-Token-Count': `100,${pieces}`,
            ...resumeHeaders(resumed),
          },
        },
        response => {
          hasResponse = true;
          this.receive(attempt, response, resolve, startedAt);
        },
      );
      let hasResponse = false;
      const timer = setTimeout(() => {
        calls.recordCallerLeft(attempt);
        request.destroy();
      }, abortsAfter);
      request.once('socket', socket => {
        call.connectedAt = this.connectedAt.get(socket) ?? startedAt;
        this.connectedAt.set(socket, call.connectedAt);
      });
      request.once('error', () => {
        if (!hasResponse) {
          calls.recordEnd(attempt, {
            at: performance.now(),
            status: 0,
            isComplete: false,
            isFromReplica: false,
          });
        }
        resolve();
      });
      request.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      request.end(isStream ? String(pieces) : undefined);
    });
    return kind === RequestKind.Tag
      ? brokenStream(attempt, this.history.answerOf(attempt), resumed)
      : undefined;
  }

  private receive(
    attempt: string,
    response: http.IncomingMessage,
    resolve: () => void,
    startedAt: number,
  ): void {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', () => undefined);
    response.once('close', () => {
      const stamp = response.headers['x-rhubarbvane-server-stamp'];
      this.history.recordAnswer(attempt, {
        status: response.statusCode ?? 0,
        body: Buffer.concat(chunks).toString(),
        isComplete: response.complete,
        stamp: stamp === undefined ? undefined : String(stamp),
      });
      this.history.calls.recordEnd(attempt, {
        at: performance.now(),
        status: response.statusCode ?? 0,
        isComplete: response.complete,
        isFromReplica: stamp !== undefined,
      });
      this.latencies.recordValue(Math.round(performance.now() - startedAt));
      resolve();
    });
  }
}

function resumeHeaders(
  resumed: answers.ResumedStream | undefined,
): Record<string, string> {
  return resumed === undefined
    ? {}
    : {'Last-Event-Id': String(resumed.pieces), Resumes: resumed.attempt};
}

/** What the caller has of a stream that was broken off; undefined if it has nothing or all of it. */
function brokenStream(
  attempt: string,
  answer: answers.ReceivedAnswer | undefined,
  resumed: answers.ResumedStream | undefined,
): answers.ResumedStream | undefined {
  if (answer === undefined || answer.isComplete || answer.status !== 200) {
    return undefined;
  }
  const pieces = (resumed?.pieces ?? 0) + answers.pieceCount(answer.body);
  const version = resumed?.version ?? answers.versionOf(answer.body);
  return pieces === 0 || version === undefined
    ? undefined
    : {attempt: resumed?.attempt ?? attempt, version, pieces};
}
