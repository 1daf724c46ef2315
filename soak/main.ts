/** Runs soak tests: `npm run soak -- --seed 1 --minutes 1`. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as clipanion from 'clipanion';
import * as soak from './soak';

/** Runs one seed, or several one after the other. */
class SoakCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default];

  seed = clipanion.Option.String('--seed', '1', {
    description: 'First seed; it determines the faults and the requests',
  });
  seeds = clipanion.Option.String('--seeds', '1', {
    description: 'Number of seeds to run, one after the other',
  });
  minutes = clipanion.Option.String('--minutes', '0.5', {
    description: 'Duration of the faults of each seed',
  });
  gateways = clipanion.Option.String('--gateways', '4', {
    description:
      'Number of gateway processes; with 7 or more, three watch the store for all',
  });
  callers = clipanion.Option.String('--callers', '24', {
    description: 'Number of callers, each with one connection',
  });
  faults = clipanion.Option.String('--faults', {
    description:
      'Faults to draw from, separated by commas; all but late-refusals by default',
  });
  engines = clipanion.Option.String('--engines', '6', {
    description: 'Number of replicas that generate streams',
  });
  logs = clipanion.Option.String('--logs', 'target/soak', {
    description: 'Directory for the log lines of the gateways and the faults',
  });

  async execute(): Promise<number> {
    let failed = 0;
    fs.mkdirSync(this.logs, {recursive: true});
    for (let index = 0; index < Number(this.seeds); index++) {
      const seed = Number(this.seed) + index;
      failed += (await this.runSeed(seed)) ? 0 : 1;
    }
    return failed === 0 ? 0 : 1;
  }

  private async runSeed(seed: number): Promise<boolean> {
    const logFile = path.join(this.logs, `seed-${seed}.log`);
    // Lines of an earlier play would be checked again.
    fs.rmSync(logFile, {force: true});
    const faults: object[] = [];
    const result = await soak.runSoak({
      seed,
      milliseconds: Number(this.minutes) * 60_000,
      size: {
        gateways: Number(this.gateways),
        engines: Number(this.engines),
        services: 3,
      },
      faults: this.faults?.split(','),
      callers: Number(this.callers),
      recoveryMilliseconds: soak.RECOVERY_MILLISECONDS,
      logFile,
      reportFault: event => faults.push(event),
    });
    fs.writeFileSync(
      path.join(this.logs, `seed-${seed}.faults.json`),
      faults.map(event => JSON.stringify(event)).join('\n'),
    );
    this.context.stdout.write(
      `${JSON.stringify({seed, faults: faults.length, ...result})}\n`,
    );
    return result.violations.length === 0;
  }
}

process.once('SIGTERM', () => process.exit(1));
process.once('SIGINT', () => process.exit(1));

const cli = new clipanion.Cli({binaryLabel: 'soak', binaryName: 'soak'});
cli.register(SoakCommand);
void cli
  .runExit(process.argv.slice(2))
  .then(() => process.exit(process.exitCode));
