/** Writes the output of generations to callers. */
import * as http from 'node:http';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as refusal from '../../base/node/refusal';
import * as generationMachine from '../../decision/common/generation_machine';
import * as entryMetrics from './entry_metrics';
import * as eventId from './event_id';
import * as generation from './generation';

/** Unsent bytes of one response beyond which its generation is paused. */
const MAX_UNSENT_BYTES = 256 * 1024;

/** Receives the events of a sink. */
export interface SinkListener {
  /** The whole answer was handed to the connection. */
  readonly onDidComplete: (target: generationMachine.AttemptTarget) => void;
  readonly onDidAnswer: (
    code: resultCode.ResultCode,
    work: resultCode.WorkState,
  ) => void;
}

/** Measures the token latencies that callers see. */
class DeliveryTimer {
  private readonly firstToken;
  private readonly interToken;
  private readonly startedAt = performance.now();
  private lastAt = 0;

  constructor(metrics: entryMetrics.EntryMetrics, requestClass: string) {
    const labels = {class: requestClass};
    this.firstToken = metrics.firstTokenSeconds.labels(labels);
    this.interToken = metrics.interTokenSeconds.labels(labels);
  }

  recordDelivery(): void {
    const now = performance.now();
    const isFirst = this.lastAt === 0;
    const histogram = isFirst ? this.firstToken : this.interToken;
    const since = isFirst ? this.startedAt : this.lastAt;
    histogram.observe((now - since) / 1000);
    this.lastAt = now;
  }
}

/** Streams tokens as server-sent events as they arrive. */
export class StreamSink extends generation.GenerationSink {
  private readonly timer: DeliveryTimer;
  private idPrefix = '';
  private dataPrefix = '';

  constructor(
    private readonly response: http.ServerResponse,
    private readonly model: string,
    requestClass: string,
    metrics: entryMetrics.EntryMetrics,
    private readonly listener: SinkListener,
  ) {
    super();
    this.timer = new DeliveryTimer(metrics, requestClass);
  }

  get isSlow(): boolean {
    return this.response.writableLength > MAX_UNSENT_BYTES;
  }

  deliver(
    target: generationMachine.AttemptTarget,
    index: number,
    texts: readonly string[],
  ): void {
    this.writeHead(target);
    this.timer.recordDelivery();
    let events = '';
    for (let offset = 0; offset < texts.length; offset++) {
      events += `${this.idPrefix}${index + offset}${this.dataPrefix}${JSON.stringify(texts[offset])},"logprobs":null,"finish_reason":null}]}\n\n`;
    }
    this.response.write(events);
  }

  finish(
    target: generationMachine.AttemptTarget,
    finishReason: string,
    length: number,
  ): void {
    this.writeHead(target);
    const end = `"","logprobs":null,"finish_reason":${JSON.stringify(finishReason)}}]}\n\n`;
    this.response.end(
      `${this.idPrefix}${length}${this.dataPrefix}${end}data: [DONE]\n\n`,
      () => this.listener.onDidComplete(target),
    );
    this.listener.onDidAnswer(
      resultCode.ResultCode.Ok,
      resultCode.WorkState.Ran,
    );
  }

  fail(cause: failure.Failure): void {
    this.listener.onDidAnswer(cause.code, cause.workState);
    if (!this.response.headersSent) {
      return httpServer.sendFailure(this.response, cause);
    }
    this.response.end(
      `event: error\ndata: ${JSON.stringify(refusal.failureBody(cause))}\n\n`,
    );
  }

  private writeHead(target: generationMachine.AttemptTarget): void {
    if (this.response.headersSent) {
      return;
    }
    const created = Math.floor(Date.now() / 1000);
    const head = {
      id: `cmpl-${target.attempt}`,
      object: 'text_completion',
      created,
      model: this.model,
    };
    this.idPrefix = `id: ${eventId.eventIdPrefix(target)}`;
    this.dataPrefix = `\ndata: ${JSON.stringify(head).slice(0, -1)},"choices":[{"index":0,"text":`;
    this.response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
      'Rhubarbvane-Result': String(resultCode.ResultCode.Ok),
    });
  }
}

/** Buffers the output and sends it as one answer. */
export class BufferedSink extends generation.GenerationSink {
  private texts: string[] = [];
  readonly isSlow = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly model: string,
    private readonly promptTokens: number,
    private readonly listener: SinkListener,
  ) {
    super();
  }

  deliver(
    _: generationMachine.AttemptTarget,
    index: number,
    texts: readonly string[],
  ): void {
    if (index === 0) {
      // A new run discards the output of an earlier one.
      this.texts = [];
    }
    this.texts.push(...texts);
  }

  finish(
    target: generationMachine.AttemptTarget,
    finishReason: string,
    length: number,
  ): void {
    // An empty output has no delivery that would discard the output of an earlier run.
    const text = this.texts.slice(0, length).join('');
    const body = {
      id: `cmpl-${target.attempt}`,
      object: 'text_completion',
      created: Math.floor(Date.now() / 1000),
      model: this.model,
      choices: [{index: 0, text, logprobs: null, finish_reason: finishReason}],
      usage: {
        prompt_tokens: this.promptTokens,
        completion_tokens: length,
        total_tokens: this.promptTokens + length,
      },
    };
    this.response.once('finish', () => this.listener.onDidComplete(target));
    this.listener.onDidAnswer(
      resultCode.ResultCode.Ok,
      resultCode.WorkState.Ran,
    );
    httpServer.sendJson(this.response, 200, body, {
      'Rhubarbvane-Result': String(resultCode.ResultCode.Ok),
    });
  }

  fail(cause: failure.Failure): void {
    this.listener.onDidAnswer(cause.code, cause.workState);
    httpServer.sendFailure(this.response, cause);
  }
}
