/** The side process of an endpoint instance; all work for the instance passes through it. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as log from '../../base/node/log';
import * as metrics from '../../base/node/metrics';
import * as processSettings from '../../base/node/process_settings';
import * as tracing from '../../base/node/tracing';
import * as admissionSystem from '../../decision/common/admission_system';
import * as httpEngineClient from '../../endpoint/node/http_engine_client';
import * as httpServiceClient from '../../endpoint/node/http_service_client';
import * as objectStore from '../../storage/common/object_store';
import * as linkMessages from '../../protocol/common/link_messages';
import * as peerCalls from '../../protocol/common/peer_calls';
import * as sideCalls from '../../protocol/common/side_calls';
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';
import * as directCalls from '../../protocol/node/direct_calls';
import * as shutdownState from '../../protocol/node/shutdown_state';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as sideRouter from '../../protocol/node/side_router';
import * as trafficMetrics from '../../protocol/node/traffic_metrics';
import * as configurationFollower from './configuration_follower';
import * as generationHost from './generation_host';
import * as linkHub from './link_hub';
import * as orderGate from './order_gate';
import * as serviceHost from './service_host';
import * as sideMetrics from './side_metrics';
import * as sideSettings from './side_settings';

const EXIT_POLL_MILLISECONDS = 50;
const TOMBSTONE_MILLISECONDS = 600_000;
/** Retention of a stream after its delivery, in milliseconds: time for a caller whose connection lost the end to reconnect. */
const DELIVERED_RETENTION_MILLISECONDS = 5_000;

/** Settings and dependencies of a side process. */
export interface SideProcessOptions {
  readonly instance: processSettings.InstanceSettings;
  readonly endpoint: sideSettings.EndpointSettings;
  readonly admission: sideSettings.AdmissionSettings;
  readonly attempts: sideSettings.AttemptSettings;
  readonly clusterToken: string;
  readonly store: objectStore.ObjectStore;
  readonly traceCollector: string;
}

