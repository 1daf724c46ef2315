#!/usr/bin/env node
/** The gateway program. */
import * as v8 from 'node:v8';
import * as clipanion from 'clipanion';
import * as failure from '../base/common/failure';
import * as jsonLog from '../base/node/json_log';
import * as metrics from '../base/node/metrics';
import * as resultCode from '../base/common/result_code';
import * as limitReporter from '../base/node/limit_reporter';
import * as configurationSize from '../gateway/common/configuration_size';
import * as gatewayMetrics from '../gateway/node/gateway_metrics';
import * as gatewayPolicies from '../gateway/node/gateway_policies';
import * as gatewayProcess from '../gateway/node/gateway_process';
import * as gatewaySettings from '../gateway/node/gateway_settings';
import * as platformAdapter from '../platform/platform_adapter';

/** Runs a gateway until SIGTERM or SIGINT. */
class RunCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default];
  static override usage = clipanion.Command.Usage({
    description: 'Run a gateway',
    details:
      'On SIGTERM the gateway reports not ready, refuses new generations, finishes what it can within the grace time and exits with 0. SIGHUP reloads the settings.',
    examples: [['Run a gateway', 'rhubarbvane-gateway --config gateway.ini']],
  });

  config = clipanion.Option.String('--config', {
    description:
      'Settings file in INI format; by default the one that the platform names',
  });
  check = clipanion.Option.Boolean('--check', false, {
    description: 'Check the settings and exit',
  });

  async execute(): Promise<number> {
    const path = this.config ?? platformAdapter.settingsPath();
    const settings = gatewaySettings.readGatewaySettings(path);
    if (settings.isErr()) {
      return this.reportFailure(settings.error);
    }
    return this.check
      ? resultCode.ResultCode.Ok
      : this.run(path, settings.value);
  }

  private async run(
    path: string,
    settings: gatewaySettings.GatewaySettings,
  ): Promise<number> {
    const log = new jsonLog.JsonLog({gateway: settings.instance.name});
    const gateway = createGateway(settings, log);
    logUncaught(log);
    process.on('SIGHUP', () => reload(path, gateway, log));
    const stopRequested = new Promise<void>(resolve => {
      // Further signals have no effect: by default each would end the process with its open calls.
      process.on('SIGTERM', () => resolve());
      process.on('SIGINT', () => resolve());
    });
    try {
      await gateway.start();
    } catch (error) {
      const code = resultCode.ResultCode.AddressInUse;
      const message = `${path}: section [listen], key callers: ${String(error)}`;
      return this.reportFailure(failure.notRun(code, message));
    }
    await stopRequested;
    await gateway.shutDown();
    log.end();
    return resultCode.ResultCode.Ok;
  }

  private reportFailure(cause: failure.Failure): number {
    this.context.stderr.write(`rhubarbvane-gateway: ${cause.message}\n`);
    return cause.code;
  }
}

function createGateway(
  settings: gatewaySettings.GatewaySettings,
  log: jsonLog.JsonLog,
): gatewayProcess.GatewayProcess {
  const {instance, platform} = settings;
  const registry = new metrics.MetricsRegistry({instance: instance.name});
  const meters = new gatewayMetrics.GatewayMetrics(registry);
  const limits = gatewayPolicies.createLimitReporter(meters, log);
  const shares = gatewayPolicies.divideMachine(settings);
  const maxConfigurationBytes = configurationSize.maxBytes(
    v8.getHeapStatistics().heap_size_limit,
  );
  const onDidCallStore = (operation: string) =>
    meters.storeCalls.inc({operation});
  return new gatewayProcess.GatewayProcess({
    settings,
    registry,
    metrics: meters,
    log,
    source: platformAdapter.createStateSource(platform.store, onDidCallStore, {
      maxConfigurationBytes,
      onDidRefuseConfiguration: () => {
        meters.refusedConfigurations.inc();
        log.write(
          'configuration-too-large',
          {max_bytes: Math.round(maxConfigurationBytes)},
          true,
        );
      },
    }),
    versionStore: platformAdapter.createVersionStore(
      platform.store,
      onDidCallStore,
    ),
    client: platformAdapter.createInstanceClient(
      () => meters.connections.inc(),
      {
        maxOpen: shares.instanceConnections,
        maxIdle: shares.idleInstanceConnections,
        onDidRefuse: (customer = '') =>
          limits.record(
            limitReporter.ClientLimit.InstanceConnections,
            customer,
          ),
      },
    ),
    decoder: platformAdapter.createCallerDecoder(),
    limits,
  });
}

function reload(
  path: string,
  gateway: gatewayProcess.GatewayProcess,
  log: jsonLog.JsonLog,
): void {
  const settings = gatewaySettings.readGatewaySettings(path);
  if (settings.isErr()) {
    log.write('reload-refused', {reason: settings.error.message}, true);
    return;
  }
  gateway.reload(settings.value);
}

function logUncaught(log: jsonLog.JsonLog): void {
  process.on('uncaughtException', error => {
    log.write('uncaught-error', {error: String(error.stack)}, true);
  });
  process.on('unhandledRejection', reason => {
    const detail = reason instanceof Error ? reason.stack : reason;
    log.write('unhandled-rejection', {error: String(detail)}, true);
  });
}

const cli = new clipanion.Cli({
  binaryLabel: 'rhubarbvane-gateway',
  binaryName: 'rhubarbvane-gateway',
});
cli.register(RunCommand);
cli.register(clipanion.Builtins.HelpCommand);
void cli.run(process.argv.slice(2)).then(code => process.exit(code));
