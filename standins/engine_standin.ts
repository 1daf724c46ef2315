/**
 * Stand-in of a model engine. The prompt may contain directives for tests:
 * [length=N] sets the output length, [crash=N] crashes the engine after N
 * tokens, and [crash] at the first one.
 */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as httpServer from '../src/base/node/http_server';
import * as generationRequest from '../src/protocol/common/generation_request';
import * as engineModel from './engine_model';
import * as standinServer from './standin_server';

const IDLE_POLL_MILLISECONDS = 2;
const MAX_RUNS = 2_000;
const MAX_CATCH_UP_MILLISECONDS = 200;

interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly request_id?: string;
  readonly stream?: boolean;
}

interface Run {
  readonly id: string;
  readonly model: string;
  readonly promptSha256: string;
  /** Random prefix of the run's tokens, which tells runs apart. */
  readonly tag: string;
  readonly maxTokens: number;
  /** Index of the token at which the engine crashes; Infinity for never. */
  readonly crashAt: number;
  readonly listeners: Set<http.ServerResponse>;
  sequence: engineModel.Sequence;
  isFinished: boolean;
  isCancelled: boolean;
}

interface Order {
  readonly fencingNumber: number;
  readonly subject: string;
}

interface LoadSample {
  readonly at: number;
  readonly body: object;
}

/** Behaviour of the stand-in. */
export interface EngineOptions {
  readonly parameters: engineModel.EngineParameters;
  /** Age of the published load, in milliseconds. */
  readonly loadLagMilliseconds: number;
  /** Fraction of cache events that are lost. */
  readonly cacheEventLoss: number;
  readonly enforcesFencing: boolean;
  /** Factor by which the engine runs faster than real time. */
  readonly speed: number;
  /** Crashes the engine; the stand-in program exits. */
  readonly crash: () => void;
}

/** Serves an engine model over HTTP. */
export class EngineStandin {
  readonly server = new httpServer.HttpServer();
  private readonly model: engineModel.EngineModel;
  private readonly runs = new Map<string, Run>();
  private readonly loadSamples: LoadSample[] = [];
  private readonly orders: Order[] = [];
  private readonly incarnation = crypto.randomUUID();
  private highestFencingNumber = 0;
  private timer: NodeJS.Timeout | undefined;
  private nextStepAt = performance.now();
  private isFrozen = false;
  private isCrashing = false;

  constructor(private readonly options: EngineOptions) {
    this.model = new engineModel.EngineModel(options.parameters);
    this.server.mount('/v1/completions', (request, response) =>
      this.onCompletions(request, response),
    );
    this.server.mount('/load', (_, response) =>
      httpServer.sendJson(response, 200, this.publishedLoad()),
    );
    this.server.mount('/orders', (request, response) =>
      this.onOrder(request, response),
    );
    this.server.mount('/runs', (_, response) =>
      httpServer.sendJson(response, 200, this.runsReport()),
    );
    this.server.mount('/healthz', (_, response) =>
      httpServer.sendJson(response, 200, {}),
    );
    this.server.mount('/fault', (request, response) =>
      this.onFault(request, response),
    );
    this.schedule(IDLE_POLL_MILLISECONDS);
  }

  dispose(): void {
    clearTimeout(this.timer);
    this.server.dispose();
  }

  /** All runs with their state, the orders received and the number of preemptions. */
  runsReport(): object {
    const runs = [...this.runs.values()].map(run => ({
      run: run.id,
      model: run.model,
      prompt_sha256: run.promptSha256,
      tag: run.tag,
      generated: run.sequence.generated,
      finished: run.isFinished,
      cancelled: run.isCancelled,
    }));
    return {runs, orders: this.orders, preemptions: this.model.preemptionCount};
  }

  private schedule(milliseconds: number): void {
    this.timer = setTimeout(() => this.onStep(), milliseconds);
  }

