/** Exports finished spans to an OpenTelemetry collector. */
import * as api from '@opentelemetry/api';
import * as otlp from '@opentelemetry/exporter-trace-otlp-http';
import * as trace from '@opentelemetry/sdk-trace-node';
import * as tracing from './tracing';

/** Batches spans and sends them to a collector over HTTP. */
export class OtlpSpanExporter extends tracing.SpanExporter {
  private readonly processor: trace.BatchSpanProcessor;
  private readonly provider: trace.NodeTracerProvider;

  constructor(collectorUrl: string, instance: string) {
    super();
    this.processor = new trace.BatchSpanProcessor(
      new otlp.OTLPTraceExporter({url: collectorUrl}),
    );
    this.provider = new trace.NodeTracerProvider({
      spanProcessors: [this.processor],
    });
    this.instance = instance;
  }

  private readonly instance: string;

  export(span: tracing.SpanRecord): void {
    const template = this.provider
      .getTracer('rhubarbvane')
      .startSpan(span.name, {
        startTime: span.startMilliseconds,
        attributes: {...span.attributes, 'service.instance.id': this.instance},
      }) as unknown as trace.ReadableSpan;
    const end = span.startMilliseconds + span.durationMilliseconds;
    this.processor.onEnd(withIdentity(template, span, end));
  }
}

/** Replaces the identifiers that the library generates with the recorded ones. */
function withIdentity(
  template: trace.ReadableSpan,
  span: tracing.SpanRecord,
  end: number,
): trace.ReadableSpan {
  const traceFlags = api.TraceFlags.SAMPLED;
  const identity = {
    spanContext: () => ({
      traceId: span.traceId,
      spanId: span.spanId,
      traceFlags,
    }),
    parentSpanContext: span.parentSpanId
      ? {traceId: span.traceId, spanId: span.parentSpanId, traceFlags}
      : undefined,
    endTime: [Math.floor(end / 1000), Math.round((end % 1000) * 1e6)],
    duration: [
      Math.floor(span.durationMilliseconds / 1000),
      Math.round((span.durationMilliseconds % 1000) * 1e6),
    ],
    ended: true,
  };
  return Object.assign(Object.create(template) as trace.ReadableSpan, identity);
}
