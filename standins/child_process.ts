/** Child processes of a local deployment. */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as readline from 'node:readline';

const BUILD = path.join(__dirname, '..');

/** A child process that serves at the URL it printed. */
export class Child {
  /** Resolves with the exit code, or with -1 when a signal ended the process. */
  readonly exited: Promise<number>;
  /** Lines of standard error. */
  readonly errors: string[] = [];

  private constructor(
    readonly role: string,
    readonly name: string,
    private readonly process: childProcess.ChildProcess,
  ) {
    this.exited = new Promise(resolve =>
      this.process.once('exit', code => resolve(code ?? -1)),
    );
  }

  url = '';

  get pid(): number {
    return this.process.pid!;
  }

  /** IP and port. */
  get address(): string {
    return this.url.slice('http://'.length);
  }

  /** Starts a compiled program and waits until it prints its URL. Rejects when it exits before that. */
  static async start(
    role: string,
    name: string,
    program: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<Child> {
    const started = childProcess.spawn(
      process.execPath,
      [path.join(BUILD, program), ...args],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {...process.env, ...environment},
      },
    );
    const child = new Child(role, name, started);
    readline
      .createInterface({input: started.stderr})
      .on('line', line => child.onErrorLine(line));
    const lines = readline.createInterface({input: started.stdout});
    child.url = await new Promise<string>((resolve, reject) => {
      lines.once('line', line =>
        resolve((JSON.parse(line) as {url: string}).url),
      );
      void child.exited.then(code => {
        reject(
          new Error(`${name} exited with ${code}: ${child.errors.join('; ')}`),
        );
      });
    });
    return child;
  }

  /** Sends a signal unless the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (this.process.exitCode === null) {
      this.process.kill(signal);
    }
  }

  /** Kills the process and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  private onErrorLine(line: string): void {
    this.errors.push(line);
    if (process.env.RHUBARBVANE_SHOW_LOGS !== undefined) {
      process.stderr.write(`${this.name}: ${line}\n`);
    }
  }
}
