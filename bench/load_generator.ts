/** Sends streaming requests at a constant rate and measures the latencies that callers see. */
import * as http from 'node:http';
import * as hdr from 'hdr-histogram-js';
import * as httpClient from '../src/base/node/http_client';

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Load to send, and the URLs to send it to. */
export interface LoadOptions {
  readonly urls: readonly string[];
  readonly token: string;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly tokensPerRequest: number;
  readonly promptTokens: number;
  readonly model: string;
}

/** Measurements of the callers; times in milliseconds. */
export interface LoadReport {
  readonly requests: number;
  readonly failed: number;
  readonly tokens: number;
  readonly tokensPerSecond: number;
  readonly betweenTokensP50: number;
  readonly betweenTokensP95: number;
  readonly betweenTokensP99: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  /** Tokens that were missing, repeated or out of order. */
  readonly misplaced: number;
}

/** Counts tokens in a stream without building objects, so that the generator is not the bottleneck. */
class StreamMeter {
  private buffered = '';
  private lastAt = 0;
  private expectedIndex = 0;
  private run = '';
  misplaced = 0;
  tokens = 0;

  constructor(
    private readonly startedAt: number,
    private readonly between: hdr.Histogram,
    private readonly first: hdr.Histogram,
  ) {}

  push(chunk: string): void {
    const events = (this.buffered + chunk).split('\n\n');
    this.buffered = events.pop()!;
    const now = performance.now();
    for (const event of events) {
      const match = /"text":" ([0-9a-f]+)-(\d+)"/.exec(event);
      if (match !== null) {
        this.recordToken(match[1], Number(match[2]), now);
      }
    }
  }

  private recordToken(run: string, index: number, now: number): void {
    this.run ||= run;
    if (index !== this.expectedIndex || run !== this.run) {
      this.misplaced++;
    }
    this.expectedIndex = index + 1;
    this.tokens++;
    const since = this.lastAt === 0 ? this.startedAt : this.lastAt;
    const histogram = this.lastAt === 0 ? this.first : this.between;
    histogram.recordValue(
      Math.round((now - since) * MICROSECONDS_PER_MILLISECOND),
    );
    this.lastAt = now;
  }
}

function sendOne(
  options: LoadOptions,
  agent: http.Agent,
  sequence: number,
  meter: StreamMeter,
): Promise<boolean> {
  const prompt = `${'word'.repeat(options.promptTokens)} ${sequence} [length=${options.tokensPerRequest}]`;
  const body = {
    model: options.model,
    prompt,
    max_tokens: options.tokensPerRequest,
    stream: true,
    priority: 'draft',
  };
  // Engines that are called directly do not know the names of request classes.
  const isDirect = options.token === '';
  return httpClient
    .openHttp({
      method: 'POST',
      url: `${options.urls[sequence % options.urls.length]}/v1/completions`,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${options.token}`,
      },
      body: JSON.stringify(isDirect ? {...body, priority: 1} : body),
      timeoutMilliseconds: 30_000,
      agent,
    })
    .then(
      response =>
        new Promise<boolean>(resolve => {
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => meter.push(chunk));
          response.once('error', () => resolve(false));
          response.once('close', () =>
            resolve(
              response.statusCode === 200 &&
                meter.tokens === options.tokensPerRequest,
            ),
          );
        }),
      () => false,
    );
}

/** Runs the load and waits until every stream has ended. */
export async function generateLoad(options: LoadOptions): Promise<LoadReport> {
  const agent = new http.Agent({keepAlive: true, maxSockets: Infinity});
  const between = hdr.build({highestTrackableValue: 60_000_000});
  const first = hdr.build({highestTrackableValue: 60_000_000});
  const meters: StreamMeter[] = [];
  const pending: Promise<boolean>[] = [];
  const startedAt = performance.now();
  const total = Math.round(options.requestsPerSecond * options.seconds);
  for (let sequence = 0; sequence < total; sequence++) {
    const dueAt = startedAt + (sequence * 1000) / options.requestsPerSecond;
    const wait = dueAt - performance.now();
    if (wait > 0) {
      await new Promise(resolve => setTimeout(resolve, wait));
    }
    const meter = new StreamMeter(performance.now(), between, first);
    meters.push(meter);
    pending.push(sendOne(options, agent, sequence, meter));
  }
  const outcomes = await Promise.all(pending);
  const elapsedSeconds = (performance.now() - startedAt) / 1000;
  agent.destroy();
  const tokens = meters.reduce((sum, meter) => sum + meter.tokens, 0);
  const milliseconds = (histogram: hdr.Histogram, percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    requests: total,
    failed: outcomes.filter(isComplete => !isComplete).length,
    tokens,
    tokensPerSecond: Math.round(tokens / elapsedSeconds),
    betweenTokensP50: milliseconds(between, 50),
    betweenTokensP95: milliseconds(between, 95),
    betweenTokensP99: milliseconds(between, 99),
    firstTokenP50: milliseconds(first, 50),
    firstTokenP95: milliseconds(first, 95),
    misplaced: meters.reduce((sum, meter) => sum + meter.misplaced, 0),
  };
}
