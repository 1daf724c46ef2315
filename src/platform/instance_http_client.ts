/** HTTP client of the replicas: sends callers' requests, and calls that control running generations. */
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as boundedBody from '../base/node/bounded_body';
import * as clientAgent from '../base/node/client_agent';
import * as finalAnswer from '../base/node/final_answer';
import * as responseGuard from '../base/node/response_guard';
import * as instanceClient from '../gateway/common/instance_client';
import * as instanceTable from '../gateway/common/instance_table';
import * as fieldReader from './field_reader';
import * as httpExchange from './http_exchange';
import * as instanceAgent from './instance_agent';
import * as instanceConnections from './instance_connections';
import * as objectCodec from './object_codec';
import * as requestCodec from './request_codec';
import * as wireNames from './wire_names';

const {Headers, Paths} = wireNames;
const {CopyError} = instanceClient;

/** Usual timeout for reading a report or freeing a copy, in milliseconds. */
const CONTROL_TIMEOUT_MILLISECONDS = 300;
/** Maximum size of the answer to a call of the system's own, in bytes; a report lists some hundred runs. */
const MAX_JSON_BYTES = 1_048_576;

/** Sends over node:http with pooled connections. */
export class InstanceHttpClient extends instanceClient.InstanceClient {
  private readonly agent: instanceAgent.InstanceAgent;
  private readonly connections: instanceConnections.InstanceConnections;
  /**
   * Makes a connection for each request. For requests whose answer could not be
   * distinguished from a late copy of an earlier answer on the same connection:
   * an attempt that is sent again, and calls without an id, as the system's own.
   */
  private readonly singleUseAgent = new clientAgent.ClientAgent({
    noDelay: true,
  });

  /**
   * @param controlTimeoutMilliseconds Timeout for reading a report or freeing a copy.
   * @param bounds Beyond them, requests of callers are not sent.
   */
  constructor(
    private readonly onDidConnect: () => void = () => undefined,
    private readonly controlTimeoutMilliseconds = CONTROL_TIMEOUT_MILLISECONDS,
    bounds: instanceConnections.InstanceConnectionBounds = instanceConnections.UNBOUNDED,
  ) {
    super();
    this.agent = new instanceAgent.InstanceAgent(bounds.maxIdle);
    this.connections = new instanceConnections.InstanceConnections(bounds);
  }

  send(
    instance: instanceTable.Instance,
    request: instanceClient.InstanceRequest,
  ): instanceClient.Exchange {
    const {attemptId} = request.caller;
    const exchange = new httpExchange.HttpExchange(attemptId);
    const isAmbiguous = request.isSentAgain || attemptId === undefined;
    if (!this.connections.tryOpen(request.customer, exchange.closed)) {
      exchange.withdraw();
      return exchange;
    }
    const {hostname, port} = splitAddress(instance.record.address);
    exchange.start(
      {
        hostname,
        port,
        method: request.caller.method,
        path: request.caller.target,
        headers: requestCodec.encodeHeaders(instance.record.id, request),
        agent: isAmbiguous ? this.singleUseAgent : this.agent,
      },
      request.body,
      this.onDidConnect,
    );
    return exchange;
  }

  async copyRun(
    source: instanceTable.Instance,
    request: instanceClient.CopyRequest,
  ): Promise<
    neverthrow.Result<instanceClient.RunCopy, instanceClient.CopyFailure>
  > {
    const body = JSON.stringify({
      id: request.attemptId,
      target: request.target.record.address,
      last: request.isFinal,
    });
    const answer = await this.callJson(
      source,
      'POST',
      Paths.moveRun,
      body,
      request.timeoutMilliseconds,
    );
    // Some instances name the run in the answer.
    const isForOtherRun =
      typeof answer === 'object' &&
      answer.attemptIds.some(id => id !== request.attemptId);
    return decodeCopy(
      isForOtherRun ? NoAnswer.Unusable : answer,
      request.isFinal,
    );
  }

