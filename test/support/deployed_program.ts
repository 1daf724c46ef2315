/** How deployments run the gateway program. */
import * as fs from 'node:fs';
import * as path from 'node:path';

const ROOT = path.join(__dirname, '..', '..', '..');
export const GATEWAY_PROGRAM = path.join(
  ROOT,
  'build',
  'src',
  'daemon',
  'gateway_main.js',
);

/** Flags of Node.js with which deployments run a gateway. */
export function deployedFlags(): string[] {
  const system = fs.readFileSync(
    path.join(ROOT, 'deploy', 'system.toml'),
    'utf8',
  );
  const command = /^run = "node (.*) target\/gateway\.js"$/m.exec(system);
  return command![1].split(' ');
}
