// Fails when the committed generated code differs from the generator's output.
// Skips the check when the generator is not installed.
const childProcess = require('node:child_process');
const fs = require('node:fs');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.join(__dirname, '..');
const GENERATED = 'src/protocol/generated/rhubarbvane/v1/operator_pb.ts';

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'generated-'));
const run = childProcess.spawnSync('npx', ['--no-install', 'buf', 'generate', '-o', folder], {cwd: ROOT});
if (run.status !== 0) {
  process.stdout.write('the generator is not installed; generated code is not checked\n');
  process.exit(0);
}
const isSame = fs.readFileSync(path.join(folder, GENERATED)).equals(fs.readFileSync(path.join(ROOT, GENERATED)));
fs.rmSync(folder, {recursive: true});
if (!isSame) {
  process.stderr.write(`${GENERATED} differs from the schema: run npm run generate\n`);
  process.exit(1);
}
