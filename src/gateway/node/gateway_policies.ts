/** Creates the policies that the settings of a gateway call for. */
import * as deliveryBuffers from '../common/delivery_buffers';
import * as budgetGateways from '../common/fleet/budget_gateways';
import * as directMembers from '../common/fleet/direct_members';
import * as memberTable from '../common/fleet/member_table';
import * as hedgePolicy from '../common/hedging/hedge_policy';
import * as retryLimiter from '../common/retry_limiter';
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
