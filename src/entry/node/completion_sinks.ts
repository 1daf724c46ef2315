/** Writes the output of generations to callers. */
import * as http from 'node:http';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as generationMachine from '../../decision/common/generation_machine';
import * as entryMetrics from './entry_metrics';
import * as eventId from './event_id';
import * as generation from './generation';

/** Unsent bytes of one caller beyond which its generation is paused. */
const MAX_UNSENT_BYTES = 256 * 1024;

/** What a sink reports to its owner. */
export interface SinkOwner {
  /** The caller has its whole answer. */
  readonly onDidComplete: (target: generationMachine.AttemptTarget) => void;
  readonly onDidAnswer: (
    code: resultCode.ResultCode,
    work: resultCode.WorkState,
  ) => void;
}

/** Measures the times that callers see. */
class DeliveryTimer {
  private readonly first;
  private readonly between;
  private readonly startedAt = performance.now();
  private lastAt = 0;

  constructor(metrics: entryMetrics.EntryMetrics, requestClass: string) {
    const labels = {class: requestClass};
    this.first = metrics.firstTokenSeconds.labels(labels);
    this.between = metrics.betweenTokensSeconds.labels(labels);
  }

  note(): void {
    const now = performance.now();
    const isFirst = this.lastAt === 0;
    const histogram = isFirst ? this.first : this.between;
    const since = isFirst ? this.startedAt : this.lastAt;
    histogram.observe((now - since) / 1000);
    this.lastAt = now;
  }
}

/** Streams tokens as server-sent events as they come. */
export class StreamSink extends generation.GenerationSink {
  private readonly timer: DeliveryTimer;
  private prefix = '';
  private middle = '';

  constructor(
    private readonly response: http.ServerResponse,
    private readonly model: string,
    requestClass: string,
    metrics: entryMetrics.EntryMetrics,
    private readonly owner: SinkOwner,
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
    this.open(target);
    this.timer.note();
    let events = '';
    for (let offset = 0; offset < texts.length; offset++) {
      events += `${this.prefix}${index + offset}${this.middle}${JSON.stringify(texts[offset])},"logprobs":null,"finish_reason":null}]}\n\n`;
    }
    this.response.write(events);
  }

  finish(
    target: generationMachine.AttemptTarget,
    finishReason: string,
    length: number,
  ): void {
    this.open(target);
    const end = `"","logprobs":null,"finish_reason":${JSON.stringify(finishReason)}}]}\n\n`;
    this.response.end(
      `${this.prefix}${length}${this.middle}${end}data: [DONE]\n\n`,
      () => this.owner.onDidComplete(target),
    );
    this.owner.onDidAnswer(resultCode.ResultCode.Ok, resultCode.WorkState.Ran);
  }

  fail(cause: failure.Failure): void {
    this.owner.onDidAnswer(cause.code, cause.workState);
    if (!this.response.headersSent) {
      return httpServer.sendFailure(this.response, cause);
    }
    this.response.end(
      `event: error\ndata: ${JSON.stringify(httpServer.failureBody(cause))}\n\n`,
    );
  }

  private open(target: generationMachine.AttemptTarget): void {
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
    this.prefix = `id: ${eventId.eventIdPrefix(target)}`;
    this.middle = `\ndata: ${JSON.stringify(head).slice(0, -1)},"choices":[{"index":0,"text":`;
    this.response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
      'Rhubarbvane-Result': String(resultCode.ResultCode.Ok),
    });
  }
}

/** Collects the output and answers once. */
export class WholeSink extends generation.GenerationSink {
  private texts: string[] = [];
  readonly isSlow = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly model: string,
    private readonly promptTokens: number,
    private readonly owner: SinkOwner,
  ) {
    super();
  }

  deliver(
    _: generationMachine.AttemptTarget,
    index: number,
    texts: readonly string[],
  ): void {
    if (index === 0) {
      // A fresh run starts from nothing.
      this.texts = [];
    }
    this.texts.push(...texts);
  }

  finish(
    target: generationMachine.AttemptTarget,
    finishReason: string,
    length: number,
  ): void {
    // An empty output has no delivery that would clear that of an earlier run.
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
    this.response.once('finish', () => this.owner.onDidComplete(target));
    this.owner.onDidAnswer(resultCode.ResultCode.Ok, resultCode.WorkState.Ran);
    httpServer.sendJson(this.response, 200, body, {
      'Rhubarbvane-Result': String(resultCode.ResultCode.Ok),
    });
  }

  fail(cause: failure.Failure): void {
    this.owner.onDidAnswer(cause.code, cause.workState);
    httpServer.sendFailure(this.response, cause);
  }
}
