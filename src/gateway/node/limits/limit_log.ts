/** Logs the limits that instances name, and how many requests this gateway sends to such instances. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as instanceLimits from '../../common/limits/instance_limits';
import * as limitedSend from '../../common/limits/limited_send';
import * as usageCounts from '../../common/usage_counts';

/** Interval of the lines about requests sent, in milliseconds. */
const USAGE_INTERVAL_MILLISECONDS = 4_000;

/** Writes the log of limits. */
export class LimitLog implements disposable.Disposable {
  private readonly subscription: rxjs.Subscription;
  private readonly timer: disposable.Disposable;

  constructor(
    private readonly limits: instanceLimits.InstanceLimits,
    private readonly usage: usageCounts.UsageCounts<limitedSend.LimitedSend>,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.subscription = limits.onDidChange.subscribe(change =>
      log.write('instance-limit-changed', {
        instance: change.life,
        requests_per_second: change.requestsPerSecond ?? null,
        previous: change.previous ?? null,
      }),
    );
    this.timer = disposable.every(USAGE_INTERVAL_MILLISECONDS, () =>
      this.logUsage(),
    );
  }

  dispose(): void {
    this.subscription.unsubscribe();
    this.timer.dispose();
  }

  private logUsage(): void {
    for (const [life, counts] of this.usage.take()) {
      this.log.write('limited-instance-usage', {
        instance: life,
        requests_per_second: this.limits.get(life) ?? null,
        interval_ms: USAGE_INTERVAL_MILLISECONDS,
        ...counts,
      });
    }
  }
}
