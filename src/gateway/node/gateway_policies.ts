/** Creates the policies that the settings of a gateway call for. */
import * as memoryAccount from '../../base/common/memory_account';
import * as blockPool from '../../base/node/block_pool';
import * as bodyStore from '../../base/node/body_store';
import * as jsonLog from '../../base/node/json_log';
import * as limitReporter from '../../base/node/limit_reporter';
import * as deliveryBuffers from '../common/delivery_buffers';
import * as budgetGateways from '../common/fleet/budget_gateways';
import * as directMembers from '../common/fleet/direct_members';
import * as memberTable from '../common/fleet/member_table';
import * as hedgePolicy from '../common/hedging/hedge_policy';
import * as machineShares from '../common/machine_shares';
import * as retryLimiter from '../common/retry_limiter';
import * as gatewayMetrics from './gateway_metrics';
import * as gatewaySettings from './gateway_settings';

/** Limits the retries of this gateway to its share of the budget. */
export function createRetryLimiter(
  settings: gatewaySettings.GatewaySettings,
  members: memberTable.MemberTable,
  peers: directMembers.DirectMembers,
): retryLimiter.RetryLimiter {
  const hasSeeds = gatewaySettings.seedIps(settings).length > 0;
  const gateways = new budgetGateways.BudgetGateways(members, peers, hasSeeds);
  return new retryLimiter.RetryLimiter(
    gatewaySettings.retryPolicy(settings),
    {
      startedAt: performance.now(),
      isFirstStart: settings.instance.bootstrap,
    },
    now => gateways.count(now),
  );
}

/** Returns undefined if calls are not hedged. */
export function createHedgePolicy(
  settings: gatewaySettings.GatewaySettings,
): hedgePolicy.HedgePolicy | undefined {
  const maxShare = settings.hedging?.max_share ?? 0;
  return maxShare > 0 ? new hedgePolicy.HedgePolicy(maxShare) : undefined;
}

/** Returns undefined if the answers of instances are paused for callers who read slowly. */
export function createDeliveryBuffers(
  settings: gatewaySettings.GatewaySettings,
): deliveryBuffers.DeliveryBuffers | undefined {
  const memoryMegabytes = settings.limits?.memory_megabytes ?? 0;
  return memoryMegabytes > 0
    ? new deliveryBuffers.DeliveryBuffers(memoryMegabytes)
    : undefined;
}

/** Divides the machine that the settings describe. */
export function divideMachine(
  settings: gatewaySettings.GatewaySettings,
): machineShares.MachineShares {
  return machineShares.divide(machineOf(settings));
}

/** The machine that the settings describe. */
export function machineOf(
  settings: gatewaySettings.GatewaySettings,
): machineShares.Machine {
  return {
    memoryMegabytes: settings.limits?.memory_megabytes ?? 0,
    descriptors: settings.limits?.max_descriptors ?? 0,
  };
}

/** Counts and logs the limits on what those who connect make a gateway hold. */
export function createLimitReporter(
  metrics: gatewayMetrics.GatewayMetrics,
  log: jsonLog.JsonLog,
): limitReporter.LimitReporter {
  return new limitReporter.LimitReporter(
    limit => metrics.clientLimits.inc({limit}),
    (limit, occurrences) =>
      log.write(
        'client-limit',
        limitReporter.describeOccurrences(limit, occurrences),
        true,
      ),
  );
}

/** Creates the store of request bodies. */
export function createBodyStore(
  shares: machineShares.MachineShares,
  pool: blockPool.BlockPool,
  limits: limitReporter.LimitReporter,
): bodyStore.BodyStore {
  return new bodyStore.BodyStore(
    new memoryAccount.MemoryAccount(bodyStore.boundsFor(shares.bodyBytes)),
    pool,
    group => limits.record(limitReporter.ClientLimit.Bodies, group),
  );
}