/** Serves one endpoint instance: admits work, forwards it and streams its output to entries. */
export class SideProcess
  extends sideRouter.SideService
  implements disposable.Disposable
{
  readonly incarnation = crypto.randomBytes(6).toString('hex');
  private readonly server = new httpServer.HttpServer({
    maxBodyBytes: directCalls.BODY_LIMIT_BYTES,
  });
  private readonly registry: metrics.MetricsRegistry;
  private readonly tracer: tracing.Tracer;
  private readonly links: linkHub.LinkHub;
  private readonly generations: generationHost.GenerationHost | undefined;
  private readonly services: serviceHost.ServiceHost | undefined;
  private readonly orders: orderGate.OrderGate | undefined;
  private readonly configuration: configurationFollower.ConfigurationFollower;
  private readonly shutdown = new shutdownState.ShutdownState();
  private readonly logger = new log.Logger('side');

  constructor(private readonly options: SideProcessOptions) {
    super();
    const {instance, endpoint} = options;
    this.registry = new metrics.MetricsRegistry({
      instance: instance.name,
      endpoint: endpoint.name,
    });
    this.tracer = new tracing.Tracer(instance.name);
    const traffic = new trafficMetrics.TrafficMetrics(this.registry);
    this.configuration = new configurationFollower.ConfigurationFollower(
      instance.name,
      options.clusterToken,
      traffic,
      () => this.links.sendHeartbeats(),
    );
    const hello: linkMessages.LinkHello = {
      instance: instance.name,
      incarnation: this.incarnation,
      endpoint: endpoint.name,
      dataCentre: instance.data_centre,
    };
    this.links = new linkHub.LinkHub(
      hello,
      () => this.load(),
      traffic,
      link => this.generations?.onDidLoseLink(link),
    );
    if (endpoint.kind === sideSettings.EndpointRole.Engine) {
      const engine = new httpEngineClient.HttpEngineClient(
        endpoint.url,
        endpoint.idle_milliseconds,
      );
      this.generations = this.createGenerationHost(engine);
      this.orders = new orderGate.OrderGate(engine, options.store);
    } else {
      const service = new httpServiceClient.HttpServiceClient(endpoint.url);
      this.services = new serviceHost.ServiceHost(
        service,
        options.attempts.retention_milliseconds,
        this.tracer,
      );
    }
    this.mountResources();
  }

  /** Starts serving; resolves with the bound address. */
  async start(): Promise<string> {
    if (this.options.traceCollector !== '') {
      await this.tracer.exportTo(this.options.traceCollector);
    }
    const address = await this.server.listen(this.options.instance.listen);
    this.logger.info('serving', {address, incarnation: this.incarnation});
    return address;
  }

  /** Refuses new work; resolves once all work has ended, its output was fetched and the server is closed. */
  async leave(): Promise<void> {
    this.shutdown.begin();
    this.logger.info('leaving', {unfinished: this.unfinishedCount});
    this.links.sendHeartbeats();
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        if (this.unfinishedCount === 0) {
          clearInterval(timer);
          resolve();
        }
      }, EXIT_POLL_MILLISECONDS);
    });
    this.links.close();
    await this.server.close();
    this.dispose();
    this.logger.info('left');
  }

  dispose(): void {
    this.generations?.dispose();
    this.services?.dispose();
    this.links.dispose();
    this.server.dispose();
  }

  startAttempt(input: sideCalls.StartAttempt): sideCalls.CallReply {
    const refusal = this.refusal(input.incarnation);
    if (refusal !== undefined) {
      return {isAccepted: false, failure: refusal};
    }
    return this.generations!.start(input);
  }

  tombstoneAttempt(
    input: sideCalls.AttemptReference,
  ): sideCalls.TombstoneReply {
    if (input.incarnation !== this.incarnation) {
      return {state: sideCalls.TombstoneState.IncarnationGone};
    }
    return (
      this.generations?.tombstone(input.attempt) ??
      this.services!.tombstone(input.attempt)
    );
  }

  attach(input: sideCalls.Attach): sideCalls.CallReply {
    if (
      input.incarnation !== this.incarnation ||
      this.generations === undefined
    ) {
      const message = 'the side process was replaced';
      return {
        isAccepted: false,
        failure: failure.ran(resultCode.ResultCode.StreamExpired, message),
      };
    }
    return this.generations.attach(input);
  }

  detach(input: sideCalls.Detach): void {
    if (input.incarnation === this.incarnation) {
      this.generations?.detach(input);
    }
  }

  release(input: sideCalls.AttemptReference): void {
    if (input.incarnation === this.incarnation) {
      this.generations?.release(input.attempt);
    }
  }

  renewLink(input: sideCalls.RenewLink): void {
    this.links.renew(input.link);
    this.configuration.onDidRenewLink(input);
  }

  async callService(
    input: sideCalls.ServiceCall,
  ): Promise<sideCalls.ServiceReply> {
    const isRepeat = this.services?.hasAttempt(input.attempt) ?? false;
    const refusal = isRepeat ? undefined : this.refusal(input.incarnation);
    if (refusal !== undefined || this.services === undefined) {
      // A repeat of this call that is still in transit must not run after the refusal.
      this.services?.tombstone(input.attempt);
      return {
        failure:
          refusal ??
          failure.notRun(
            resultCode.ResultCode.NoEndpoint,
            'the endpoint of this instance is not a plain service',
          ),
      };
    }
    return this.services.call(input);
  }

  async order(input: sideCalls.EngineOrder): Promise<sideCalls.CallReply> {
    const refusal = this.refusal(input.incarnation);
    if (refusal !== undefined || this.orders === undefined) {
      const cause =
        refusal ??
        failure.notRun(
          resultCode.ResultCode.NoEndpoint,
          'the endpoint of this instance is not an engine',
        );
      return {isAccepted: false, failure: cause};
    }
    return this.orders.order(input);
  }

  status(): peerCalls.StatusReport {
    const load = this.load();
    return {
      instance: this.options.instance.name,
      revision: this.configuration.table.revision,
      running: load.running,
      waiting: load.waiting,
      isLeaving: load.isLeaving,
      incarnation: this.incarnation,
      loaded: this.generations?.monitor.load?.loaded ?? [],
    };
  }

  spans(traceId: string): readonly peerCalls.SpanReport[] {
    return this.tracer.spansOf(traceId);
  }

  private get unfinishedCount(): number {
    return (
      (this.generations?.unfinishedCount ?? 0) +
      (this.services?.runningCount ?? 0)
    );
  }

  private createGenerationHost(
    engine: httpEngineClient.HttpEngineClient,
  ): generationHost.GenerationHost {
    const {admission, attempts, endpoint} = this.options;
    const options: generationHost.GenerationHostOptions = {
      admission: {
        ...admissionSystem.DEFAULT_ADMISSION_POLICY,
        memoryDeviations: admission.memory_deviations,
        memoryShare: admission.memory_share,
        quickReserve: admission.quick_reserve,
        maxRunning: admission.max_running,
        draftPatienceMilliseconds: admission.draft_patience_milliseconds,
        quickWaitLimitMilliseconds: admission.quick_wait_limit_milliseconds,
        draftWaitLimitMilliseconds: admission.draft_wait_limit_milliseconds,
      },
      detachment: {
        reattachGraceMilliseconds: attempts.reattach_grace_milliseconds,
        retentionMilliseconds: attempts.retention_milliseconds,
        deliveredMilliseconds: DELIVERED_RETENTION_MILLISECONDS,
        tombstoneMilliseconds: TOMBSTONE_MILLISECONDS,
      },
      capacityTokens: endpoint.capacity_tokens,
    };
    const sideMetric = new sideMetrics.SideMetrics(this.registry);
    return new generationHost.GenerationHost(
      engine,
      options,
      () => this.links,
      sideMetric,
      this.tracer,
    );
  }

  /** Returns why new work is refused for an attempt addressed to the incarnation, or undefined when it is accepted. */
  private refusal(incarnation: string): failure.Failure | undefined {
    if (incarnation !== this.incarnation) {
      return failure.notRun(
        resultCode.ResultCode.WrongIncarnation,
        'the side process was replaced',
      );
    }
    if (this.isClosedToNewWork) {
      return failure.notRun(
        resultCode.ResultCode.EndpointLeaving,
        'the endpoint instance is leaving',
      );
    }
    return undefined;
  }

  private get isClosedToNewWork(): boolean {
    const endpoint = this.configuration.table.get(
      operator.ObjectKind.ENDPOINT,
      this.options.endpoint.name,
    );
    const isDraining =
      endpoint?.spec.case === 'endpoint' && endpoint.spec.value.draining;
    return this.shutdown.isLeaving || isDraining;
  }

  private load(): linkMessages.LoadReport {
    const revision = this.configuration.table.revision;
    const host = this.generations ?? this.services!;
    return host.load(this.isClosedToNewWork, revision);
  }

  private mountResources(): void {
    const token = this.options.clusterToken;
    peerTransport.mountRouter(
      this.server,
      token,
      sideRouter.createSideRouter(this),
    );
    directCalls.mountDirectCalls(this.server, token, this);
    this.server.mount(
      '/link',
      peerTransport.requireToken(token, (request, response) =>
        this.onLink(request, response),
      ),
    );
    this.server.mount('/healthz', (_, response) =>
      httpServer.sendJson(response, 200, {}),
    );
    this.server.mount('/readyz', (_, response) => {
      const isReady = !this.isClosedToNewWork && this.load().isEndpointAlive;
      httpServer.sendJson(response, isReady ? 200 : 503, {ready: isReady});
    });
    this.server.mount('/metrics', async (_, response) => {
      response
        .writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'})
        .end(await this.registry.render());
    });
  }

  private onLink(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const link = new URL(request.url!, 'http://side').searchParams.get('id');
    if (link === null) {
      return httpServer.sendFailure(
        response,
        failure.notRun(resultCode.ResultCode.InvalidField, 'id: missing'),
      );
    }
    this.links.open(link, response);
  }
}
