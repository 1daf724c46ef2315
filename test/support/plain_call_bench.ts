/** Calls of plain services with stand-ins of instances whose answers a test decides. */
import * as events from 'node:events';
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as blockPool from '../../src/base/node/block_pool';
import * as bodyStore from '../../src/base/node/body_store';
import * as metrics from '../../src/base/node/metrics';
import * as instanceAvailability from '../../src/gateway/common/availability/instance_availability';
import * as configuration from '../../src/gateway/common/configuration';
import * as crashTable from '../../src/gateway/common/crash_table';
import * as hedgePolicy from '../../src/gateway/common/hedging/hedge_policy';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as instanceLimits from '../../src/gateway/common/limits/instance_limits';
import * as limitedSend from '../../src/gateway/common/limits/limited_send';
import * as retryLimiter from '../../src/gateway/common/retry_limiter';
import * as repeatEvent from '../../src/gateway/common/repeat_event';
import * as usageCounts from '../../src/gateway/common/usage_counts';
import * as callContext from '../../src/gateway/node/call_context';
import * as gatewayMetrics from '../../src/gateway/node/gateway_metrics';
import * as backOff from '../../src/gateway/common/availability/back_off';
import * as runTable from '../../src/gateway/common/run_table';
import * as measuredSpeeds from '../../src/gateway/common/speeds/measured_speeds';
import * as gatewayServices from '../../src/gateway/node/gateway_services';
import * as plainCall from '../../src/gateway/node/plain_call';
import * as gatewayRecords from './gateway_records';

const {SendError} = instanceClient;
type SendResult = neverthrow.Result<
  instanceClient.InstanceResponse,
  instanceClient.SendError
>;

/** A request that an instance received. */
export class FakeExchange implements instanceClient.Exchange {
  readonly response: Promise<SendResult>;
  readonly closed = new Promise<void>(() => undefined);
  isCancelled = false;
  private settle!: (result: SendResult) => void;
  private listener: instanceClient.BodyListener | undefined;

  constructor(
    readonly instance: string,
    readonly remainingMilliseconds: number,
  ) {
    this.response = new Promise(resolve => (this.settle = resolve));
  }

  cancel(): void {
    this.isCancelled = true;
    this.fail(SendError.Cancelled);
    this.listener?.onDidFail('closed');
    this.listener = undefined;
  }

  fail(error: instanceClient.SendError): void {
    this.settle(neverthrow.err(error));
  }

  /** Answers with a status and a body. */
  answer(status: number, body = this.instance): void {
    this.begin(status, false, listener => {
      listener.onData(Buffer.from(body));
      listener.onDidEnd();
    });
  }

  /** Answers that the request is not run. */
  reject(): void {
    this.begin(503, true, listener => listener.onDidEnd());
  }

  /** Answers with a part of the body. */
  answerPartly(): void {
    this.begin(200, false, listener => {
      listener.onData(Buffer.from('part'));
      this.listener = listener;
    });
  }

  private begin(
    status: number,
    isNotExecuted: boolean,
    listen: (listener: instanceClient.BodyListener) => void,
  ): void {
    this.settle(
      neverthrow.ok({
        status,
        isNotExecuted,
        promisesNotRun: status === 503,
        isFromOtherInstance: false,
        hasServerStamp: true,
        limit: undefined,
        warmUp: undefined,
        leaving: undefined,
        retryAfter: undefined,
        passedHeaders: [],
        body: {
          isDelimited: true,
          listen,
          pause: () => undefined,
          resume: () => undefined,
        },
      }),
    );
  }
}

/** The caller's side of an answer. */
export class FakeResponse extends events.EventEmitter {
  headersSent = false;
  destroyed = false;
  /** Statuses that were written; more than one is an answer delivered twice. */
  readonly statuses: number[] = [];
  body = '';

  writeHead(status: number): this {
    this.headersSent = true;
    this.statuses.push(status);
    return this;
  }

  end(body: Buffer | string): void {
    this.body = String(body);
    this.emit('close');
  }

  /** Closes the connection as a caller does that leaves. */
  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

/** Settings of a bench. */
export interface BenchOptions {
  readonly maxShare?: number;
  readonly retryAllowance?: number;
  readonly route?: Partial<configuration.Route>;
  /** Registrations of the instances; by default three with the ids `i-1` to `i-3`. */
  readonly instances?: readonly Partial<instanceTable.InstanceRecord>[];
}

/** A call in progress. */
export interface RunningCall {
  readonly response: FakeResponse;
  readonly done: Promise<void>;
}

/** Services of a gateway, as far as calls of plain services need them. */
export class PlainCallBench {
  readonly exchanges: FakeExchange[] = [];
  readonly logged: [string, Readonly<Record<string, unknown>>][] = [];
  readonly instances = new instanceTable.InstanceTable();
  readonly limits = new instanceLimits.InstanceLimits();
  readonly hedges: hedgePolicy.HedgePolicy | undefined;
  readonly route: configuration.Route;
  readonly metrics = new gatewayMetrics.GatewayMetrics(
    new metrics.MetricsRegistry({}),
  );
  private readonly services: gatewayServices.GatewayServices;

