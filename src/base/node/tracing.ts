/** Spans for each hop of a request, kept in memory and exported over OTLP when a collector is configured. */
import * as crypto from 'node:crypto';
import * as log from './log';

const MAX_KEPT_SPANS = 2_000;

/** Position of a request in a trace. */
export interface TraceContext {
  /** 32 hexadecimal digits. */
  readonly traceId: string;
  /** 16 hexadecimal digits. */
  readonly spanId: string;
}

/** A finished span. Attributes never contain a prompt. */
export interface SpanRecord {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
  readonly instance: string;
  readonly startMilliseconds: number;
  readonly durationMilliseconds: number;
  readonly attributes: Readonly<Record<string, string>>;
}

/** Receives finished spans for export. */
export abstract class SpanExporter {
  abstract export(span: SpanRecord): void;
}

/** Reads a W3C traceparent value, or starts a new trace. */
export function traceFromHeader(header: string | undefined): TraceContext {
  const match = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/.exec(
    header ?? '',
  );
  if (match === null || /^0+$/.test(match[1])) {
    return {traceId: crypto.randomBytes(16).toString('hex'), spanId: ''};
  }
  return {traceId: match[1], spanId: match[2]};
}

/** Formats a context as a W3C traceparent value. */
export function traceHeader(context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId || '0000000000000001'}-01`;
}

/** A span that has not ended. */
export class ActiveSpan {
  readonly context: TraceContext;
  private readonly startedAt = Date.now();
  private readonly startedMonotonic = performance.now();
  private hasEnded = false;

  constructor(
    private readonly tracer: Tracer,
    private readonly name: string,
    private readonly parent: TraceContext,
  ) {
    this.context = {
      traceId: parent.traceId,
      spanId: crypto.randomBytes(8).toString('hex'),
    };
  }

  /** Records the span; a second call has no effect. */
  end(attributes: Readonly<Record<string, string>> = {}): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.tracer.record({
      name: this.name,
      traceId: this.context.traceId,
      spanId: this.context.spanId,
      parentSpanId: this.parent.spanId,
      instance: this.tracer.instance,
      startMilliseconds: this.startedAt,
      durationMilliseconds: performance.now() - this.startedMonotonic,
      attributes,
    });
  }
}

/** Starts spans and keeps the most recent finished ones in memory. */
export class Tracer {
  private readonly spans: SpanRecord[] = [];
  private exporter: SpanExporter | undefined;

  constructor(readonly instance: string) {}

  /** Exports spans to a collector. The exporter is imported only here, since it costs memory. */
  async exportTo(collectorUrl: string): Promise<void> {
    const otlp = await import('./otlp_exporter.js');
    this.exporter = new otlp.OtlpSpanExporter(collectorUrl, this.instance);
    new log.Logger('tracing').info('exporting spans', {
      collector: collectorUrl,
    });
  }

  start(name: string, parent: TraceContext): ActiveSpan {
    return new ActiveSpan(this, name, parent);
  }

  record(span: SpanRecord): void {
    this.spans.push(span);
    if (this.spans.length > MAX_KEPT_SPANS) {
      this.spans.splice(0, MAX_KEPT_SPANS / 10);
    }
    this.exporter?.export(span);
  }

  /** Returns the kept spans of a trace. */
  spansOf(traceId: string): SpanRecord[] {
    return this.spans.filter(span => span.traceId === traceId);
  }
}
