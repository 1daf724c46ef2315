#!/usr/bin/env node
/** The daemon: runs as an entry or as a side process, depending on its settings. */
import * as clipanion from 'clipanion';
import * as neverthrow from 'neverthrow';
import * as failure from '../base/common/failure';
import * as resultCode from '../base/common/result_code';
import * as log from '../base/node/log';
import * as settingsFile from '../base/node/settings_file';
import * as version from '../base/node/version';
import * as daemonSettings from './daemon_settings';

/** The process of one role; `start` resolves with the address it listens on, `leave` when accepted work has finished. */
interface RoleProcess {
  start(): Promise<string>;
  leave(): Promise<void>;
}

function readToken(path: string): neverthrow.Result<string, failure.Failure> {
  return settingsFile.readTextFile(path).map(text => text.trim());
}

async function createEntry(
  file: daemonSettings.EntryFile,
): Promise<neverthrow.Result<RoleProcess, failure.Failure>> {
  const [entryProcess, entryMetrics, metrics, httpPlatform] = await Promise.all(
    [
      import('../entry/node/entry_process.js'),
      import('../entry/node/entry_metrics.js'),
      import('../base/node/metrics.js'),
      import('../storage/node/http_platform.js'),
    ],
  );
  return neverthrow.Result.combine([
    readToken(file.cluster.token_file),
    readToken(file.platform.token_file),
    readToken(file.operators.token_file),
  ]).map(([clusterToken, platformToken, operatorToken]) => {
    const registry = new metrics.MetricsRegistry({
      instance: file.instance.name,
    });
    const meters = new entryMetrics.EntryMetrics(registry);
    const onDidCall = (operation: string) => meters.storeCalls.inc({operation});
    const target = {url: file.platform.url, token: platformToken, onDidCall};
    return new entryProcess.EntryProcess({
      instance: file.instance,
      callers: file.callers,
      links: file.links,
      limits: file.limits,
      clusterToken,
      operatorToken,
      registry,
      metrics: meters,
      store: new httpPlatform.HttpObjectStore(target),
      instances: new httpPlatform.HttpInstanceList(target),
      weights: new httpPlatform.HttpWeightStore(target),
      traceCollector: file.observability.trace_collector,
    });
  });
}

async function createSide(
  file: daemonSettings.SideFile,
): Promise<neverthrow.Result<RoleProcess, failure.Failure>> {
  const [sideProcess, httpPlatform] = await Promise.all([
    import('../side/node/side_process.js'),
    import('../storage/node/http_platform.js'),
  ]);
  return neverthrow.Result.combine([
    readToken(file.cluster.token_file),
    readToken(file.platform.token_file),
  ]).map(
    ([clusterToken, platformToken]) =>
      new sideProcess.SideProcess({
        instance: file.instance,
        endpoint: file.endpoint,
        admission: file.admission,
        attempts: file.attempts,
        clusterToken,
        store: new httpPlatform.HttpObjectStore({
          url: file.platform.url,
          token: platformToken,
        }),
        traceCollector: file.observability.trace_collector,
      }),
  );
}

/** Runs the configured role until SIGTERM or SIGINT. */
class RunCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default];
  static override usage = clipanion.Command.Usage({
    description: 'Run an entry or a side process',
    details:
      'The settings file names the role. On SIGTERM or SIGINT the process refuses new work, finishes accepted work and exits with 0. Only SIGKILL interrupts work.',
    examples: [['Run an entry', 'rhubarbvaned --config entry.ini']],
  });

  config = clipanion.Option.String('--config', {
    required: true,
    description: 'Settings file in INI format',
  });

  async execute(): Promise<number> {
    const settings = daemonSettings.readDaemonSettings(this.config);
    if (settings.isErr()) {
      return this.reportFailure(settings.error);
    }
    const observability = (settings.value.entry ?? settings.value.side)!
      .observability;
    log.enableLogs(observability.logs);
    const created = settings.value.entry
      ? await createEntry(settings.value.entry)
      : await createSide(settings.value.side!);
    if (created.isErr()) {
      return this.reportFailure(created.error);
    }
    return this.run(created.value);
  }

  private async run(roleProcess: RoleProcess): Promise<number> {
    const stopped = new Promise<void>(resolve => {
      let isStopping = false;
      const stop = () => {
        if (!isStopping) {
          isStopping = true;
          void roleProcess.leave().then(resolve);
        }
      };
      process.on('SIGTERM', stop);
      process.on('SIGINT', stop);
    });
    try {
      const address = await roleProcess.start();
      this.context.stdout.write(
        JSON.stringify({url: `http://${address}`}) + '\n',
      );
    } catch (error) {
      const code = resultCode.ResultCode.AddressInUse;
      return this.reportFailure(
        failure.notRun(code, `[instance] listen: ${String(error)}`),
      );
    }
    await stopped;
    return resultCode.ResultCode.Ok;
  }

  private reportFailure(cause: failure.Failure): number {
    this.context.stderr.write(`rhubarbvaned: ${cause.message}\n`);
    return cause.code;
  }
}

const cli = new clipanion.Cli({
  binaryLabel: 'rhubarbvaned',
  binaryName: 'rhubarbvaned',
  binaryVersion: version.readVersion(),
});
cli.register(RunCommand);
cli.register(clipanion.Builtins.HelpCommand);
cli.register(clipanion.Builtins.VersionCommand);
void cli.run(process.argv.slice(2)).then(code => process.exit(code));
