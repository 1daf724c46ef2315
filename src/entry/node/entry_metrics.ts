/** Metrics of an entry. */
import * as metrics from '../../base/node/metrics';

const SECONDS_BUCKETS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2.5, 5, 10, 30, 60, 300,
];

/** Metrics of the traffic with callers, peers and the platform. */
export class EntryMetrics {
  readonly answers;
  readonly deliveredTokens;
  readonly retries;
  readonly running;
  readonly firstTokenSeconds;
  readonly interTokenSeconds;
  readonly storeCalls;
  readonly revision;
  readonly linkLosses;
  readonly slowReaderPauses;
  readonly clientLimits;

  constructor(registry: metrics.MetricsRegistry) {
    this.answers = registry.counter(
      'rhubarbvane_answers_total',
      'Answers to callers by result code and by whether the work ran.',
      ['code', 'work'],
    );
    this.deliveredTokens = registry.counter(
      'rhubarbvane_delivered_tokens_total',
      'Tokens delivered to callers.',
    );
    this.retries = registry.counter(
      'rhubarbvane_retries_total',
      'Further attempts of requests.',
    );
    this.running = registry.gauge(
      'rhubarbvane_running_requests',
      'Requests of callers that have no answer yet.',
    );
    this.firstTokenSeconds = registry.histogram(
      'rhubarbvane_first_token_seconds',
      'Time from a request to its first token.',
      SECONDS_BUCKETS,
      ['class'],
    );
    this.interTokenSeconds = registry.histogram(
      'rhubarbvane_between_tokens_seconds',
      'Time between deliveries of one stream.',
      [0.005, 0.01, 0.02, 0.029, 0.04, 0.06, 0.1, 0.25, 0.5, 1, 5],
      ['class'],
    );
    this.storeCalls = registry.counter(
      'rhubarbvane_store_calls_total',
      'Calls on the platform.',
      ['operation'],
    );
    this.revision = registry.gauge(
      'rhubarbvane_configuration_revision',
      'Revision of the configuration in force.',
    );
    this.linkLosses = registry.counter(
      'rhubarbvane_link_losses_total',
      'Links to side processes that were lost.',
    );
    this.clientLimits = registry.counter(
      'rhubarbvane_client_limits_total',
      'Requests refused and connections closed by limits on what callers make the entry hold, by limit.',
      ['limit'],
    );
    this.slowReaderPauses = registry.counter(
      'rhubarbvane_slow_reader_pauses_total',
      'Streams paused for slow readers.',
    );
  }
}
