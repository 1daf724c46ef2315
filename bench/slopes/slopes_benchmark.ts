/** Prints the slopes that docs/CAPACITY.md is calculated from, one JSON line each. */
import * as claimSlopes from './claim_slopes';
import * as fits from './fit';
import * as linkSlopes from './link_slopes';
import * as processSlopes from './process_slopes';
import * as tableSlopes from './table_slopes';

function print(slopes: readonly fits.Slope[]): void {
  slopes.forEach(slope => process.stdout.write(`${JSON.stringify(slope)}\n`));
}

/** Runs all measurements, those inside this process first. */
export async function run(): Promise<void> {
  print(await tableSlopes.measure());
  print(await claimSlopes.measure());
  print(await linkSlopes.measure());
  print(await processSlopes.measure());
}
