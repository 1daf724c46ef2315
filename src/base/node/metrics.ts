/** Prometheus metrics of one process. */
import * as promClient from 'prom-client';

/** Creates and exposes the metrics of one process. */
export class MetricsRegistry {
  readonly registry = new promClient.Registry();

  constructor(defaultLabels: Record<string, string>) {
    this.registry.setDefaultLabels(defaultLabels);
    promClient.collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: 100,
    });
  }

  counter<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ): promClient.Counter<T> {
    return new promClient.Counter({
      name,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  gauge<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ): promClient.Gauge<T> {
    return new promClient.Gauge({
      name,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  histogram<T extends string>(
    name: string,
    help: string,
    buckets: number[],
    labelNames: readonly T[] = [],
  ): promClient.Histogram<T> {
    return new promClient.Histogram({
      name,
      help,
      buckets,
      labelNames,
      registers: [this.registry],
    });
  }

  /** Renders all metrics in the text format of Prometheus. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
