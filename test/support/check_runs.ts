/** Runs of `rhubarbvane check` within the test's process. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as ava from 'ava';
import * as clipanion from 'clipanion';
import * as findings from '../../src/gateway/common/configuration_check/findings';
import * as checkCommand from '../../src/tool/check_command';

/** Time within which a file of 100,000 routes is checked: a few seconds. */
export const LARGE_FILE_MILLISECONDS = 5_000;
/** Hash of the only token in `declarationText`. */
export const TOKEN = 'a'.repeat(64);

/** Exit code and output of a run. */
export interface Run {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** What `--json` prints. */
export interface Report {
  readonly errorCount: number;
  readonly warningCount: number;
  readonly findings: findings.Finding[];
  readonly differenceCount?: number;
  readonly differences?: {place: string; message: string}[];
}

/** Takes each text later, as a full pipe does; a command that ends before that would lose it. */
class TextSink extends stream.Writable {
  text = '';

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    setImmediate(() => {
      this.text += chunk.toString('utf8');
      done();
    });
  }
}

/** Runs the tool with the arguments. */
export async function run(...args: readonly string[]): Promise<Run> {
  const stdout = new TextSink();
  const stderr = new TextSink();
  const cli = new clipanion.Cli({binaryName: 'rhubarbvane'});
  cli.register(checkCommand.CheckCommand);
  const code = await cli.run([...args], {stdout, stderr});
  return {code, output: stdout.text, errors: stderr.text};
}

/** Runs the tool and parses its JSON output. */
export async function runJson(...args: readonly string[]): Promise<Report> {
  return JSON.parse((await run(...args, '--json')).output) as Report;
}

/** Writes files into a directory that the test's teardown removes; returns their paths. */
export function write(
  t: ava.ExecutionContext,
  files: Readonly<Record<string, string | Buffer>>,
): string[] {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'check-'));
  t.teardown(() => fs.rmSync(directory, {recursive: true}));
  return Object.entries(files).map(([name, content]) => {
    const file = path.join(directory, name);
    fs.writeFileSync(file, content);
    return file;
  });
}

/** A configuration without findings. */
export function configurationText(overrides: object = {}): string {
  const spec = {
    version: 1,
    routes: [
      {
        name: 'reads',
        hostname: 'h.example',
        pathPrefix: '/reads/',
        type: 'idempotent',
        service: 'ledger',
      },
    ],
    services: [{name: 'ledger'}],
    tenants: [{name: 'one', apiKeys: ['secret-1']}],
    ...overrides,
  };
  return JSON.stringify({meta: {name: 'main', revision: 1}, spec});
}

/** Declarations without findings. */
export function declarationText(endpoints = 'desk', token = TOKEN): string {
  return [
    '[endpoint.desk]',
    'kind = service',
    '[customer.one]',
    `token_sha256 = ${token}`,
    '[route.notices]',
    'customers = *',
    `endpoints = ${endpoints}`,
  ].join('\n');
}
