/** A complete deployment on the loopback address, with stand-ins for the external systems. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as httpClient from '../src/base/node/http_client';
import * as child from './child_process';

const CALL_TIMEOUT_MILLISECONDS = 5_000;
const READY_POLL_MILLISECONDS = 25;
const READY_TIMEOUT_MILLISECONDS = 20_000;

/** Bearer token of the first customer. */
export const CUSTOMER_TOKEN = 'demo-customer-token';
/** Bearer token of a second customer. */
export const OTHER_CUSTOMER_TOKEN = 'demo-other-customer-token';
/** Model that the engines serve. */
export const MODEL = 'report-writer';
/** Route to the plain services. */
export const SERVICE_ROUTE = 'notices';

const ENGINE_ENDPOINT = 'report-engines';
const SERVICE_ENDPOINT = 'notice-desk';

/** Number of processes of each kind, and their settings. */
export interface DeploymentOptions {
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  readonly engineArguments?: readonly string[];
  /** Additional lines for the settings of side processes. */
  readonly sideSettings?: string;
  /** Additional lines for the settings of entries. */
  readonly entrySettings?: string;
}

/** An endpoint process with its side process. */
export interface EndpointPair {
  readonly endpoint: child.Child;
  side: child.Child;
}

/** Starts, registers and stops the processes. */
export class LocalDeployment {
  readonly entries: child.Child[] = [];
  readonly engines: EndpointPair[] = [];
  readonly services: EndpointPair[] = [];
  platform!: child.Child;
  private readonly directory = fs.mkdtempSync(
    path.join(os.tmpdir(), 'rhubarbvane-'),
  );
  private readonly processes: child.Child[] = [];

  constructor(private readonly options: DeploymentOptions) {}

  /** Starts all processes and applies the declarations. */
  async start(): Promise<void> {
    this.write('cluster.token', crypto.randomBytes(16).toString('hex'));
    this.write('platform.token', 'platform');
    this.write('operator.token', crypto.randomBytes(16).toString('hex'));
    this.write('customer.token', CUSTOMER_TOKEN);
    this.write('other-customer.token', OTHER_CUSTOMER_TOKEN);
    this.platform = await this.spawn(
      'platform',
      'platform',
      'standins/platform_main.js',
      [],
    );
    const {options} = this;
    // Entries start last, so that they find the endpoints on the platform's list.
    const [engines, services] = await Promise.all([
      startEach(options.engines, index => this.startEngine(`engine-${index}`)),
      startEach(options.services, index =>
        this.startService(`service-${index}`),
      ),
    ]);
    this.engines.push(...engines);
    this.services.push(...services);
    this.entries.push(
      ...(await startEach(options.entries, index =>
        this.startEntry(`entry-${index}`),
      )),
    );
    const result = await this.runTool([
      'apply',
      this.write('declarations.ini', declarations()),
    ]);
    if (result.code !== 0) {
      throw new Error(`apply failed: ${result.errors}`);
    }
    await Promise.all(this.entries.map(entry => waitUntilReady(entry.url)));
  }

  /** Kills all processes and deletes their files. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map(process => process.kill()));
    fs.rmSync(this.directory, {recursive: true, force: true});
  }

  /** Path of a file that holds a secret or settings. */
  file(name: string): string {
    return path.join(this.directory, name);
  }

  /** Starts an entry; by default it calls the platform directly. */
  async startEntry(
    name: string,
    platformUrl = this.platform.url,
  ): Promise<child.Child> {
    const settings = [
      ...this.commonSettings('entry', name, platformUrl),
      '[operators]',
      `token_file = ${this.file('operator.token')}`,
      this.options.entrySettings ?? '',
    ];
    const entry = await this.startDaemon('entry', name, settings);
    await this.register(name, 'entry', entry.address, '');
    return entry;
  }

  async startEngine(name: string): Promise<EndpointPair> {
    const endpoint = await this.spawn(
      'engine',
      name,
      'standins/engine_main.js',
      this.options.engineArguments ?? [],
    );
    return {
      endpoint,
      side: await this.startSide(name, endpoint, 'engine', ENGINE_ENDPOINT),
    };
  }

  async startService(name: string): Promise<EndpointPair> {
    const endpoint = await this.spawn(
      'service',
      name,
      'standins/service_main.js',
      [],
    );
    return {
      endpoint,
      side: await this.startSide(name, endpoint, 'service', SERVICE_ENDPOINT),
    };
  }

  /** Starts a side process for a running endpoint, for example as a replacement. */
  async startSide(
    name: string,
    endpoint: child.Child,
    kind: string,
    endpointName: string,
  ): Promise<child.Child> {
    const settings = [
      ...this.commonSettings('side', name),
      '[endpoint]',
      `name = ${endpointName}`,
      `kind = ${kind}`,
      `url = ${endpoint.url}`,
      this.options.sideSettings ?? '',
    ];
    const side = await this.startDaemon('side', name, settings);
    await this.register(name, 'side', side.address, endpointName);
    return side;
  }

