/** Follows the registrations of cold instances, and logs which instances are cold. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as evacuatedDataCentres from '../../common/availability/evacuated_data_centres';
import * as instanceTable from '../../common/instance_table';
import * as warmUps from '../../common/limits/warm_ups';
import * as gatewayMetrics from '../gateway_metrics';
import * as stateFollower from '../state_follower';

/** Feeds a table of cold instances. */
export class ColdInstances implements disposable.Disposable {
  private readonly subscription = new rxjs.Subscription();

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly cold: warmUps.WarmUps,
    dataCentres: evacuatedDataCentres.EvacuatedDataCentres,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
    private readonly log: jsonLog.JsonLog,
  ) {
    this.subscription.add(
      follower.instances.onDidChangeWarmUp.subscribe(record =>
        cold.recordRegistration(
          instanceTable.lifeOf(record),
          record.warmUpMilliseconds,
          record.warmUpRevision ?? 0,
          performance.now(),
        ),
      ),
    );
    this.subscription.add(
      dataCentres.onDidChange.subscribe(({changes}) =>
        changes
          .filter(({isEvacuated}) => !isEvacuated)
          .forEach(({dataCentre}) => this.extendAll(dataCentre)),
      ),
    );
    this.subscription.add(
      follower.era.onDidChange.subscribe(() => cold.enterEra()),
    );
    this.subscription.add(
      cold.onDidChange.subscribe(change => this.report(change)),
    );
  }

  /** Requests a second that the instance takes while it is cold, 0 if there is no such limit; undefined if the incarnation is unknown. */
  rampOf(life: string): number | undefined {
    const id = life.slice(0, life.lastIndexOf('/'));
    const record = this.follower.instances.get(id)?.record;
    if (record === undefined || instanceTable.lifeOf(record) !== life) {
      return undefined;
    }
    const endpoint = this.follower.routes?.findEndpoint(record.endpoint);
    return endpoint?.rampRequestsPerSecond ?? 0;
  }

  dispose(): void {
    this.subscription.unsubscribe();
  }

  /** Regards the instances of a reopened data centre as cold for as long as their endpoint's instances are after a start. */
  private extendAll(dataCentre: string): void {
    for (const {record} of this.follower.instances.all()) {
      const endpoint = this.follower.routes?.findEndpoint(record.endpoint);
      const milliseconds = endpoint?.warmUpMilliseconds ?? 0;
      if (record.dataCentre === dataCentre && milliseconds > 0) {
        const life = instanceTable.lifeOf(record);
        this.cold.extend(life, milliseconds, performance.now());
      }
    }
  }

  private report({life, leftMilliseconds, origin}: warmUps.WarmUpChange): void {
    if (leftMilliseconds > 0) {
      this.metrics.instanceStates.inc({state: 'cold'});
    }
    this.log.write('instance-warm-up-changed', {
      instance: life,
      warm_in_ms: Math.round(leftMilliseconds),
      ramp_per_second: this.rampOf(life) ?? null,
      origin,
    });
  }
}
