/** A gateway in a child process, with relays between it, the store and its callers. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as deployedProgram from '../standins/deployed_program';
import * as freePorts from '../standins/free_ports';
import * as tcpRelay from '../standins/tcp_relay';
import * as budgetRule from './budget_rule';
import * as callRules from './call_rules';
import * as requestHistory from './request_history';

const {RETRY_POLICY} = budgetRule;

/** Addresses and files of a gateway. */
export interface GatewayOptions {
  readonly name: string;
  readonly ip: string;
  readonly seeds: readonly string[];
  readonly digestPort: number;
  readonly storePort: number;
  /** File for its log lines. */
  readonly logFile: string;
}

/** One gateway across restarts of its process. */
export class GatewayChild {
  private process: childProcess.ChildProcess | undefined;
  private readonly settingsFile: string;
  private ports = {callers: 0, readiness: 0, peers: 0};
  private isExitExpected = false;
  private isClosed = false;
  private storeAddress = '';
  storeRelay: tcpRelay.TcpRelay;
  callerRelay!: tcpRelay.TcpRelay;
  /** Address that callers use. */
  address = '';

  constructor(
    private readonly options: GatewayOptions,
    private readonly onUnexpectedExit: (detail: string) => void,
  ) {
    this.settingsFile = path.join(
      fs.mkdtempSync(path.join(os.tmpdir(), 'soak-')),
      'gateway.ini',
    );
    this.storeRelay = new tcpRelay.TcpRelay(options.storePort);
  }

  get name(): string {
    return this.options.name;
  }

  get isRunning(): boolean {
    return this.process !== undefined;
  }

  /** Chooses ports, opens the relays and starts the process. */
  async open(): Promise<void> {
    const {ip} = this.options;
    this.ports = {
      callers: await freePorts.freeStreamPort(ip),
      readiness: await freePorts.freeStreamPort(ip),
      peers: await freePorts.freeStreamPort(ip),
    };
    this.callerRelay = new tcpRelay.TcpRelay(this.ports.callers, ip);
    this.address = await this.callerRelay.listen();
    this.storeAddress = await this.storeRelay.listen();
    this.writeSettings(true);
    this.start();
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.process !== undefined) {
      return;
    }
    const log = fs.openSync(this.options.logFile, 'a');
    const child = childProcess.spawn(
      process.execPath,
      [
        ...deployedProgram.deployedFlags(),
        deployedProgram.GATEWAY_PROGRAM,
        '--config',
        this.settingsFile,
      ],
      {stdio: ['ignore', log, log]},
    );
    fs.closeSync(log);
    this.process = child;
    this.isExitExpected = false;
    child.once('exit', (code, signal) => {
      this.process = undefined;
      this.writeSettings(false);
      if (!this.isExitExpected) {
        this.onUnexpectedExit(`${this.name} exited with ${code ?? signal}`);
      }
    });
  }

  /** Kills the process without waiting; for a soak test that ends early. */
  kill(): void {
    this.process?.kill('SIGKILL');
  }

  /** Sends a signal to the process if it is running. */
  signal(signal: NodeJS.Signals): void {
    this.isExitExpected ||= signal === 'SIGKILL' || signal === 'SIGTERM';
    this.process?.kill(signal);
  }

  /** Resolves when the process is not running. */
  async whenExited(): Promise<void> {
    const {process: child} = this;
    if (child !== undefined) {
      await new Promise(resolve => child.once('exit', resolve));
    }
  }

  async close(): Promise<void> {
    const ended = this.whenExited();
    this.isClosed = true;
    this.signal('SIGKILL');
    await ended;
    this.storeRelay.dispose();
    this.callerRelay.dispose();
    fs.rmSync(path.dirname(this.settingsFile), {recursive: true});
  }

  private writeSettings(isFirstStart: boolean): void {
    if (!this.isClosed) {
      fs.writeFileSync(this.settingsFile, this.settings(isFirstStart));
    }
  }

  private settings(isFirstStart: boolean): string {
    const {name, ip, seeds, digestPort} = this.options;
    const {callers, readiness, peers} = this.ports;
    return [
      '[instance]',
      `name = ${name}`,
      'data_centre = a',
      `ip = ${ip}`,
      `bootstrap = ${isFirstStart}`,
      '[listen]',
      `callers = ${ip}:${callers}`,
      `readiness = ${ip}:${readiness}`,
      `peers = ${ip}:${peers}`,
      'metrics_port = 0',
      '[peers]',
      `seeds = ${seeds.join(',')}`,
      `digest_port = ${digestPort}`,
      '[platform]',
      `store = ${this.storeAddress}`,
      '[shutdown]',
      `grace_seconds = ${callRules.GRACE_MILLISECONDS / 1_000}`,
      '[evacuation]',
      `bound_milliseconds = ${requestHistory.EVACUATION_LIMIT_MILLISECONDS}`,
      '[placement]',
      'measured_speeds = true',
      '[admission]',
      'fair_shares = true',
      '[hedging]',
      'max_share = 0.05',
      '[limits]',
      `memory_megabytes = ${deployedProgram.MEMORY_MEGABYTES}`,
      `max_descriptors = ${deployedProgram.MAX_DESCRIPTORS}`,
      '[retries]',
      `window_seconds = ${RETRY_POLICY.windowMilliseconds / 1_000}`,
      `ratio = ${RETRY_POLICY.ratio}`,
      `allowance = ${RETRY_POLICY.allowance}`,
    ].join('\n');
  }
}
