/** Creates the policies that the settings of a gateway call for. */
import * as deliveryBuffers from '../common/delivery_buffers';
import * as hedgePolicy from '../common/hedging/hedge_policy';
import * as retryLimiter from '../common/retry_limiter';
import * as gatewaySettings from './gateway_settings';

/** Limits the retries of this gateway to its share of the budget. */
export function createRetryLimiter(
  settings: gatewaySettings.GatewaySettings,
): retryLimiter.RetryLimiter {
  return new retryLimiter.RetryLimiter(gatewaySettings.retryPolicy(settings));
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
