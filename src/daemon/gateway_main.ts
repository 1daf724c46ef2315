#!/usr/bin/env node
/** The gateway program. Usage: gateway [settings file]. */
import * as jsonLog from '../base/node/json_log';
import * as metrics from '../base/node/metrics';
import * as resultCode from '../base/common/result_code';
import * as gatewayMetrics from '../gateway/node/gateway_metrics';
import * as gatewayProcess from '../gateway/node/gateway_process';
import * as gatewaySettings from '../gateway/node/gateway_settings';
import * as platformAdapter from '../platform/platform_adapter';

async function run(): Promise<number> {
  const path = process.argv[2] ?? platformAdapter.settingsPath();
  const settings = gatewaySettings.readGatewaySettings(path);
  if (settings.isErr()) {
    process.stderr.write(`gateway: ${settings.error.message}\n`);
    return settings.error.code;
  }
  const {instance, platform} = settings.value;
  const log = new jsonLog.JsonLog({instance: instance.name});
  const registry = new metrics.MetricsRegistry({instance: instance.name});
  const meters = new gatewayMetrics.GatewayMetrics(registry);
  const gateway = new gatewayProcess.GatewayProcess({
    settings: settings.value,
    registry,
    metrics: meters,
    log,
    source: platformAdapter.createStateSource(platform.store, operation =>
      meters.storeCalls.inc({operation}),
    ),
    client: platformAdapter.createInstanceClient(() =>
      meters.connections.inc(),
    ),
    decoder: platformAdapter.createCallerDecoder(),
  });
  process.on('SIGHUP', () => gateway.noteReload());
  process.on('uncaughtException', error => {
    log.write('uncaught-error', {error: String(error.stack)}, true);
  });
  process.on('unhandledRejection', reason => {
    const detail = reason instanceof Error ? reason.stack : reason;
    log.write('unhandled-rejection', {error: String(detail)}, true);
  });
  const asked = new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  try {
    await gateway.start();
  } catch (error) {
    process.stderr.write(`gateway: listen.callers: ${String(error)}\n`);
    return resultCode.ResultCode.AddressInUse;
  }
  await asked;
  await gateway.leave();
  log.end();
  return resultCode.ResultCode.Ok;
}

void run().then(code => process.exit(code));