  constructor(options: BenchOptions = {}) {
    const {maxShare = 1, retryAllowance = 100} = options;
    this.route = gatewayRecords.route('/read/', {
      objectiveMilliseconds: 200,
      attempts: 2,
      ...options.route,
    });
    this.hedges =
      maxShare > 0 ? new hedgePolicy.HedgePolicy(maxShare) : undefined;
    const records = options.instances ?? [{}, {}, {}];
    this.instances.replace(
      records.map((overrides, index) =>
        gatewayRecords.instanceRecord({
          id: `i-${index + 1}`,
          slots: 6,
          ...overrides,
        }),
      ),
      performance.now(),
    );
    this.services = {
      dataCentre: 'a',
      log: {
        write: (event: string, fields: Readonly<Record<string, unknown>>) =>
          this.logged.push([event, fields]),
      },
      metrics: this.metrics,
      blocks: new blockPool.BlockPool(),
      follower: {instances: this.instances},
      client: {
        send: (
          instance: instanceTable.Instance,
          request: instanceClient.InstanceRequest,
        ) => this.receive(instance, request),
      },
      availability: new instanceAvailability.InstanceAvailability([
        new instanceAvailability.DrainingRule(),
      ]),
      crashes: new crashTable.CrashTable(),
      limits: this.limits,
      limitUsage: new usageCounts.UsageCounts(
        Object.values(limitedSend.LimitedSend),
      ),
      permits: this.permits(),
      retries: new retryLimiter.RetryLimiter(
        {
          windowMilliseconds: 10_000,
          ratio: 0,
          allowance: retryAllowance,
        },
        {startedAt: performance.now(), isFirstStart: true},
        () => 1,
      ),
      retryUsage: new usageCounts.UsageCounts(
        Object.values(repeatEvent.RepeatEvent),
      ),
      hedges: this.hedges,
      speeds: new measuredSpeeds.MeasuredSpeeds(new runTable.RunTable(), false),
      backOffs: new backOff.BackOffs(),
      answers: {record: () => undefined},
      members: {gatewayCount: () => 1, live: () => []},
    } as unknown as gatewayServices.GatewayServices;
  }

  /** Records requests that were answered after the time, as a running gateway has them. */
  recordAnswers(count: number, milliseconds: number): void {
    for (let answer = 0; answer < count; answer++) {
      const now = performance.now();
      this.hedges?.recordRequest(now);
      this.hedges?.recordAnswer(this.route.name, milliseconds, now);
    }
  }

  start(waitMilliseconds = 4_000): RunningCall {
    const response = new FakeResponse();
    const arrivedAt = performance.now();
    const context = new callContext.CallContext(
      this.services,
      {
        caller: {method: 'GET'} as instanceClient.CallerRequest,
        body: bodyStore.HeldBody.of(Buffer.alloc(0)),
        route: this.route,
        endpoint: undefined,
        endpointName: 'e',
        customer: undefined,
        scope: instanceAvailability.ANY_REGION,
        arrivedAt,
        deadlineAt: arrivedAt + waitMilliseconds,
        fingerprint: 'f',
        configurationVersion: 1,
      },
      response as unknown as http.ServerResponse,
    );
    return {response, done: new plainCall.PlainCall(context).run()};
  }

  /** Fields of the log lines of an event. */
  linesOf(event: string): Readonly<Record<string, unknown>>[] {
    return this.logged
      .filter(([name]) => name === event)
      .map(([, line]) => line);
  }

  /** Values of a counter by the label `outcome`. */
  async outcomes(
    counter: 'hedges' | 'sends',
  ): Promise<Readonly<Record<string, number>>> {
    const {values} = await this.metrics[counter].get();
    return Object.fromEntries(
      values.map(({labels, value}) => [labels.outcome, value]),
    );
  }

  /** Requests that count as open at instances or of callers, which must be none when all calls have ended. */
  async openCount(): Promise<number> {
    const {values} = await this.metrics.openRequests.get();
    return [...this.instances.all()].reduce(
      (sum, {openRequests}) => sum + Math.abs(openRequests),
      values[0].value,
    );
  }

  private receive(
    instance: instanceTable.Instance,
    request: instanceClient.InstanceRequest,
  ): FakeExchange {
    const {id} = instance.record;
    const exchange = new FakeExchange(id, request.remainingMilliseconds);
    this.exchanges.push(exchange);
    return exchange;
  }

  /** Permits of a gateway that gets every one that it asks for. */
  private permits(): object {
    const select = (
      excluded: ReadonlySet<string>,
      pick: (barred: ReadonlySet<string>) => unknown,
    ) => ({choice: pick(excluded), shortage: undefined});
    return {
      isLimited: ({record}: instanceTable.Instance) =>
        this.limits.get(instanceTable.lifeOf(record)) !== undefined,
      select,
      selectWithin: (
        excluded: ReadonlySet<string>,
        pick: (barred: ReadonlySet<string>) => unknown,
      ) => Promise.resolve(select(excluded, pick)),
    };
  }
}