  dropCopy(source: instanceTable.Instance, handle: string): void {
    const path = Paths.copies + encodeURIComponent(handle);
    // If this call is lost, the copy expires at the replica.
    void this.callJson(
      source,
      'DELETE',
      path,
      '',
      this.controlTimeoutMilliseconds,
    );
  }

  async readReport(
    instance: instanceTable.Instance,
    timeoutMilliseconds = this.controlTimeoutMilliseconds,
  ): Promise<instanceClient.InstanceReport | undefined> {
    const answer = await this.callJson(
      instance,
      'GET',
      Paths.report,
      '',
      timeoutMilliseconds,
    );
    if (typeof answer !== 'object' || answer.status !== 200) {
      return undefined;
    }
    const {fields} = answer;
    if (fields === undefined) {
      return undefined;
    }
    const runs = decodeRuns(fields.runs);
    // Excludes cached parts of prompts, which are evicted to make room for runs.
    const memoryTokens = fieldReader.number(fields.kvInUse);
    return {
      eventsByRun: new Map(runs.map(run => [run.attemptId, run.eventCount])),
      queuedRuns: fieldReader.number(fields.queued),
      memoryTokens,
      unlistedMemoryTokens: Math.max(
        0,
        runs.reduce((rest, run) => rest - run.memoryTokens, memoryTokens),
      ),
      freeMemoryTokens:
        fieldReader.number(fields.kvSize, Infinity) - memoryTokens,
      startedAt: fieldReader.number(fields.born),
      isLeaving:
        fields.state === 'draining' || Number.isFinite(fields.leaves_ms),
    };
  }

  /** Closes all connections. */
  dispose(): void {
    this.agent.destroy();
    this.singleUseAgent.destroy();
  }

  private callJson(
    instance: instanceTable.Instance,
    method: string,
    path: string,
    body: string,
    timeoutMilliseconds: number,
  ): Promise<JsonAnswer | NoAnswer> {
    const {hostname, port} = splitAddress(instance.record.address);
    const headers: http.OutgoingHttpHeaders = {
      [Headers.expectedInstance]: instance.record.id,
    };
    if (body.length > 0) {
      headers['content-type'] = 'application/json';
      headers['content-length'] = Buffer.byteLength(body);
    }
    const agent = this.singleUseAgent;
    let request: http.ClientRequest;
    try {
      request = http.request({hostname, port, method, path, headers, agent});
    } catch {
      // node:http throws on ports and headers that it cannot use.
      return Promise.resolve(NoAnswer.Unusable);
    }
    const timer = setTimeout(() => request.destroy(), timeoutMilliseconds);
    const connectTimer = setTimeout(
      () => request.destroy(new ConnectTimeoutError()),
      httpExchange.CONNECT_TIMEOUT_MILLISECONDS,
    );
    request.once('socket', socket =>
      socket.once('connect', () => {
        clearTimeout(connectTimer);
        this.onDidConnect();
      }),
    );
    request.once('close', () => {
      clearTimeout(timer);
      clearTimeout(connectTimer);
    });
    request.end(body);
    return readJson(request);
  }
}

/** Resolves with the whole answer, or with the reason why there is none. */
function readJson(request: http.ClientRequest): Promise<JsonAnswer | NoAnswer> {
  responseGuard.guard(request);
  return new Promise(resolve => {
    // The request is reported as closed before the body of its response has ended.
    let hasResponse = false;
    request.once('response', response => {
      hasResponse = true;
      const status = response.statusCode ?? 0;
      const {headersDistinct} = response;
      const attemptIds = headersDistinct[Headers.attemptId] ?? [];
      const isNotExecuted = headersDistinct[Headers.notRun] !== undefined;
      void boundedBody
        .collect(response, MAX_JSON_BYTES)
        .then(body =>
          resolve(
            body === undefined || !finalAnswer.isFinalAnswer(response)
              ? NoAnswer.Unusable
              : {status, attemptIds, isNotExecuted, fields: parseFields(body)},
          ),
        );
    });
    const fail = (error?: NodeJS.ErrnoException) => {
      if (!hasResponse) {
        resolve(reasonOf(error));
      }
    };
    request.once('error', fail);
    request.once('close', () => fail());
  });
}

