/** A caller that reads a stream of tokens. */
import * as http from 'node:http';
import * as eventsourceParser from 'eventsource-parser';
import * as rxjs from 'rxjs';
import * as httpClient from '../src/base/node/http_client';

/** Reads one stream and records what arrives. */
export class StreamReader {
  readonly texts: string[] = [];
  readonly eventIds: string[] = [];
  readonly arrivalTimes: number[] = [];
  /** Emits the number of tokens received so far. */
  readonly onDidReceive = new rxjs.Subject<number>();
  lastEventId = '';
  finishReason = '';
  errorCode = 0;
  isDone = false;
  status = 0;
  resultCode = 0;
  body = '';
  trace = '';
  private isPaused = false;
  private readonly resumed = new rxjs.Subject<void>();
  private response: http.IncomingMessage | undefined;

  /** Opens a stream, or resumes one after an event id; resolves when the headers have arrived. */
  async open(
    url: string,
    token: string,
    request: object,
    lastEventId = '',
  ): Promise<void> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      authorization: `Bearer ${token}`,
    };
    if (lastEventId !== '') {
      headers['last-event-id'] = lastEventId;
    }
    const response = await httpClient.openHttp({
      method: 'POST',
      url: `${url}/v1/completions`,
      headers,
      body: JSON.stringify({...request, stream: true}),
      timeoutMilliseconds: 60_000,
      agent: CALLER_AGENT,
    });
    this.response = response;
    this.status = response.statusCode ?? 0;
    this.resultCode = Number(response.headers['rhubarbvane-result'] ?? -1);
    this.trace = String(response.headers['rhubarbvane-trace'] ?? '');
  }

  /** Reads until the connection ends, whether or not the stream is complete. */
  async read(): Promise<void> {
    const parser = eventsourceParser.createParser({
      onEvent: event => this.onEvent(event),
    });
    const response = this.response!;
    response.setEncoding('utf8');
    try {
      for await (const chunk of response) {
        if (this.status !== 200) {
          this.body += chunk as string;
        }
        parser.feed(chunk as string);
        if (this.isPaused) {
          await rxjs.firstValueFrom(this.resumed);
        }
      }
    } catch {
      // isDone stays false when the connection breaks.
    }
  }

  /** Stops reading from the connection. */
  pause(): void {
    this.isPaused = true;
  }

  /** Continues to read from the connection. */
  resume(): void {
    this.isPaused = false;
    this.resumed.next();
  }

  /** Closes the connection. */
  disconnect(): void {
    this.response?.destroy();
  }

  /** Opens and reads a stream. */
  static async run(
    url: string,
    token: string,
    request: object,
  ): Promise<StreamReader> {
    const reader = new StreamReader();
    await reader.open(url, token, request);
    await reader.read();
    return reader;
  }

  private onEvent(event: eventsourceParser.EventSourceMessage): void {
    if (event.event === 'error') {
      const body = JSON.parse(event.data) as {error: {code: number}};
      this.errorCode = body.error.code;
      return;
    }
    if (event.data === '[DONE]') {
      this.isDone = true;
      return;
    }
    const chunk = JSON.parse(event.data) as {
      choices: [{text: string; finish_reason: string | null}];
    };
    this.lastEventId = event.id ?? '';
    if (chunk.choices[0].finish_reason !== null) {
      this.finishReason = chunk.choices[0].finish_reason;
      return;
    }
    this.texts.push(chunk.choices[0].text);
    this.eventIds.push(event.id ?? '');
    this.arrivalTimes.push(performance.now());
    this.onDidReceive.next(this.texts.length);
  }
}

const CALLER_AGENT = new http.Agent({keepAlive: true, maxSockets: Infinity});
