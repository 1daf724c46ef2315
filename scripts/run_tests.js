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
let isComplete = true;
let hasCrashed = false;

// Tests in this folder measure a process on its own machine; nothing else runs beside them.
const ALONE = 'build/test/clients/**/*.test.js';
const RUNS = process.argv.length > 2
  ? [process.argv.slice(2)]
  : [['build/test/**/*.test.js', `!${ALONE}`], ['--serial', '--concurrency=1', ALONE]];

function runTests(args) {
  // The runner prints the number of tests last, and not at all if it crashes, as on a test that does not end.
  let planned;
  let ended = 0;
  const failuresBefore = failures.length;
  const ava = childProcess.spawn(
    process.execPath,
    [path.join(__dirname, '..', 'node_modules', 'ava', 'entrypoints', 'cli.mjs'), '--tap', ...args],
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
    ended++;
    seen.add(match[2]);
    if (match[1] === 'ok') {
      passed++;
    } else {
      failures.push(match[2]);
    }
  });
  return new Promise(resolve =>
    ava.once('close', code => {
      hasCrashed ||= code !== 0 && failures.length === failuresBefore;
      if (planned !== ended) {
        isComplete = false;
        process.stdout.write(`incomplete: ${planned ?? 'no number of'} tests planned, ${ended} ended\n`);
      }
      resolve();
    }),
  );
}

async function main() {
  for (const args of RUNS) {
    await runTests(args);
  }
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
  process.exit(unknown.length > 0 || hasCrashed || !isComplete || passed === 0 ? 1 : 0);
}

void main();