  private onStep(): void {
    if (this.isFrozen) {
      return this.schedule(IDLE_POLL_MILLISECONDS);
    }
    const now = performance.now();
    this.nextStepAt = Math.max(
      this.nextStepAt,
      now - MAX_CATCH_UP_MILLISECONDS,
    );
    do {
      this.nextStepAt += this.runStep() / this.options.speed;
    } while (this.nextStepAt <= now && !this.isCrashing);
    if (this.isCrashing) {
      return;
    }
    this.sampleLoad();
    this.schedule(Math.max(0, this.nextStepAt - performance.now()));
  }

  /** Runs one step and returns its duration, in milliseconds of model time. */
  private runStep(): number {
    const result = this.model.step();
    result.produced.forEach(sequence =>
      this.publishToken(this.runs.get(sequence.run)!),
    );
    result.finished.forEach(sequence =>
      this.publishEnd(this.runs.get(sequence.run)!),
    );
    return result.milliseconds || IDLE_POLL_MILLISECONDS * this.options.speed;
  }

  private publishToken(run: Run): void {
    const index = run.sequence.generated - 1;
    if (index >= run.crashAt) {
      return void this.crash();
    }
    const event = tokenEvent(run, index);
    run.listeners.forEach(listener => listener.write(event));
  }

  /** Crashes once all bytes of earlier tokens were handed to their connections; no further step runs. */
  private async crash(): Promise<void> {
    if (this.isCrashing) {
      return;
    }
    this.isCrashing = true;
    const listeners = [...this.runs.values()].flatMap(run => [
      ...run.listeners,
    ]);
    await Promise.all(listeners.map(untilFlushed));
    this.options.crash();
  }

  private publishEnd(run: Run): void {
    run.isFinished = true;
    run.listeners.forEach(listener => listener.end(endEvent(run)));
    run.listeners.clear();
  }

  private async onCompletions(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const resume = /^\/v1\/completions\/([^/]+)\/events\?from=(\d+)$/.exec(
      request.url!,
    );
    if (resume !== null) {
      return this.streamEvents(
        response,
        this.runs.get(resume[1]),
        Number(resume[2]),
      );
    }
    if (request.method === 'DELETE') {
      return this.cancel(request.url!.split('/').pop()!, response);
    }
    const body = await standinServer.readBodyJson<CompletionBody>(request);
    const id = body.request_id ?? crypto.randomUUID();
    const existing = this.runs.get(id);
    const run = existing ?? this.start(id, body);
    if (body.stream === true) {
      return this.streamEvents(response, run, 0);
    }
    httpServer.sendJson(response, 400, {error: 'only streams are served'});
  }

  private start(id: string, body: CompletionBody): Run {
    const maxTokens = body.max_tokens ?? 16;
    const crash = /\[crash(?:=(\d+))?\]/.exec(body.prompt);
    const sequence = this.model.add({
      run: id,
      promptTokens: generationRequest.estimateTokens(body.prompt),
      pageHashes: pageHashes(body.prompt, this.options.parameters.pageTokens),
      outputTokens: Math.min(maxTokens, outputLengthFor(body.prompt)),
      priority: body.priority ?? 0,
    });
    const run: Run = {
      id,
      model: body.model,
      promptSha256: crypto
        .createHash('sha256')
        .update(body.prompt)
        .digest('hex'),
      tag: crypto.randomBytes(3).toString('hex'),
      maxTokens,
      crashAt: crash === null ? Infinity : Number(crash[1] ?? 0),
      listeners: new Set(),
      sequence,
      isFinished: false,
      isCancelled: false,
    };
    this.runs.set(id, run);
    this.discardOldRun();
    return run;
  }

  private discardOldRun(): void {
    if (this.runs.size <= MAX_RUNS) {
      return;
    }
    for (const [id, run] of this.runs) {
      if (run.isFinished || run.isCancelled) {
        this.runs.delete(id);
        return;
      }
    }
  }

  private streamEvents(
    response: http.ServerResponse,
    run: Run | undefined,
    from: number,
  ): void {
    if (run === undefined || run.isCancelled) {
      return httpServer.sendJson(response, 404, {error: 'unknown run'});
    }
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    response.flushHeaders();
    for (let index = from; index < run.sequence.generated; index++) {
      response.write(tokenEvent(run, index));
    }
    if (run.isFinished) {
      response.end(endEvent(run));
      return;
    }
    run.listeners.add(response);
    response.once('close', () => run.listeners.delete(response));
  }

