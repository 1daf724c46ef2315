/** One request to a replica over node:http, and its answer. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as neverthrow from 'neverthrow';
import * as finalAnswer from '../base/node/final_answer';
import * as responseGuard from '../base/node/response_guard';
import * as instanceClient from '../gateway/common/instance_client';
import * as answerCodec from './answer_codec';
import * as callerCodec from './caller_codec';
import * as socketReset from './socket_reset';
import * as wireNames from './wire_names';

const {Headers} = wireNames;
const {SendError} = instanceClient;

/** Timeout for making a connection, in milliseconds; replicas accept within a few milliseconds. */
export const CONNECT_TIMEOUT_MILLISECONDS = 400;
const NO_HEADERS: ReadonlySet<string> = new Set();
/** Status of an instance that is not the intended one, which does not run the request. */
const MISDIRECTED = 421;
/** Statuses of refusals; with others an instance answers that ran the request, whatever else it states. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  400,
  MISDIRECTED,
  429,
  503,
]);
/** Statuses by which callers are promised that their request did not run. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([
  408,
  MISDIRECTED,
  429,
  503,
]);

type SendResult = neverthrow.Result<
  instanceClient.InstanceResponse,
  instanceClient.SendError
>;

/** One request and its answer. */
export class HttpExchange implements instanceClient.Exchange {
  readonly response: Promise<SendResult>;
  readonly closed: Promise<void>;
  private onDidClose!: () => void;
  private settle!: (result: SendResult) => void;
  private request: http.ClientRequest | undefined;
  private isConnected = false;
  private isCancelled = false;
  private hasSocketFailed = false;

  constructor(private readonly attemptId: string | undefined) {
    this.response = new Promise(resolve => (this.settle = resolve));
    this.closed = new Promise(resolve => (this.onDidClose = resolve));
  }

  /** Ends the exchange without a send, for lack of room for another connection. */
  withdraw(): void {
    this.settle(neverthrow.err(SendError.Withdrawn));
    this.onDidClose();
  }

  start(
    options: http.RequestOptions,
    body: readonly Buffer[],
    onDidConnect: () => void,
  ): void {
    try {
      this.request = http.request(options);
    } catch {
      // node:http throws on targets and headers that it cannot write.
      return this.withdraw();
    }
    const {request} = this;
    responseGuard.guard(request);
    request.once('socket', socket => this.attachSocket(socket, onDidConnect));
    request.once('response', response => this.handleResponse(response));
    request.once('error', () => this.fail());
    request.once('close', () => {
      this.fail();
      this.onDidClose();
    });
    body.slice(0, -1).forEach(chunk => request.write(chunk));
    request.end(body.at(-1));
  }

  cancel(): void {
    this.isCancelled = true;
    this.request?.destroy();
    this.fail();
  }

