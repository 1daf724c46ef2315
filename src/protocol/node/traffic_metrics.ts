/** Metrics of control traffic. */
import * as metrics from '../../base/node/metrics';
import * as peerTransport from './peer_transport';

/** Counts bytes of control messages in a Prometheus counter. */
export class TrafficMetrics extends peerTransport.TrafficCounter {
  private readonly counter;

  constructor(registry: metrics.MetricsRegistry) {
    super();
    this.counter = registry.counter(
      'rhubarbvane_control_bytes_total',
      'Bytes of messages between our processes by kind and direction.',
      ['kind', 'direction'],
    );
  }

  sent(kind: string, bytes: number): void {
    this.counter.inc({kind, direction: 'sent'}, bytes);
  }

  received(kind: string, bytes: number): void {
    this.counter.inc({kind, direction: 'received'}, bytes);
  }
}
