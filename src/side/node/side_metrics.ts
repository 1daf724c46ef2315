/** Prometheus metrics of a side process. */
import * as metrics from '../../base/node/metrics';

/** Counters and timings of the attempts at one engine. */
export class SideMetrics {
  readonly attempts;
  readonly tokens;
  readonly refusals;
  readonly cancellations;
  readonly waiting;
  readonly running;
  readonly waitSeconds;

  constructor(registry: metrics.MetricsRegistry) {
    this.attempts = registry.counter(
      'rhubarbvane_side_attempts_total',
      'Attempts accepted.',
    );
    this.tokens = registry.counter(
      'rhubarbvane_side_tokens_total',
      'Tokens received from the engine.',
    );
    this.refusals = registry.counter(
      'rhubarbvane_side_refusals_total',
      'Attempts refused by result code.',
      ['code'],
    );
    this.cancellations = registry.counter(
      'rhubarbvane_side_cancellations_total',
      'Attempts cancelled at the engine.',
    );
    this.waiting = registry.gauge(
      'rhubarbvane_side_waiting_attempts',
      'Attempts held for memory.',
    );
    this.running = registry.gauge(
      'rhubarbvane_side_running_attempts',
      'Attempts given to the engine.',
    );
    this.waitSeconds = registry.histogram(
      'rhubarbvane_side_wait_seconds',
      'Time that attempts were held before the engine got them.',
      [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300],
    );
  }
}
