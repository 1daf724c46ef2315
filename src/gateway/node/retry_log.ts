/** Logs the repeated sends of this gateway, and what is left of its share of the retry budget. */
import * as disposable from '../../base/common/disposable';
import * as repeatEvent from '../common/repeat_event';
import * as gatewayServices from './gateway_services';

/** Interval of the lines, in milliseconds; a fraction of the usual window of the budget. */
const USAGE_INTERVAL_MILLISECONDS = 1_000;

const {RepeatEvent} = repeatEvent;

/** Writes a line for each endpoint with repeated sends. */
export class RetryLog implements disposable.Disposable {
  private readonly timer: disposable.Disposable;

  constructor(
    private readonly services: Pick<
      gatewayServices.GatewayServices,
      'log' | 'retries' | 'retryUsage'
    >,
  ) {
    this.timer = disposable.every(USAGE_INTERVAL_MILLISECONDS, () =>
      this.logUsage(),
    );
  }

  dispose(): void {
    this.timer.dispose();
  }

  private logUsage(): void {
    const {log, retries, retryUsage: usage} = this.services;
    const now = performance.now();
    const gateways = retries.gatewayCount(now);
    for (const [endpoint, counts] of usage.take()) {
      log.write('retry-usage', {
        endpoint,
        interval_ms: USAGE_INTERVAL_MILLISECONDS,
        charged: counts[RepeatEvent.Charged],
        denied: counts[RepeatEvent.Denied],
        sent: counts[RepeatEvent.Sent],
        continued: counts[RepeatEvent.Continued],
        continuations_rejected: counts[RepeatEvent.ContinuationRejected],
        left: retries.left(endpoint, now),
        gateways: Number.isFinite(gateways) ? gateways : null,
      });
    }
  }
}