  private cancel(id: string, response: http.ServerResponse): void {
    const run = this.runs.get(id);
    if (run !== undefined && !run.isFinished) {
      this.model.remove(id);
      run.isCancelled = true;
      run.listeners.forEach(listener => listener.destroy());
    }
    httpServer.sendJson(response, 200, {});
  }

  private sampleLoad(): void {
    const at = performance.now();
    const last = this.loadSamples[this.loadSamples.length - 1];
    if (last !== undefined && at - last.at < 50) {
      return;
    }
    const cachedPrefixes = this.model
      .cachedPrefixes()
      .filter(() => Math.random() >= this.options.cacheEventLoss);
    const body = {
      engineIncarnation: this.incarnation,
      capacityTokens: this.options.parameters.capacityTokens,
      usedTokens: this.model.usedTokens,
      running: this.model.running.length,
      waiting: this.model.waiting.length,
      preemptions: this.model.preemptionCount,
      cachedPrefixes: cachedPrefixes.slice(-64),
      loaded: this.orders.map(order => order.subject),
    };
    this.loadSamples.push({at, body});
    while (
      this.loadSamples.length > 1 &&
      this.loadSamples[1].at < at - this.options.loadLagMilliseconds
    ) {
      this.loadSamples.shift();
    }
  }

  private publishedLoad(): object {
    this.sampleLoad();
    return this.loadSamples[0].body;
  }

  private async onOrder(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const order = await standinServer.readBodyJson<Order>(request);
    if (
      this.options.enforcesFencing &&
      order.fencingNumber < this.highestFencingNumber
    ) {
      return httpServer.sendJson(response, 409, {
        error: 'old fencing number',
      });
    }
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      order.fencingNumber,
    );
    this.orders.push(order);
    httpServer.sendJson(response, 200, {});
  }

  private async onFault(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const fault = await standinServer.readBodyJson<{
      frozen?: boolean;
      silence?: boolean;
    }>(request);
    this.isFrozen = fault.frozen ?? this.isFrozen;
    if (fault.silence === true) {
      this.runs.forEach(run => run.listeners.clear());
    }
    httpServer.sendJson(response, 200, {});
  }
}

/** Resolves when everything written so far was handed to the connection, or the connection is closed. */
async function untilFlushed(response: http.ServerResponse): Promise<void> {
  while (response.writableLength > 0 && !response.destroyed) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

function tokenEvent(run: Run, index: number): string {
  const choice = {
    index: 0,
    text: ` ${run.tag}-${index}`,
    logprobs: null,
    finish_reason: null,
  };
  return `id: ${index}\ndata: ${JSON.stringify({id: run.id, object: 'text_completion', model: run.model, choices: [choice]})}\n\n`;
}

function endEvent(run: Run): string {
  const length = run.sequence.generated;
  const reason = length >= run.maxTokens ? 'length' : 'stop';
  const choice = {index: 0, text: '', logprobs: null, finish_reason: reason};
  return `id: ${length}\ndata: ${JSON.stringify({id: run.id, object: 'text_completion', model: run.model, choices: [choice]})}\n\ndata: [DONE]\n\n`;
}

function outputLengthFor(prompt: string): number {
  const directive = /\[length=(\d+)\]/.exec(prompt);
  if (directive !== null) {
    return Number(directive[1]);
  }
  const digest = crypto.createHash('sha256').update(prompt).digest();
  const uniform = (digest.readUInt32LE(0) + 1) / 2 ** 32;
  return Math.max(1, Math.floor(20 / Math.sqrt(uniform)));
}

/** Hashes of the full pages of a prompt; each also covers all pages before it. */
function pageHashes(prompt: string, pageTokens: number): string[] {
  const pageCharacters = pageTokens * 4;
  const hashes: string[] = [];
  const digest = crypto.createHash('sha1');
  for (let end = pageCharacters; end <= prompt.length; end += pageCharacters) {
    digest.update(prompt.slice(end - pageCharacters, end));
    hashes.push(digest.copy().digest('hex').slice(0, 12));
  }
  return hashes;
}