  private attachSocket(socket: net.Socket, onDidConnect: () => void): void {
    const onError = () => (this.hasSocketFailed = true);
    const onEnd = () => {
      this.hasSocketFailed ||= socketReset.wasReset(socket);
    };
    // Called before node:http's own listeners, which take a reset for the end of a body without length.
    socket.prependListener('error', onError);
    socket.prependListener('end', onEnd);
    this.request!.once('close', () => {
      socket.off('error', onError);
      socket.off('end', onEnd);
    });
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    const timer = setTimeout(
      () => this.request?.destroy(),
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    socket.once('connect', () => {
      clearTimeout(timer);
      this.isConnected = true;
      onDidConnect();
    });
    socket.once('close', () => clearTimeout(timer));
  }

  private handleResponse(response: http.IncomingMessage): void {
    const answer = decodeAnswer(response, () => this.hasSocketFailed);
    const {reusedSocket} = this.request!;
    if (!isValidAnswer(response, this.attemptId, reusedSocket, answer)) {
      this.settle(neverthrow.err(SendError.WrongAnswer));
      this.request!.destroy();
      return;
    }
    this.settle(neverthrow.ok(answer));
  }

  private fail(): void {
    if (!this.isConnected) {
      return this.settle(
        neverthrow.err(
          this.isCancelled ? SendError.Withdrawn : SendError.NeverSent,
        ),
      );
    }
    this.settle(
      neverthrow.err(
        this.isCancelled ? SendError.Cancelled : SendError.ConnectionLost,
      ),
    );
  }
}

function decodeAnswer(
  response: http.IncomingMessage,
  hasSocketFailed: () => boolean,
): instanceClient.InstanceResponse {
  const status = response.statusCode ?? 0;
  const isFromOtherInstance = status === MISDIRECTED;
  const hasStatement = response.headers[Headers.notRun] !== undefined;
  return {
    status,
    isNotExecuted:
      isFromOtherInstance || (hasStatement && REFUSAL_STATUSES.has(status)),
    promisesNotRun: PROMISE_STATUSES.has(status),
    isFromOtherInstance,
    hasServerStamp: response.headers[Headers.stamp] !== undefined,
    ...answerCodec.decodeStatements(response.headers),
    passedHeaders: callerCodec.forwardableHeaders(response, NO_HEADERS),
    body: new HttpBody(response, hasSocketFailed),
  };
}

/** Whether the answer is one in the protocol, belongs to this request and is in the form that replicas use. */
function isValidAnswer(
  response: http.IncomingMessage,
  attemptId: string | undefined,
  isOnUsedConnection: boolean,
  answer: instanceClient.InstanceResponse,
): boolean {
  if (!finalAnswer.isFinalAnswer(response)) {
    return false;
  }
  const echoed = response.headers[Headers.attemptId];
  if (echoed !== attemptId) {
    // An instance may refuse without an id. On a connection that was used
    // before, that may answer an earlier request, while this one runs.
    const isAnonymousRefusal = echoed === undefined && answer.isNotExecuted;
    if (!isAnonymousRefusal || isOnUsedConnection) {
      return false;
    }
  }
  const isSuccess = answer.status >= 200 && answer.status < 300;
  const isEncoded = response.headers['content-encoding'] !== undefined;
  return !isEncoded && (!isSuccess || answer.hasServerStamp);
}

/** Whether chunks are the last transfer coding; after any other the body ends with its connection (RFC 9112, section 6.3). */
function isChunked(response: http.IncomingMessage): boolean {
  const codings = response.headers['transfer-encoding'] ?? '';
  return /(?:^|,)\s*chunked\s*$/i.test(codings);
}

class HttpBody implements instanceClient.ResponseBody {
  readonly isDelimited: boolean;
  /** Why the body ended, also if it is complete; undefined before. */
  private endReason: string | undefined;
  private listener: instanceClient.BodyListener | undefined;

  constructor(
    private readonly response: http.IncomingMessage,
    private readonly hasSocketFailed: () => boolean,
  ) {
    this.isDelimited =
      response.headers['content-length'] !== undefined || isChunked(response);
    response.once('error', error => this.fail(String(error.message)));
    response.once('close', () => this.fail('closed'));
  }

  listen(listener: instanceClient.BodyListener): void {
    this.listener = listener;
    if (this.endReason !== undefined) {
      listener.onDidFail(this.endReason);
      return;
    }
    this.response.on('data', (chunk: Buffer) => listener.onData(chunk));
    this.response.once('end', () => this.end());
  }

  pause(): void {
    this.response.pause();
  }

  resume(): void {
    this.response.resume();
  }

  private end(): void {
    const isReset = !this.isDelimited && this.hasSocketFailed();
    if (!this.response.complete || isReset) {
      return this.fail('ended early');
    }
    if (this.endReason === undefined) {
      this.endReason = 'ended';
      this.listener?.onDidEnd();
    }
  }

  private fail(reason: string): void {
    if (this.endReason === undefined) {
      this.endReason = reason;
      this.listener?.onDidFail(reason);
    }
  }
}
