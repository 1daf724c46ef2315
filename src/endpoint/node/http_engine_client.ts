/** HTTP client of an engine, with completions streamed as server-sent events. */
import * as http from 'node:http';
import * as eventsourceParser from 'eventsource-parser';
import * as rxjs from 'rxjs';
import * as clientAgent from '../../base/node/client_agent';
import * as httpClient from '../../base/node/http_client';
import * as sideCalls from '../../protocol/common/side_calls';
import * as engineClient from '../common/engine_client';

const CONNECT_TIMEOUT_MILLISECONDS = 3_000;
const CALL_TIMEOUT_MILLISECONDS = 2_000;
/** Time that the engine has to end a response after its last event, in milliseconds. */
const END_TIMEOUT_MILLISECONDS = 5_000;

interface CompletionChunk {
  readonly choices: readonly [
    {readonly text: string; readonly finish_reason: string | null},
  ];
}

/** Runs generations on an engine with a completions API. */
export class HttpEngineClient extends engineClient.EngineClient {
  private readonly agent = new clientAgent.ClientAgent({
    keepAlive: true,
    maxSockets: Infinity,
  });

  /** A stream without data for idleMilliseconds is treated as a lost connection. */
  constructor(
    private readonly url: string,
    private readonly idleMilliseconds: number,
  ) {
    super();
  }

  start(
    request: engineClient.EngineRequest,
  ): rxjs.Observable<engineClient.EngineEvent> {
    const body = JSON.stringify({
      model: request.model,
      prompt: request.prompt,
      max_tokens: request.maxTokens,
      priority: request.priority,
      request_id: request.run,
      stream: true,
    });
    return this.stream('POST', '/v1/completions', body);
  }

  resume(
    run: string,
    fromIndex: number,
  ): rxjs.Observable<engineClient.EngineEvent> {
    return this.stream(
      'GET',
      `/v1/completions/${run}/events?from=${fromIndex}`,
    );
  }

  async cancel(run: string): Promise<void> {
    await this.call('DELETE', `/v1/completions/${run}`);
  }

  async load(): Promise<engineClient.EngineLoad> {
    const response = await this.call('GET', '/load');
    return JSON.parse(
      response.body.toString('utf8'),
    ) as engineClient.EngineLoad;
  }

  async order(order: sideCalls.EngineOrder): Promise<boolean> {
    const response = await this.call('POST', '/orders', JSON.stringify(order));
    return response.status === 200;
  }

  private call(
    method: string,
    path: string,
    body?: string,
  ): Promise<httpClient.HttpResponse> {
    return httpClient.callHttp({
      method,
      url: this.url + path,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body ?? ''),
      },
      body,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      agent: this.agent,
    });
  }

  private stream(
    method: string,
    path: string,
    body?: string,
  ): rxjs.Observable<engineClient.EngineEvent> {
    return new rxjs.Observable(subscriber => {
      const reader = new StreamReader(subscriber, this.idleMilliseconds);
      httpClient
        .openHttp({
          method,
          url: this.url + path,
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body ?? ''),
          },
          body,
          timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
          agent: this.agent,
        })
        .then(
          response => reader.read(response),
          error =>
            reader.fail(
              engineClient.EngineErrorKind.ConnectionLost,
              String(error),
            ),
        );
      return () => reader.close();
    });
  }
}

/** Converts one event-stream response of the engine to engine events. */
class StreamReader {
  private response: http.IncomingMessage | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(
    private readonly subscriber: rxjs.Subscriber<engineClient.EngineEvent>,
    private readonly idleMilliseconds: number,
  ) {}

  read(response: http.IncomingMessage): void {
    this.response = response;
    if (this.isClosed) {
      response.destroy();
      return;
    }
    if (response.statusCode !== 200) {
      response.resume();
      const kind =
        response.statusCode === 404
          ? engineClient.EngineErrorKind.RunUnknown
          : engineClient.EngineErrorKind.Refused;
      return this.fail(
        kind,
        `the engine responded with status ${response.statusCode}`,
      );
    }
    const parser = eventsourceParser.createParser({
      onEvent: event => this.onEvent(event),
    });
    response.setEncoding('utf8');
    response.on('data', (chunk: string) => {
      this.restartIdleTimer();
      parser.feed(chunk);
    });
    response.once('close', () =>
      this.fail(
        engineClient.EngineErrorKind.ConnectionLost,
        'the stream closed before its last event',
      ),
    );
    response.once('error', error =>
      this.fail(engineClient.EngineErrorKind.ConnectionLost, String(error)),
    );
    this.restartIdleTimer();
  }

  fail(kind: engineClient.EngineErrorKind, message: string): void {
    if (this.isClosed) {
      return;
    }
    this.close();
    this.subscriber.error(new engineClient.EngineError(kind, message));
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.idleTimer);
    this.response?.destroy();
  }

  /** Lets the response end normally, so that its connection can be reused. */
  private detachResponse(): void {
    this.isClosed = true;
    clearTimeout(this.idleTimer);
    const response = this.response!;
    this.response = undefined;
    response.setTimeout(END_TIMEOUT_MILLISECONDS, () => response.destroy());
  }

  private restartIdleTimer(): void {
    if (this.idleTimer !== undefined) {
      this.idleTimer.refresh();
      return;
    }
    this.idleTimer = setTimeout(
      () =>
        this.fail(
          engineClient.EngineErrorKind.ConnectionLost,
          `no data for ${this.idleMilliseconds} ms`,
        ),
      this.idleMilliseconds,
    );
  }

  private onEvent(event: eventsourceParser.EventSourceMessage): void {
    if (this.isClosed || event.data === '[DONE]') {
      return;
    }
    const chunk = JSON.parse(event.data) as CompletionChunk;
    const choice = chunk.choices[0];
    const index = Number(event.id);
    if (choice.finish_reason === null) {
      this.subscriber.next({
        kind: engineClient.EngineEventKind.Token,
        index,
        text: choice.text,
      });
      return;
    }
    this.subscriber.next({
      kind: engineClient.EngineEventKind.Finished,
      index,
      text: '',
      finishReason: choice.finish_reason,
    });
    this.detachResponse();
    this.subscriber.complete();
  }
}
