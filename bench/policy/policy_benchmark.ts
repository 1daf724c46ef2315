/** Compares policies on a simulated clock; prints a JSON line for each run. */
import * as engineModel from '../../standins/engine_model';
import * as benchArguments from '../arguments';
import * as deploymentRun from './deployment_run';
import * as meters from './meter';
import * as policies from './policy';
import * as workloads from './workload';

/** Engines whose memory fills up long before their batch. */
const ENGINE_PARAMETERS: engineModel.EngineParameters = {
  ...engineModel.DEFAULT_PARAMETERS,
  capacityTokens: 48_000,
};

/** Output that the engines of a workload can sustain. */
interface Capacity {
  readonly tokensPerSecond: number;
  readonly meanOutputTokens: number;
}

/**
 * Output of the oracle policy under heavy overload (40 and 14 requests per
 * second for 240 s, seed 99). Fixed, so that loads stay the same when the
 * product's decisions change.
 */
const CAPACITIES: Readonly<Record<workloads.WorkloadName, Capacity>> = {
  [workloads.WorkloadName.Cooperative]: {
    tokensPerSecond: 6_307,
    meanOutputTokens: 348,
  },
  [workloads.WorkloadName.Association]: {
    tokensPerSecond: 5_789,
    meanOutputTokens: 1_086,
  },
};

const DEFAULT_SECONDS = 480;
const SWEEP_SEED = 99;
const SLOT_SWEEP: readonly number[] = [8, 12, 16, 24, 32, 48, 64, 96];

function print(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

interface RunOptions {
  readonly workload: workloads.WorkloadName;
  readonly load: number;
  readonly seed: number;
  readonly seconds: number;
  readonly fault: deploymentRun.FaultName;
}

function runOne(
  policy: policies.Policy,
  options: RunOptions,
): meters.PolicyResult {
  const capacity = CAPACITIES[options.workload];
  const offered = options.load * capacity.tokensPerSecond;
  const run = new deploymentRun.DeploymentRun({
    policy,
    engineParameters: ENGINE_PARAMETERS,
    fault: options.fault,
    workload: {
      name: options.workload,
      seed: options.seed,
      requestsPerSecond: offered / capacity.meanOutputTokens,
      offeredTokensPerSecond: offered,
      seconds: options.seconds,
      changeAtSecond: 0,
    },
  });
  return run.run();
}

/** Returns the fixed number of slots with the least stall time among those within 2% of the best throughput. */
function sweepSlots(options: RunOptions): number {
  const sweep = SLOT_SWEEP.map(slots => {
    const policy = policies.makePolicy(
      policies.PolicyName.Tuned,
      policies.Mechanism.None,
      slots,
    );
    return {slots, result: runOne(policy, {...options, seed: SWEEP_SEED})};
  });
  for (const {slots, result} of sweep) {
    print({sweep: options.workload, load: options.load, slots, ...result});
  }
  const best = Math.max(...sweep.map(entry => entry.result.tokens_per_second));
  const nearBest = sweep.filter(
    entry => entry.result.tokens_per_second >= 0.98 * best,
  );
  return nearBest.reduce((left, right) =>
    right.result.stall_seconds < left.result.stall_seconds ? right : left,
  ).slots;
}

function parseList<T extends string>(text: string, allowed: readonly T[]): T[] {
  const chosen = text.split(',') as T[];
  const unknownName = chosen.find(name => !allowed.includes(name));
  if (unknownName !== undefined) {
    throw new Error(
      `saw ${unknownName}, expected some of ${allowed.join(', ')}`,
    );
  }
  return chosen;
}

/** Arguments: --seed, --workload, --load, --policy, --without, --fault, --seconds, --slots, each a list. */
export async function run(args: readonly string[]): Promise<void> {
  const text = (name: string, fallback: string) =>
    benchArguments.argument(args, name, fallback);
  const seeds = text('seed', '1,2,3,4,5').split(',').map(Number);
  const loads = text('load', '0.7,0.95,1.3').split(',').map(Number);
  const names = parseList(
    text('workload', 'cooperative,association'),
    Object.values(workloads.WorkloadName),
  );
  const chosen = parseList(
    text('policy', 'naive,tuned,oracle,current'),
    Object.values(policies.PolicyName),
  );
  const without = parseList(
    text('without', 'none'),
    Object.values(policies.Mechanism),
  );
  const faults = parseList(
    text('fault', 'none'),
    Object.values(deploymentRun.FaultName),
  );
  const seconds = benchArguments.numberArgument(
    args,
    'seconds',
    DEFAULT_SECONDS,
  );
  const fixedSlots = benchArguments.numberArgument(args, 'slots', 0);
  const settings = JSON.parse(text('settings', '{}')) as object;
  for (const workload of names) {
    for (const load of loads) {
      const base = {
        workload,
        load,
        seconds,
        fault: deploymentRun.FaultName.None,
        seed: 0,
      };
      const isTunedWanted = chosen.includes(policies.PolicyName.Tuned);
      const slots = fixedSlots || (isTunedWanted ? sweepSlots(base) : 0);
      for (const fault of faults) {
        for (const policyName of chosen) {
          for (const mechanism of without) {
            const policy = policies.makePolicy(
              policyName,
              mechanism,
              slots,
              settings,
            );
            const results = seeds.map(seed => {
              const result = runOne(policy, {...base, fault, seed});
              print({
                policy: policyName,
                workload,
                load,
                seed,
                fault,
                without: mechanism,
                ...result,
              });
              return result;
            });
            print({
              summary: policyName,
              workload,
              load,
              fault,
              without: mechanism,
              ...summarize(results),
            });
          }
        }
      }
    }
  }
}

/** Returns the median of each measure, with its smallest and largest value. */
function summarize(
  results: readonly meters.PolicyResult[],
): Record<string, string> {
  const summary: Record<string, string> = {};
  for (const measure of Object.keys(
    results[0],
  ) as (keyof meters.PolicyResult)[]) {
    const values = results
      .map(result => result[measure])
      .sort((left, right) => left - right);
    const rounded = [
      values[values.length >> 1],
      values[0],
      values[values.length - 1],
    ].map(value => Number(value.toPrecision(4)));
    summary[measure] = `${rounded[0]} (${rounded[1]} to ${rounded[2]})`;
  }
  return summary;
}
