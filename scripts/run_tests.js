// Runs the tests and prints every failure; only those listed in KNOWN-RED.txt do not fail the run.
const childProcess = require('node:child_process');
const fs = require('node:fs');
const path = require('node:path');
const readline = require('node:readline');

const KNOWN_RED = path.join(__dirname, '..', 'KNOWN-RED.txt');

// Each entry of the list begins with a line "test: <title as printed>".
function readKnownRed() {
  if (!fs.existsSync(KNOWN_RED)) {
    return new Set();
  }
  const lines = fs.readFileSync(KNOWN_RED, 'utf8').split('\n');
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}

const knownRed = readKnownRed();
const failures = [];
const seen = new Set();
let passed = 0;
// The runner prints the number of tests last, and not at all if it crashes, as on a test that does not end.
let planned;

const ava = childProcess.spawn(
  process.execPath,
  [path.join(__dirname, '..', 'node_modules', 'ava', 'entrypoints', 'cli.mjs'), '--tap', ...process.argv.slice(2)],
  {stdio: ['inherit', 'pipe', 'inherit']},
);
readline.createInterface({input: ava.stdout}).on('line', line => {
  process.stdout.write(`${line}\n`);
  const plan = /^1\.\.(\d+)$/.exec(line);
  if (plan !== null) {
    planned = Number(plan[1]);
  }
  const match = /^(not ok|ok) \d+ - (.*?)( # SKIP| # TODO.*)?$/.exec(line);
  if (match === null) {
    return;
  }
  seen.add(match[2]);
  if (match[1] === 'ok') {
    passed++;
  } else {
    failures.push(match[2]);
  }
});
ava.once('close', code => {
  const unknown = failures.filter(title => !knownRed.has(title));
  for (const title of failures.filter(title => knownRed.has(title))) {
    process.stdout.write(`known red: ${title}\n`);
  }
  for (const title of [...knownRed].filter(title => seen.has(title) && !failures.includes(title))) {
    process.stdout.write(`listed as known red, but it passed: ${title}\n`);
  }
  for (const title of unknown) {
    process.stdout.write(`failed: ${title}\n`);
  }
  process.stdout.write(`${passed} passed, ${unknown.length} failed\n`);
  const isCrashWithoutFailure = code !== 0 && failures.length === 0;
  const isComplete = planned === passed + failures.length;
  if (!isComplete) {
    process.stdout.write(`incomplete: ${planned ?? 'no number of'} tests planned, ${passed + failures.length} ended\n`);
  }
  process.exit(unknown.length > 0 || isCrashWithoutFailure || !isComplete || passed === 0 ? 1 : 0);
});