/** Why a call has no answer. */
enum NoAnswer {
  /** Nothing listens at the address. */
  Refused = 'refused',
  /** Nothing answered the attempts to connect. */
  NotConnected = 'not-connected',
  /** Any other reason: the call may have arrived, or the instance takes no more connections. */
  Unusable = 'unusable',
}

/** Ends a request whose connection is not made in time. */
class ConnectTimeoutError extends Error {
  readonly code = 'ETIMEDOUT';
}

function reasonOf(error: NodeJS.ErrnoException | undefined): NoAnswer {
  switch (error?.code) {
    case 'ECONNREFUSED':
      return NoAnswer.Refused;
    case 'ETIMEDOUT':
    case 'EHOSTUNREACH':
    case 'ENETUNREACH':
      return NoAnswer.NotConnected;
    default:
      return NoAnswer.Unusable;
  }
}

function noAnswerErrorOf(reason: NoAnswer): instanceClient.CopyError {
  switch (reason) {
    case NoAnswer.Refused:
      return CopyError.Refused;
    case NoAnswer.NotConnected:
      return CopyError.Unreachable;
    case NoAnswer.Unusable:
      return CopyError.NoAnswer;
  }
}

interface JsonAnswer {
  readonly status: number;
  /** Attempts that the answer names. */
  readonly attemptIds: readonly string[];
  /** Whether the answer states that the call was not executed. */
  readonly isNotExecuted: boolean;
  /** Undefined if the body is not a whole JSON object. */
  readonly fields: fieldReader.Fields | undefined;
}

function parseFields(bytes: Buffer): fieldReader.Fields | undefined {
  // The caller decides by the status what a missing body means.
  const value = objectCodec.parseJson(bytes.toString('utf8'));
  return fieldReader.isFields(value) ? value : undefined;
}

interface ReportedRun {
  readonly attemptId: string;
  readonly memoryTokens: number;
  readonly eventCount: number;
}

/** Runs are listed as [id, tokens in memory, events made, priority]; other entries are left out. */
function decodeRuns(value: unknown): ReportedRun[] {
  const runs: ReportedRun[] = [];
  for (const entry of fieldReader.list(value)) {
    const [id, tokens, eventCount] = fieldReader.list(entry);
    const attemptId = fieldReader.text(id);
    if (attemptId !== undefined && Number.isFinite(eventCount)) {
      const memoryTokens = fieldReader.number(tokens);
      runs.push({attemptId, memoryTokens, eventCount: Number(eventCount)});
    }
  }
  return runs;
}

/** @param isFinal Whether the run was to be stopped; only then does a source that found no room keep its memory. */
function decodeCopy(
  answer: JsonAnswer | NoAnswer,
  isFinal: boolean,
): neverthrow.Result<instanceClient.RunCopy, instanceClient.CopyFailure> {
  if (typeof answer !== 'object') {
    const error = noAnswerErrorOf(answer);
    return neverthrow.err({error, handle: undefined});
  }
  const {fields, status} = answer;
  const handle = decodeHandle(fields?.kvHandle);
  const isCopied = status === 200 && !answer.isNotExecuted;
  if (isCopied && handle !== undefined) {
    return neverthrow.ok({
      handle,
      // Number of events generated so far, not a time of creation.
      eventCount: fieldReader.number(fields?.created),
    });
  }
  const error = copyErrorOf(status);
  const isMemoryKept = isFinal && error === CopyError.NoRoom;
  return neverthrow.err({error, handle: isMemoryKept ? handle : undefined});
}

function decodeHandle(value: unknown): string | undefined {
  return Number.isFinite(value) ? String(value) : fieldReader.text(value);
}

function copyErrorOf(status: number): instanceClient.CopyError {
  switch (status) {
    case 421:
      return CopyError.OtherInstance;
    case 404:
      return CopyError.NoSuchRun;
    case 409:
      return CopyError.Busy;
    case 503:
      return CopyError.NoRoom;
    default:
      return CopyError.NoAnswer;
  }
}

function splitAddress(address: string): {hostname: string; port: number} {
  const separator = address.lastIndexOf(':');
  return {
    hostname: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