  /** Runs the command-line tool against an entry, with the token of an operator or a customer. */
  async runTool(
    args: readonly string[],
    entry = 0,
    tokenName = 'operator.token',
  ) {
    const childProcess = await import('node:child_process');
    const program = path.join(__dirname, '..', 'src', 'tool', 'main.js');
    const connectionArguments = [
      '--entry',
      this.entries[entry].url,
      '--token-file',
      this.file(tokenName),
    ];
    return new Promise<{code: number; output: string; errors: string}>(
      resolve => {
        childProcess.execFile(
          process.execPath,
          [program, ...args, ...connectionArguments],
          (error, output, errors) => {
            resolve({
              code: error === null ? 0 : Number(error.code),
              output,
              errors,
            });
          },
        );
      },
    );
  }

  /** Adds an instance to the platform's list. */
  async register(
    name: string,
    role: string,
    address: string,
    endpoint: string,
    isLeaving = false,
  ): Promise<void> {
    const record = {
      instance: name,
      role,
      address,
      dataCentre: 'galle',
      endpoint,
      isLeaving,
    };
    await this.callAdmin('PUT', `/admin/instances/${name}`, record);
  }

  /** Removes an instance from the platform's list. */
  async unregister(name: string): Promise<void> {
    await this.callAdmin('DELETE', `/admin/instances/${name}`, {});
  }

  /** Sets the faults of the platform stand-in. */
  async platformFault(fault: object): Promise<void> {
    await this.callAdmin('POST', '/admin/fault', fault);
  }

  /** Describes the deployment for `npm run demo -- --stay`, which prints it. */
  describe(): object {
    const processes = this.processes.map(process => ({
      role: process.role,
      pid: process.pid,
      url: process.url,
    }));
    return {
      entries: this.entries.map(entry => entry.url),
      operator: this.entries[0].url,
      token: CUSTOMER_TOKEN,
      operator_token: fs.readFileSync(this.file('operator.token'), 'utf8'),
      model: MODEL,
      service_route: SERVICE_ROUTE,
      platform: this.platform.url,
      processes,
    };
  }

  private async callAdmin(
    method: string,
    resource: string,
    body: object,
  ): Promise<void> {
    await callJson(method, this.platform.url + resource, body);
  }

  private async startDaemon(
    role: string,
    name: string,
    settings: readonly string[],
  ): Promise<child.Child> {
    const file = this.write(`${name}.ini`, settings.join('\n'));
    return this.spawn(role, name, 'src/daemon/main.js', ['--config', file]);
  }

  private async spawn(
    role: string,
    name: string,
    program: string,
    args: readonly string[],
  ): Promise<child.Child> {
    const started = await child.Child.start(role, name, program, args);
    this.processes.push(started);
    return started;
  }

  private commonSettings(
    role: string,
    name: string,
    platformUrl = this.platform.url,
  ): string[] {
    return [
      '[instance]',
      `role = ${role}`,
      `name = ${name}`,
      'data_centre = galle',
      'listen = 127.0.0.1:0',
      '[cluster]',
      `token_file = ${this.file('cluster.token')}`,
      '[platform]',
      `url = ${platformUrl}`,
      `token_file = ${this.file('platform.token')}`,
    ];
  }

  private write(name: string, text: string): string {
    fs.writeFileSync(this.file(name), text, {mode: 0o600});
    return this.file(name);
  }
}

function declarations(): string {
  const digest = (token: string) =>
    crypto.createHash('sha256').update(token).digest('hex');
  return [
    `[model.${MODEL}]`,
    'context_tokens = 65536',
    `[endpoint.${ENGINE_ENDPOINT}]`,
    'kind = engine',
    `[endpoint.${SERVICE_ENDPOINT}]`,
    'kind = service',
    '[customer.galle-office]',
    `token_sha256 = ${digest(CUSTOMER_TOKEN)}`,
    '[customer.matara-office]',
    `token_sha256 = ${digest(OTHER_CUSTOMER_TOKEN)}`,
    '[route.reports]',
    'customers = *',
    `model = ${MODEL}`,
    `endpoints = ${ENGINE_ENDPOINT}`,
    `[route.${SERVICE_ROUTE}]`,
    'customers = *',
    `endpoints = ${SERVICE_ENDPOINT}`,
    '[deployment]',
    'wind_down_at =',
  ].join('\n');
}

function startEach<T>(
  count: number,
  start: (index: number) => Promise<T>,
): Promise<T[]> {
  return Promise.all(Array.from({length: count}, (_, index) => start(index)));
}

/** Sends JSON and reads JSON; a status of 400 or above is returned like any other. */
export async function callJson(
  method: string,
  url: string,
  body?: object,
  headers: Readonly<Record<string, string>> = {},
): Promise<{
  status: number;
  headers: Record<string, unknown>;
  body: Record<string, unknown>;
}> {
  const text = body === undefined ? '' : JSON.stringify(body);
  const answer = await httpClient.callHttp({
    method,
    url,
    body: text,
    headers: {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...headers,
    },
    timeoutMilliseconds: 60_000,
  });
  const answerText = answer.body.toString('utf8');
  return {
    status: answer.status,
    headers: answer.headers,
    body:
      answerText === ''
        ? {}
        : (JSON.parse(answerText) as Record<string, unknown>),
  };
}

/** Waits until an instance reports that it is ready. */
export async function waitUntilReady(url: string): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
  while (performance.now() < deadline) {
    const answer = await httpClient
      .callHttp({
        method: 'GET',
        url: `${url}/readyz`,
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      })
      .catch(() => undefined);
    if (answer?.status === 200) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MILLISECONDS));
  }
  throw new Error(`${url} is not ready`);
}
