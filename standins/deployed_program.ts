/** How deployments run the gateway program. */
import * as fs from 'node:fs';
import * as path from 'node:path';

const ROOT = path.join(__dirname, '..', '..');
export const GATEWAY_PROGRAM = path.join(
  ROOT,
  'build',
  'src',
  'daemon',
  'gateway_main.js',
);

/** Memory of the smallest machine that runs a gateway, in MB. */
export const MEMORY_MEGABYTES = 178;
/** Descriptors of the machine, of which a part is kept for files. */
export const MAX_DESCRIPTORS = 4_100;

/** Flags of Node.js with which deployments run a gateway. */
export function deployedFlags(): string[] {
  const system = fs.readFileSync(
    path.join(ROOT, 'deploy', 'system.toml'),
    'utf8',
  );
  const command = /^run = "node (.*) target\/gateway\.js"$/m.exec(system);
  return command![1].split(' ');
}
